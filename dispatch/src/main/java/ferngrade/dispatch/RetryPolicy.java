package ferngrade.dispatch;

/**
 * Decides whether a request may be sent or retried, which workers may receive it, until when, and
 * which final answers are allowed. Stateless.
 */
final class RetryPolicy {
  private final DeploymentLimits limits;
  private final double eventBatchIntervalMs;

  /**
   * Creates a policy. {@code eventBatchIntervalMs} is the time between batches of events. Decisions
   * are made earlier by this time, because the next batch may arrive after the deadline.
   */
  RetryPolicy(DeploymentLimits limits, double eventBatchIntervalMs) {
    this.limits = limits;
    this.eventBatchIntervalMs = eventBatchIntervalMs;
  }

  /** Returns true if the request has attempts left. */
  boolean attemptsLeft(PendingRequest request) {
    return request.attempts.size() < limits.maxAttempts();
  }

  /** Returns true if another attempt is safe and can still be useful to the client. */
  boolean maySend(PendingRequest request, double now) {
    if (request.completed || !attemptsLeft(request) || now >= request.job.deadline()) {
      return false;
    }
    if (request.inFlight > 0 && !limits.hedging()) {
      return false;
    }
    Attempt firstAttempt = request.firstAttemptThatMayHaveRun();
    if (firstAttempt == null) {
      return true;
    }
    return switch (request.jobClass.idempotency()) {
      case SAFE -> true;
      case KEYED ->
          now < firstAttempt.sentAt + request.jobClass.keyWindowMs() - eventBatchIntervalMs;
      case UNSAFE -> false;
    };
  }

  /** Returns true if the client may be informed that a retry is safe. */
  boolean mayReject(PendingRequest request) {
    Idempotency idempotency = request.jobClass.idempotency();
    boolean keyedForAllWorkers =
        idempotency == Idempotency.KEYED
            && request.jobClass.idempotencyScope() == IdempotencyScope.ALL;
    return idempotency == Idempotency.SAFE
        || keyedForAllWorkers
        || request.firstAttemptThatMayHaveRun() == null;
  }

  /**
   * Returns true if the client has stopped waiting or will do so before the next batch of events.
   */
  boolean deadlineReached(PendingRequest request, double now) {
    return now >= request.job.deadline() - eventBatchIntervalMs;
  }

  /**
   * Returns the first attempt that may have run the job, if the request has an idempotency key that
   * only one group of workers shares. All further attempts must stay in the group of that attempt.
   * Returns null if the request may go to any group.
   */
  Attempt groupAttempt(PendingRequest request) {
    boolean keyedWithinGroup =
        request.jobClass.idempotency() == Idempotency.KEYED
            && request.jobClass.idempotencyScope() != IdempotencyScope.ALL;
    return keyedWithinGroup ? request.firstAttemptThatMayHaveRun() : null;
  }

  /**
   * Returns true if the worker shares idempotency keys with the worker of this attempt, or if the
   * attempt is null.
   */
  boolean sameGroup(Attempt groupAttempt, WorkerStats worker, IdempotencyScope scope) {
    if (groupAttempt == null) {
      return true;
    }
    Worker firstWorker = groupAttempt.worker.entry;
    return scope == IdempotencyScope.ZONE
        ? firstWorker.zone() == worker.entry.zone()
        : firstWorker.cell() == worker.entry.cell();
  }
}
