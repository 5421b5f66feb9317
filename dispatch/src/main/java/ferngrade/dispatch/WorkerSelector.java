package ferngrade.dispatch;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Selects the cheapest worker among a sample of those that a request may go to. Event thread only.
 */
final class WorkerSelector {
  /** Workers looked at in the own zone, and as many elsewhere; of fewer, all. */
  private static final int SAMPLE_SIZE = 8;

  /** Pool up to which all are looked at for a job that needs an object, which any may have. */
  private static final int MAX_OBJECT_SCAN = 32;

  /** Which workers one look takes in. */
  private enum Extent {
    /** Some of the healthy ones that start the request in time, and those with a grant. */
    SAMPLE,
    /** All healthy ones that start the request in time. */
    ALL_PREFERRED,
    /** All to which the request may go. */
    ALL_PERMITTED
  }

  private final WorkerRegistry registry;
  private final SlowStartGate slowStart;
  private final CandidateFilter filter;
  private final CandidateCost cost;
  private final OutlierDetector outliers;
  private final SplittableRandom random;

  WorkerSelector(
      WorkerRegistry registry,
      SlowStartGate slowStart,
      CandidateFilter filter,
      CandidateCost cost,
      OutlierDetector outliers,
      SplittableRandom random) {
    this.registry = registry;
    this.slowStart = slowStart;
    this.filter = filter;
    this.cost = cost;
    this.outliers = outliers;
    this.random = random;
  }

  /** The best worker; failing any good one, the one that is blocked least. Null if none may be. */
  WorkerStats select(PendingRequest request, Attempt groupAttempt, double now) {
    WorkerStats best = selectPreferred(request, groupAttempt, now);
    if (best == null) {
      best = new Scan(request, groupAttempt, now, Extent.ALL_PREFERRED).run();
    }
    return best != null ? best : new Scan(request, groupAttempt, now, Extent.ALL_PERMITTED).run();
  }

  /** The best worker among the good ones; null if there is none. */
  WorkerStats selectPreferred(PendingRequest request, Attempt groupAttempt, double now) {
    return new Scan(request, groupAttempt, now, Extent.SAMPLE).run();
  }

  /** One look over the workers, which draws one random number for the tie-break of each. */
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
      if (!exhaustive()) {
        slowStart.granted().stream().filter(worker -> worker.listed).forEach(this::consider);
      }
      return best;
    }

    private void scan(List<WorkerStats> pool) {
      int size = pool.size();
      int looks = looks(size);
      for (int i = 0; i < looks; i++) {
        consider(pool.get(looks == size ? i : random.nextInt(size)));
      }
    }

    private boolean exhaustive() {
      return groupAttempt != null || extent != Extent.SAMPLE;
    }

    private int looks(int size) {
      boolean object = request.job.object() != 0;
      return exhaustive() || (object && size <= MAX_OBJECT_SCAN)
          ? size
          : Math.min(size, SAMPLE_SIZE);
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
