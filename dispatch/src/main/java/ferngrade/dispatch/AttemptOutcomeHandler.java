package ferngrade.dispatch;

/** Updates the components that learn from the start and the end of attempts. Event thread only. */
final class AttemptOutcomeHandler {
  private final WorkerRegistry registry;
  private final OutlierDetector outliers;
  private final SlotBudget budget;
  private final ServiceTimeEstimator serviceTimes;
  private final RetryPolicy retries;
  private final IdleCapacity idleCapacity;

  AttemptOutcomeHandler(
      WorkerRegistry registry,
      OutlierDetector outliers,
      SlotBudget budget,
      ServiceTimeEstimator serviceTimes,
      RetryPolicy retries,
      IdleCapacity idleCapacity) {
    this.registry = registry;
    this.outliers = outliers;
    this.budget = budget;
    this.serviceTimes = serviceTimes;
    this.retries = retries;
    this.idleCapacity = idleCapacity;
  }

  /** Counts an attempt whose start was reported or is implied by its success. */
  void attemptStarted(PendingRequest request, Attempt attempt) {
    budget.attemptStarted(attempt, request.job.slots());
    registry.attemptStarted(attempt.worker, request.job);
  }

  /** Updates the estimates and ejections after an attempt has ended with this outcome. */
  void attemptEnded(PendingRequest request, Attempt attempt, AttemptOutcome outcome, double now) {
    switch (outcome) {
      case OK -> handleSuccess(request, attempt, now);
      case FULL -> {
        outliers.responseReceived(attempt.worker, now);
        outliers.workerFull(attempt.worker, now);
        idleCapacity.workerRejected(attempt.worker, now);
        budget.attemptRejected();
      }
      case TIMEOUT -> handleTimeout(request, attempt, now);
      case ERROR -> {
        outliers.responseReceived(attempt.worker, now);
        handleFailure(attempt.worker, now);
      }
      case CONNECT_FAILED -> {
        outliers.connectFailed(attempt.worker);
        handleFailure(attempt.worker, now);
      }
      case RESET -> handleFailure(attempt.worker, now);
      case CANCELLED, NEVER_SENT, UNUSABLE -> {}
    }
  }

  private void handleSuccess(PendingRequest request, Attempt attempt, double now) {
    outliers.responseReceived(attempt.worker, now);
    outliers.attemptSucceeded(attempt.worker, request.job.jobClass());
    registry.markObserved(attempt.worker);
    idleCapacity.attemptSucceeded();
    if (!attempt.hasStarted()) {
      attemptStarted(request, attempt);
    }
    serviceTimes.attemptSucceeded(request, attempt, now);
  }

  /**
   * Ejects the worker. The slice is not cut: a failure concerns one worker only, while late starts
   * indicate a shortage throughout the fleet.
   */
  private void handleFailure(WorkerStats worker, double now) {
    registry.markObserved(worker);
    outliers.eject(worker, now);
  }

  /**
   * Handles a timeout. A job in a long queue times out although its worker is healthy, so the
   * worker is ejected only if it has sent no response since the attempt was sent. A worker that
   * responded to other attempts but did not start this job in time may be unable to run its class,
   * so it is ejected for that class only.
   */
  private void handleTimeout(PendingRequest request, Attempt attempt, double now) {
    WorkerStats worker = attempt.worker;
    boolean responded = outliers.respondedSince(attempt);
    if (responded && !attempt.hasStarted() && !retries.deadlineReached(request, now)) {
      outliers.ejectClass(worker, request.job.jobClass(), now);
      return;
    }
    if (budget.sentSinceLastCut(attempt) && worker.ejectedUntil <= now && !attempt.countedLate) {
      budget.attemptRejected();
    }
    registry.markObserved(worker);
    if (!responded) {
      outliers.eject(worker, now);
    }
  }
}
