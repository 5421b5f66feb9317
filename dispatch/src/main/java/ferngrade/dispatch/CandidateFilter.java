package ferngrade.dispatch;

/** Says which workers a request may go to, and which of these look good. Event thread only. */
final class CandidateFilter {
  private final RetryPolicy retries;
  private final SlowStartGate slowStart;
  private final OutlierDetector outliers;
  private final StartDeadlines deadlines;
  private final SlotBudget budget;

  CandidateFilter(
      RetryPolicy retries,
      SlowStartGate slowStart,
      OutlierDetector outliers,
      StartDeadlines deadlines,
      SlotBudget budget) {
    this.retries = retries;
    this.slowStart = slowStart;
    this.outliers = outliers;
    this.deadlines = deadlines;
    this.budget = budget;
  }

  /** Rules that hold for any choice: readiness, kind, idempotency group and slow start. */
  boolean permits(PendingRequest request, Attempt groupAttempt, WorkerStats worker, double now) {
    int kind = request.jobClass.kind();
    return worker.entry.state() == WorkerState.READY
        && (kind < 0 || kind == worker.entry.kind())
        && retries.sameGroup(groupAttempt, worker, request.jobClass.scope())
        && slowStart.allows(request, worker, now);
  }

  /** True if the worker is healthy, untried for this request, and starts it in time. */
  boolean prefers(PendingRequest request, WorkerStats worker, double now) {
    return outliers.accepts(worker, request.job.jobClass(), now)
        && !request.triedAt(worker)
        && (budget.crowded() || !deadlines.wouldStartLate(request, worker, now));
  }
}
