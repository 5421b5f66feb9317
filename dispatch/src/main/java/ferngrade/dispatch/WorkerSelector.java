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

  private final WorkerRegistry registry;
  private final CandidateFilter filter;
  private final CandidateCost cost;
  private final OutlierDetector outliers;
  private final SplittableRandom random;

  WorkerSelector(
      WorkerRegistry registry,
      CandidateFilter filter,
      CandidateCost cost,
      OutlierDetector outliers,
      SplittableRandom random) {
    this.registry = registry;
    this.filter = filter;
    this.cost = cost;
    this.outliers = outliers;
    this.random = random;
  }

  /** The best worker; failing any good one, the one that is blocked least. Null if none may be. */
  WorkerStats select(PendingRequest request, Attempt groupAttempt, double now) {
    WorkerStats best = new Scan(request, groupAttempt, now, false).run();
    return best != null ? best : new Scan(request, groupAttempt, now, true).run();
  }

  /** The best worker among the good ones; null if there is none. */
  WorkerStats selectPreferred(PendingRequest request, Attempt groupAttempt, double now) {
    return new Scan(request, groupAttempt, now, false).run();
  }

  /** One look over the workers, which draws one random number for the tie-break of each. */
  private final class Scan {
    private final PendingRequest request;
    private final Attempt groupAttempt;
    private final double now;
    private final boolean lastResort;
    private WorkerStats best;
    private double minCost = Double.POSITIVE_INFINITY;

    Scan(PendingRequest request, Attempt groupAttempt, double now, boolean lastResort) {
      this.request = request;
      this.groupAttempt = groupAttempt;
      this.now = now;
      this.lastResort = lastResort;
    }

    WorkerStats run() {
      scan(registry.local());
      scan(registry.remote());
      return best;
    }

    private void scan(List<WorkerStats> pool) {
      int size = pool.size();
      int looks = looks(size);
      for (int i = 0; i < looks; i++) {
        consider(pool.get(looks == size ? i : random.nextInt(size)));
      }
    }

    private int looks(int size) {
      boolean exhaustive = groupAttempt != null || lastResort;
      boolean object = request.job.object() != 0;
      return exhaustive || (object && size <= MAX_OBJECT_SCAN) ? size : Math.min(size, SAMPLE_SIZE);
    }

    private void consider(WorkerStats worker) {
      if (!filter.permits(request, groupAttempt, worker, now)
          || (!lastResort && !filter.prefers(request, worker, now))) {
        return;
      }
      double candidateCost = cost.of(request, worker, now) + random.nextDouble();
      if (lastResort) {
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
