package ferngrade.dispatch;

/**
 * Says whether a request may be sent (again), to which workers, until when, and with which final
 * answer it may end. Holds no state.
 */
final class RetryPolicy {
  private final DeploymentLimits limits;
  private final double roundMs;

  /** {@code roundMs}: the time between batches of events, kept clear of every deadline. */
  RetryPolicy(DeploymentLimits limits, double roundMs) {
    this.limits = limits;
    this.roundMs = roundMs;
  }

  /** True if the request has attempts left. */
  boolean attemptsLeft(PendingRequest request) {
    return request.attempts.size() < limits.tries();
  }

  /** True if a further attempt is safe and still of use. */
  boolean maySend(PendingRequest request, double now) {
    if (request.completed || !attemptsLeft(request) || now >= request.job.due()) {
      return false;
    }
    if (request.inFlight > 0 && !limits.secondCopies()) {
      return false;
    }
    Attempt first = request.firstThatMayHaveRun();
    if (first == null) {
      return true;
    }
    return switch (request.jobClass.effect()) {
      case SAFE -> true;
      case KEYED -> now < first.sentAt + request.jobClass.window() - roundMs;
      case UNSAFE -> false;
    };
  }

  /** True if the client may be answered that a retry is harmless. */
  boolean mayReject(PendingRequest request) {
    Idempotency effect = request.jobClass.effect();
    boolean keyedEverywhere =
        effect == Idempotency.KEYED && request.jobClass.scope() == IdempotencyScope.ALL;
    return effect == Idempotency.SAFE || keyedEverywhere || request.firstThatMayHaveRun() == null;
  }

  /** True if the client is about to give up or has done so. */
  boolean deadlineReached(PendingRequest request, double now) {
    return now >= request.job.due() - roundMs;
  }

  /**
   * The attempt whose idempotency group all further ones must stay in: the first that may have run
   * a request with a key. Null if the request may go anywhere.
   */
  Attempt groupAttempt(PendingRequest request) {
    boolean keyed =
        request.jobClass.effect() == Idempotency.KEYED
            && request.jobClass.scope() != IdempotencyScope.ALL;
    return keyed ? request.firstThatMayHaveRun() : null;
  }

  /** True if the worker shares idempotency keys with the one of this attempt, null for any. */
  boolean sameGroup(Attempt groupAttempt, WorkerStats worker, IdempotencyScope scope) {
    if (groupAttempt == null) {
      return true;
    }
    Worker first = groupAttempt.worker.entry;
    return scope == IdempotencyScope.ZONE
        ? first.zone() == worker.entry.zone()
        : first.cell() == worker.entry.cell();
  }
}
