package ferngrade.dispatch;

/**
 * Decides when a request that is queued at a worker is also sent to a second worker. A budget
 * bounds the number of hedged requests; without it hedging would multiply the load while queues are
 * long. Event thread only.
 */
final class HedgingPolicy {
  /** Number of hedges that the first attempt of each request adds to the budget. */
  private static final double HEDGES_PER_REQUEST = 0.05;

  /** Maximum number of unused hedges that the budget accumulates; also its initial value. */
  private static final double MAX_HEDGE_BUDGET = 3;

  /**
   * Fraction of a job's spare time ({@link StartDeadlines#spareTime}) after which the job is hedged
   * if it has not started.
   */
  private static final double DELAY_FRACTION = 0.2;

  private final DispatcherSettings settings;
  private final WorkerRegistry registry;
  private final StartDeadlines deadlines;
  private final RetryPolicy retries;
  private double hedgeBudget = MAX_HEDGE_BUDGET;

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

  /** Adds to the budget for a request's first attempt. */
  void firstAttemptSent() {
    hedgeBudget = Math.min(MAX_HEDGE_BUDGET, hedgeBudget + HEDGES_PER_REQUEST);
  }

  /**
   * Returns true if the class of the request, the deployment and the number of attempts made so far
   * permit a hedge.
   */
  boolean appliesTo(PendingRequest request) {
    return request.jobClass.idempotency() != Idempotency.UNSAFE
        && settings.limits().hedging()
        && retries.attemptsLeft(request);
  }

  /**
   * Returns the time in ms after which a request sent to this worker is hedged if it has not
   * started. The time is at least two intervals between event batches plus two round trips.
   */
  double delay(PendingRequest request, WorkerStats worker) {
    double minDelay = 2 * settings.eventBatchIntervalMs() + 2 * registry.roundTripTime(worker);
    return Math.max(minDelay, DELAY_FRACTION * deadlines.spareTime(request, worker));
  }

  /** Returns true while attempts are in flight and none of them has started. */
  boolean isWaiting(PendingRequest request) {
    return !request.completed
        && request.inFlight > 0
        && request.attempts.stream().noneMatch(Attempt::running);
  }

  /** Returns true if the budget and the retry policy allow a hedge now. */
  boolean mayHedge(PendingRequest request, double now) {
    return hedgeBudget >= 1 && retries.maySend(request, now);
  }

  /** Deducts one hedge from the budget when it is sent. */
  void hedgeSent() {
    hedgeBudget--;
  }
}
