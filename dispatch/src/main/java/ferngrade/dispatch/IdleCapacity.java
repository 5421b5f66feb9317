package ferngrade.dispatch;

/**
 * Says whether workers have idle cores for a request that the slot budget does not cover. The slice
 * is learned from what was admitted, so that a small one proves nothing but itself; the jobs in
 * flight from here, against this dispatcher's part of the cores, show directly that more can be
 * borne. Only warm workers count that have done jobs for this dispatcher and have rejected none
 * lately. Event thread only.
 */
final class IdleCapacity {
  /** For how long a worker that has rejected an attempt counts as busy, ms. */
  private static final double REJECTION_MEMORY_MS = 1000;

  private final WorkerRegistry registry;
  private final OutlierDetector outliers;
  private final SlowStart slowStart;

  /** Requests beyond the budget in one cycle, for each that was served in the cycle before. */
  private static final double GROWTH = 1;

  /** Requests beyond the budget in one cycle for each core, before any was served. */
  private static final double FIRST_PER_CORE = 2.5;

  /** This dispatcher's part of the cores that count, as of the last budget cycle. */
  private double cores;

  private int served;
  private double allowance;

  IdleCapacity(WorkerRegistry registry, OutlierDetector outliers, SlowStart slowStart) {
    this.registry = registry;
    this.outliers = outliers;
    this.slowStart = slowStart;
  }

  /** Looks over the workers, once in each budget cycle. */
  void startCycle(double now) {
    double sum =
        registry
            .ready()
            .filter(worker -> counts(worker, now))
            .mapToDouble(IdleCapacity::cores)
            .sum();
    cores = sum / slowStart.participants();
    allowance = FIRST_PER_CORE * cores + GROWTH * served;
    served = 0;
  }

  /** An attempt has ended well. */
  void attemptSucceeded() {
    served++;
  }

  private boolean counts(WorkerStats worker, double now) {
    return worker.outcomes > 0
        && now - worker.rejectedAt > REJECTION_MEMORY_MS
        && outliers.reachable(worker, now)
        && !slowStart.warmingUp(worker.entry, now);
  }

  private static double cores(WorkerStats worker) {
    return Math.max(worker.group.size, worker.group.slots);
  }

  /** A worker has rejected an attempt: it is not idle, from now on. */
  void workerRejected(WorkerStats worker, double now) {
    if (counts(worker, now)) {
      cores = Math.max(0, cores - cores(worker) / slowStart.participants());
    }
    worker.rejectedAt = now;
  }

  /**
   * Admits a job beyond the budget if it has a core of its own in this dispatcher's part, beside
   * the jobs in flight from here.
   */
  boolean admit(Job job) {
    boolean idle = registry.heldSlots() + job.slots() <= cores;
    boolean admitted = idle && allowance >= 1;
    allowance -= admitted ? 1 : 0;
    return admitted;
  }
}
