package ferngrade.dispatch;

/** Passes what the start and the end of an attempt show to the parts that learn from it. */
final class AttemptOutcomeHandler {
  private final WorkerRegistry registry;
  private final OutlierDetector outliers;
  private final SlotBudget budget;
  private final ServiceTimeEstimator serviceTimes;
  private final RetryPolicy retries;
  private final IdleCapacity idle;

  AttemptOutcomeHandler(
      WorkerRegistry registry,
      OutlierDetector outliers,
      SlotBudget budget,
      ServiceTimeEstimator serviceTimes,
      RetryPolicy retries,
      IdleCapacity idle) {
    this.registry = registry;
    this.outliers = outliers;
    this.budget = budget;
    this.serviceTimes = serviceTimes;
    this.retries = retries;
    this.idle = idle;
  }

  /** Counts an attempt whose start was reported or is shown by its good end. */
  void attemptStarted(PendingRequest request, Attempt attempt) {
    budget.attemptStarted(attempt, request.job.slots());
    registry.attemptStarted(attempt.worker, request.job);
  }

  /** Learns from an attempt that has ended with this outcome. */
  void attemptEnded(PendingRequest request, Attempt attempt, AttemptOutcome outcome, double now) {
    switch (outcome) {
      case OK -> succeeded(request, attempt, now);
      case FULL -> {
        outliers.signOfLife(attempt.worker, now);
        outliers.workerFull(attempt.worker, now);
        idle.workerRejected(attempt.worker, now);
        budget.attemptRejected();
      }
      case TIMEOUT -> timedOut(request, attempt, now);
      case ERROR -> {
        outliers.signOfLife(attempt.worker, now);
        failed(attempt.worker, now);
      }
      case CONNECT_FAILED -> {
        outliers.connectFailed(attempt.worker);
        failed(attempt.worker, now);
      }
      case RESET -> failed(attempt.worker, now);
      case CANCELLED, NEVER_SENT, UNUSABLE -> {}
    }
  }

  private void succeeded(PendingRequest request, Attempt attempt, double now) {
    outliers.signOfLife(attempt.worker, now);
    outliers.attemptSucceeded(attempt.worker, request.job.jobClass());
    registry.markProven(attempt.worker);
    idle.attemptSucceeded();
    if (!attempt.hasStarted()) {
      attemptStarted(request, attempt);
    }
    serviceTimes.attemptSucceeded(request, attempt, now);
  }

  /** The slice is not trimmed: a failure says something of one worker, late starts of the rest. */
  private void failed(WorkerStats worker, double now) {
    registry.markProven(worker);
    outliers.eject(worker, now);
  }

  /**
   * In a deep queue a job runs out of time though its worker works: only a worker that was silent
   * all along has failed. One that answered others, but did not start this job in time, may not
   * take its class.
   */
  private void timedOut(PendingRequest request, Attempt attempt, double now) {
    WorkerStats worker = attempt.worker;
    boolean answered = outliers.answeredSince(attempt);
    if (answered && !attempt.hasStarted() && !retries.deadlineReached(request, now)) {
      outliers.ejectClass(worker, request.job.jobClass(), now);
      return;
    }
    if (budget.reflectsSlice(attempt) && worker.ejectedUntil <= now && !attempt.late) {
      budget.attemptRejected();
    }
    registry.markProven(worker);
    if (!answered) {
      outliers.eject(worker, now);
    }
  }
}
