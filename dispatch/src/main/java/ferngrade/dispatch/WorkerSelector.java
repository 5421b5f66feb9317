package ferngrade.dispatch;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Selects the worker with the lowest cost from a sample of the permitted workers. Event thread
 * only.
 */
final class WorkerSelector {
  /**
   * Maximum number of workers sampled from the local zone, and from all other zones together.
   * Smaller pools are scanned completely.
   */
  private static final int SAMPLE_SIZE = 8;

  /**
   * Maximum size of a pool that is scanned completely for a job that needs an object, since any
   * worker may have it cached.
   */
  private static final int MAX_OBJECT_SCAN_SIZE = 32;

  /** The set of workers that a scan considers. */
  private enum Extent {
    /**
     * A random sample of the healthy workers that start the request in time, and the workers with a
     * slow-start grant.
     */
    SAMPLE,
    /** All healthy workers that start the request in time. */
    ALL_PREFERRED,
    /** All workers to which the request may be sent. */
    ALL_PERMITTED
  }

  private final WorkerRegistry registry;
  private final SlowStartGate slowStartGate;
  private final CandidateFilter filter;
  private final CandidateCost cost;
  private final OutlierDetector outliers;
  private final SplittableRandom random;

  WorkerSelector(
      WorkerRegistry registry,
      SlowStartGate slowStartGate,
      CandidateFilter filter,
      CandidateCost cost,
      OutlierDetector outliers,
      SplittableRandom random) {
    this.registry = registry;
    this.slowStartGate = slowStartGate;
    this.filter = filter;
    this.cost = cost;
    this.outliers = outliers;
    this.random = random;
  }

  /**
   * Returns the worker with the lowest cost. If no worker is preferred, returns the permitted
   * worker with the lowest sum of cost and remaining ejection time, or null if no worker is
   * permitted.
   */
  WorkerStats select(PendingRequest request, Attempt groupAttempt, double now) {
    WorkerStats best = selectPreferred(request, groupAttempt, now);
    if (best == null) {
      best = new Scan(request, groupAttempt, now, Extent.ALL_PREFERRED).run();
    }
    return best != null ? best : new Scan(request, groupAttempt, now, Extent.ALL_PERMITTED).run();
  }

  /**
   * Returns the worker with the lowest cost among the preferred ones in a sample, or null if there
   * is none.
   */
  WorkerStats selectPreferred(PendingRequest request, Attempt groupAttempt, double now) {
    return new Scan(request, groupAttempt, now, Extent.SAMPLE).run();
  }

  /** A single pass over the workers. It draws one random number per candidate to break ties. */
  private final class Scan {
    private final PendingRequest request;
    private final Attempt groupAttempt;
    private final double now;
    private final Extent extent;
    private WorkerStats best;
    private double minCost = Double.POSITIVE_INFINITY;

    Scan(PendingRequest request, Attempt groupAttempt, double now, Extent extent) {
      this.request = request;
      this.groupAttempt = groupAttempt;
      this.now = now;
      this.extent = extent;
    }

    WorkerStats run() {
      scan(registry.local());
      scan(registry.remote());
      if (!scansAll()) {
        slowStartGate.workersWithGrants().stream()
            .filter(worker -> worker.listed)
            .forEach(this::consider);
      }
      return best;
    }

    private void scan(List<WorkerStats> pool) {
      int size = pool.size();
      int sampleSize = sampleSize(size);
      for (int i = 0; i < sampleSize; i++) {
        consider(pool.get(sampleSize == size ? i : random.nextInt(size)));
      }
    }

    private boolean scansAll() {
      return groupAttempt != null || extent != Extent.SAMPLE;
    }

    private int sampleSize(int poolSize) {
      boolean needsObject = request.job.object() != 0;
      return scansAll() || (needsObject && poolSize <= MAX_OBJECT_SCAN_SIZE)
          ? poolSize
          : Math.min(poolSize, SAMPLE_SIZE);
    }

    private void consider(WorkerStats worker) {
      if (!filter.permits(request, groupAttempt, worker, now)
          || (extent != Extent.ALL_PERMITTED && !filter.prefers(request, worker, now))) {
        return;
      }
      double candidateCost = cost.of(request, worker, now) + random.nextDouble();
      if (extent == Extent.ALL_PERMITTED) {
        double blockedUntil = outliers.blockedUntil(worker, request.job.jobClass());
        candidateCost += Math.max(0, blockedUntil - now);
      }
      if (candidateCost < minCost) {
        minCost = candidateCost;
        best = worker;
      }
    }
  }
}
