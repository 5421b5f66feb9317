package ferngrade.dispatch;

/**
 * Decides which workers a request may be sent to and which of them are preferred. Event thread
 * only.
 */
final class CandidateFilter {
  private final RetryPolicy retries;
  private final SlowStartGate slowStartGate;
  private final OutlierDetector outliers;
  private final StartDeadlines deadlines;
  private final SlotBudget budget;

  CandidateFilter(
      RetryPolicy retries,
      SlowStartGate slowStartGate,
      OutlierDetector outliers,
      StartDeadlines deadlines,
      SlotBudget budget) {
    this.retries = retries;
    this.slowStartGate = slowStartGate;
    this.outliers = outliers;
    this.deadlines = deadlines;
    this.budget = budget;
  }

  /**
   * Returns true if the request may be sent to the worker at all: checks readiness, worker type,
   * idempotency group and slow start.
   */
  boolean permits(PendingRequest request, Attempt groupAttempt, WorkerStats worker, double now) {
    int workerType = request.jobClass.workerType();
    return worker.entry.state() == WorkerState.READY
        && (workerType < 0 || workerType == worker.entry.workerType())
        && retries.sameGroup(groupAttempt, worker, request.jobClass.idempotencyScope())
        && slowStartGate.allows(request, worker, now);
  }

  /**
   * Returns true if the worker is healthy, has no attempt of this request yet, and is expected to
   * start the request in time. While the fleet is congested, the start time is not considered.
   */
  boolean prefers(PendingRequest request, WorkerStats worker, double now) {
    return outliers.accepts(worker, request.job.jobClass(), now)
        && !request.wasSentTo(worker)
        && (budget.congested() || !deadlines.wouldStartLate(request, worker, now));
  }
}
