package ferngrade.dispatch;

/**
 * Estimates how long a job waits for its start at a worker: from starts seen here, and from loads
 * in the endpoint list where these are known. All times are milliseconds. Event thread only.
 */
final class WaitEstimator {
  /** Weight of one wait in a worker's own mean. */
  private static final double WORKER_WEIGHT = 0.3;

  /** Weight of one wait in the mean of the worker's group. */
  private static final double GROUP_WEIGHT = 0.1;

  /** Time in which a worker's own mean fades into its group's. */
  private static final double MEMORY_MS = 3000;

  private final WorkerRegistry registry;
  private final ServiceTimeEstimator serviceTimes;
  private final SlotBudget budget;
  private final int dispatchers;

  WaitEstimator(
      WorkerRegistry registry,
      ServiceTimeEstimator serviceTimes,
      SlotBudget budget,
      int dispatchers) {
    this.registry = registry;
    this.serviceTimes = serviceTimes;
    this.budget = budget;
    this.dispatchers = dispatchers;
  }

  /** Learns the round-trip time and the wait from an attempt's start. */
  void attemptStarted(Attempt attempt, double now) {
    double delay = now - attempt.sentAt;
    ZoneStats zone = registry.zone(attempt.worker);
    zone.roundTripTime = Math.min(zone.roundTripTime, delay);
    learn(attempt.worker, delay - zone.roundTripTime, now);
  }

  /** Learns from an attempt that is still waiting: its start takes at least this long. */
  void attemptStillWaits(Attempt attempt, double now) {
    WorkerStats worker = attempt.worker;
    learn(worker, Math.max(now - attempt.sentAt, expected(worker, now)), now);
  }

  private void learn(WorkerStats worker, double wait, double now) {
    double before = observed(worker, now);
    worker.wait = before + WORKER_WEIGHT * (wait - before);
    worker.waitAt = now;
    worker.group.wait += GROUP_WEIGHT * (wait - worker.group.wait);
  }

  /**
   * The expected wait: what was seen here, moved towards the listed load by this dispatcher's part
   * of all. Every dispatcher reads the same list: going by it alone, all would send to the same few
   * workers until the next one.
   */
  double expected(WorkerStats worker, double now) {
    double observed = observed(worker, now);
    return budget.followsLoads()
        ? observed + (byListedLoad(worker, now) - observed) / Math.max(2, dispatchers)
        : observed;
  }

  /** True while the endpoint list shows the load of each worker. */
  boolean followsLoads() {
    return budget.followsLoads();
  }

  /** The wait by the listed jobs for each core and those sent that the list cannot show yet. */
  double byListedLoad(WorkerStats worker, double now) {
    double slowness = worker.group.slowness;
    double unlisted = registry.recentSlots(worker, now);
    double load = worker.load + unlisted / Math.max(1, worker.group.size * slowness);
    return Math.max(0, load - 1) * serviceTimes.mean() * slowness;
  }

  /** What was seen of this worker, fading into what its group shows. */
  private static double observed(WorkerStats worker, double now) {
    double groupMean = worker.group.wait;
    return groupMean + (worker.wait - groupMean) * Math.exp((worker.waitAt - now) / MEMORY_MS);
  }
}
