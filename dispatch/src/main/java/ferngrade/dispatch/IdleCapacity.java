package ferngrade.dispatch;

/**
 * Decides whether workers have idle cores for a request that the slot budget does not cover. The
 * slice is derived from admitted requests, so a slice that is too small cannot reveal unused
 * capacity. This class therefore compares the jobs in flight with this dispatcher's part of the
 * cores. It counts only warm workers that have completed jobs for this dispatcher and have not
 * rejected an attempt recently. Event thread only.
 */
final class IdleCapacity {
  /** Time in ms for which a worker counts as busy after it has rejected an attempt. */
  private static final double REJECTION_BACKOFF_MS = 1000;

  private final WorkerRegistry registry;
  private final OutlierDetector outliers;
  private final SlowStart slowStart;

  /**
   * Number of requests admitted beyond the budget per cycle, for each request completed in the
   * previous cycle.
   */
  private static final double ADMITTED_PER_COMPLETED = 1;

  /**
   * Number of requests admitted beyond the budget per cycle and core, independent of completed
   * requests, so that requests are admitted even before any has completed.
   */
  private static final double ADMITTED_PER_CORE = 2.5;

  /**
   * Eligible cores divided by the number of dispatcher processes, as of the last budget cycle.
   * Reduced when a worker rejects an attempt.
   */
  private double cores;

  private int completedRequests;
  private double allowance;

  IdleCapacity(WorkerRegistry registry, OutlierDetector outliers, SlowStart slowStart) {
    this.registry = registry;
    this.outliers = outliers;
    this.slowStart = slowStart;
  }

  /** Recomputes the idle capacity, once per budget cycle. */
  void startCycle(double now) {
    double eligibleCores =
        registry
            .ready()
            .filter(worker -> isEligible(worker, now))
            .mapToDouble(IdleCapacity::cores)
            .sum();
    cores = eligibleCores / slowStart.participants();
    allowance = ADMITTED_PER_CORE * cores + ADMITTED_PER_COMPLETED * completedRequests;
    completedRequests = 0;
  }

  /** Records that an attempt has succeeded. */
  void attemptSucceeded() {
    completedRequests++;
  }

  private boolean isEligible(WorkerStats worker, double now) {
    return worker.completedJobs > 0
        && now - worker.rejectedAt > REJECTION_BACKOFF_MS
        && outliers.reachable(worker, now)
        && !slowStart.warmingUp(worker.entry, now);
  }

  private static double cores(WorkerStats worker) {
    return Math.max(worker.group.size, worker.group.slots);
  }

  /**
   * Records that a worker has rejected an attempt. Its cores are deducted immediately, and the
   * worker is not eligible for {@link #REJECTION_BACKOFF_MS}.
   */
  void workerRejected(WorkerStats worker, double now) {
    if (isEligible(worker, now)) {
      cores = Math.max(0, cores - cores(worker) / slowStart.participants());
    }
    worker.rejectedAt = now;
  }

  /**
   * Returns true, and takes one request from the allowance, if the allowance is not used up and the
   * job fits into this dispatcher's part of the cores together with the jobs in flight.
   */
  boolean admit(Job job) {
    boolean coreFree = registry.slotsInFlight() + job.slots() <= cores;
    boolean admitted = coreFree && allowance >= 1;
    allowance -= admitted ? 1 : 0;
    return admitted;
  }
}
