package ferngrade.dispatch;

/**
 * Estimates how long a job waits for its start at a worker, from starts observed by this dispatcher
 * and from the loads in the endpoint list if these are known. All times are milliseconds. Event
 * thread only.
 */
final class WaitEstimator {
  /** Weight of one observed wait in a worker's own mean. */
  private static final double WORKER_SAMPLE_WEIGHT = 0.3;

  /** Weight of one observed wait in the mean of the worker's group. */
  private static final double GROUP_SAMPLE_WEIGHT = 0.1;

  /**
   * Time constant with which the estimate returns from a worker's own mean to the mean of its
   * group.
   */
  private static final double DECAY_MS = 3000;

  private final WorkerRegistry registry;
  private final ServiceTimeEstimator serviceTimes;
  private final SlotBudget budget;
  private final int dispatcherCount;

  WaitEstimator(
      WorkerRegistry registry,
      ServiceTimeEstimator serviceTimes,
      SlotBudget budget,
      int dispatcherCount) {
    this.registry = registry;
    this.serviceTimes = serviceTimes;
    this.budget = budget;
    this.dispatcherCount = dispatcherCount;
  }

  /** Updates the round-trip time and the wait from an attempt's start. */
  void attemptStarted(Attempt attempt, double now) {
    double startDelay = now - attempt.sentAt;
    ZoneStats zone = registry.zone(attempt.worker);
    zone.roundTripTime = Math.min(zone.roundTripTime, startDelay);
    updateWait(attempt.worker, startDelay - zone.roundTripTime, now);
  }

  /**
   * Updates the wait from an attempt that has not started yet, with the time since it was sent as a
   * lower bound.
   */
  void attemptStillWaits(Attempt attempt, double now) {
    WorkerStats worker = attempt.worker;
    updateWait(worker, Math.max(now - attempt.sentAt, expectedWait(worker, now)), now);
  }

  private void updateWait(WorkerStats worker, double wait, double now) {
    double oldWait = observedWait(worker, now);
    worker.wait = oldWait + WORKER_SAMPLE_WEIGHT * (wait - oldWait);
    worker.waitAt = now;
    worker.group.wait += GROUP_SAMPLE_WEIGHT * (wait - worker.group.wait);
  }

  /**
   * Returns the expected wait: the observed wait plus a fraction of its difference from the wait
   * derived from the listed load. The fraction is 1 divided by the number of dispatchers, and at
   * most a half. If every dispatcher relied on the list alone, all would send to the same few
   * workers until the next update of the list.
   */
  double expectedWait(WorkerStats worker, double now) {
    double observedWait = observedWait(worker, now);
    return budget.followsLoads()
        ? observedWait
            + (waitByListedLoad(worker, now) - observedWait) / Math.max(2, dispatcherCount)
        : observedWait;
  }

  /** Returns true while the endpoint list includes the load of each worker. */
  boolean followsLoads() {
    return budget.followsLoads();
  }

  /**
   * Returns the wait derived from the listed jobs per core and from recently sent jobs that the
   * listed load does not include yet. Each job per core beyond the first adds a mean service time,
   * adjusted to the slowness of the worker's group.
   */
  double waitByListedLoad(WorkerStats worker, double now) {
    double slowness = worker.group.slowness;
    double unlistedSlots = registry.recentSlots(worker, now);
    double load = worker.load + unlistedSlots / Math.max(1, worker.group.size * slowness);
    return Math.max(0, load - 1) * serviceTimes.mean() * slowness;
  }

  /** Returns the observed wait of this worker, which decays to the mean of its group. */
  private static double observedWait(WorkerStats worker, double now) {
    double groupMean = worker.group.wait;
    return groupMean + (worker.wait - groupMean) * StrictMath.exp((worker.waitAt - now) / DECAY_MS);
  }
}
