package ferngrade.dispatch;

/**
 * Says when a request that waits in a worker's queue is sent to a second worker too. A budget keeps
 * hedged requests few; without it they would multiply the work where queues are deep. Event thread
 * only.
 */
final class HedgingPolicy {
  /** Hedges earned by each request's first attempt. */
  private static final double EARNED_PER_REQUEST = 0.05;

  /** Hedges that may be saved up. */
  private static final double MAX_SAVED = 3;

  /** Share of its spare time after which a job that has not started is hedged. */
  private static final double DELAY_SHARE = 0.2;

  private final DispatcherSettings settings;
  private final WorkerRegistry registry;
  private final StartDeadlines deadlines;
  private final RetryPolicy retries;
  private double budget = MAX_SAVED;

  HedgingPolicy(
      DispatcherSettings settings,
      WorkerRegistry registry,
      StartDeadlines deadlines,
      RetryPolicy retries) {
    this.settings = settings;
    this.registry = registry;
    this.deadlines = deadlines;
    this.retries = retries;
  }

  /** Earns budget from a request's first attempt. */
  void firstAttemptSent() {
    budget = Math.min(MAX_SAVED, budget + EARNED_PER_REQUEST);
  }

  /** True if the request may be hedged at all after the attempts made so far. */
  boolean appliesTo(PendingRequest request) {
    return request.jobClass.effect() != Idempotency.UNSAFE
        && settings.limits().secondCopies()
        && retries.attemptsLeft(request);
  }

  /** Ms after which a request sent to this worker is hedged if it has not started. */
  double delay(PendingRequest request, WorkerStats worker) {
    double min = 2 * settings.roundMs() + 2 * registry.roundTripTime(worker);
    return Math.max(min, DELAY_SHARE * deadlines.spareTime(request, worker));
  }

  /** True while attempts are in flight and none of them has started. */
  boolean stillWaits(PendingRequest request) {
    return !request.completed
        && request.inFlight > 0
        && request.attempts.stream().noneMatch(Attempt::running);
  }

  /** True if the budget and the retry policy allow a hedge now. */
  boolean mayHedge(PendingRequest request, double now) {
    return budget >= 1 && retries.maySend(request, now);
  }

  /** Pays for a hedged request. */
  void hedgeSent() {
    budget--;
  }
}
