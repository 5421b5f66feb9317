package ferngrade.dispatch;

/** Measures the load of the reachable workers once per budget cycle. Event thread only. */
final class FleetLoadMeter {
  /**
   * Weight of the newest cycle in a worker's start rate. It is small because a single dispatcher
   * observes few starts.
   */
  private static final double START_RATE_WEIGHT = 0.15;

  /** Number of cycles after its first start until a dispatcher's start rate counts as known. */
  private static final int MIN_CYCLES_WITH_TRAFFIC = 6;

  /** Maximum number of jobs per core that is counted for a worker. */
  private static final double MAX_JOBS_PER_CORE = 2;

  private final WorkerRegistry registry;
  private final OutlierDetector outliers;
  private final SlowStart slowStart;
  private int cyclesWithTraffic;
  private int warmWorkers;

  FleetLoadMeter(WorkerRegistry registry, OutlierDetector outliers, SlowStart slowStart) {
    this.registry = registry;
    this.outliers = outliers;
    this.slowStart = slowStart;
  }

  /** Returns the number of ready workers that were not warming up at the last measurement. */
  int warmWorkers() {
    return warmWorkers;
  }

  /** Measures the budget cycle that ends now and lasted {@code seconds}. */
  FleetLoad measure(double seconds, double now) {
    double size = 0;
    double busy = 0;
    double queued = 0;
    double startRate = 0;
    warmWorkers = 0;
    for (WorkerStats worker : registry.all()) {
      worker.startRate += START_RATE_WEIGHT * (worker.startedSlots / seconds - worker.startRate);
      worker.startedSlots = 0;
      boolean ready = worker.listed && worker.entry.state() == WorkerState.READY;
      if (ready && outliers.reachable(worker, now)) {
        double capacity = capacity(worker, now);
        size += capacity;
        busy += capacity * Math.min(1, worker.load);
        queued += capacity * Math.max(0, Math.min(MAX_JOBS_PER_CORE, worker.load) - 1);
        startRate += worker.startRate;
      }
      warmWorkers += ready && !slowStart.warmingUp(worker.entry, now) ? 1 : 0;
    }
    cyclesWithTraffic += cyclesWithTraffic > 0 || startRate > 0 ? 1 : 0;
    // The smoothed rates start at 0; the division corrects this bias.
    double unbiasedStartRate =
        startRate / (1 - StrictMath.pow(1 - START_RATE_WEIGHT, cyclesWithTraffic));
    return new FleetLoad(
        size, busy, queued, unbiasedStartRate, cyclesWithTraffic >= MIN_CYCLES_WITH_TRAFFIC);
  }

  /** Returns the worker's cores, reduced while it is warming up. */
  private double capacity(WorkerStats worker, double now) {
    boolean warmingUp = slowStart.warmingUp(worker.entry, now);
    return worker.group.size * (warmingUp ? slowStart.capacityShare(worker.entry, now) : 1);
  }
}
