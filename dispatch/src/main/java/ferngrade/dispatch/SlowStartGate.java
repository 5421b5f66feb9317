package ferngrade.dispatch;

import java.util.List;

/**
 * Admits requests to workers that are warming up, within the budgets of {@link SlowStart}. Event
 * thread only.
 */
final class SlowStartGate {
  /** Minimum cost of a job in requests of mean work; hints of a job's work are imprecise. */
  private static final double MIN_COST = 0.5;

  private final WorkerRegistry registry;
  private final SlowStart slowStart;
  private final ServiceTimeEstimator serviceTimes;
  private final SlotBudget budget;
  private final FleetLoadMeter fleetLoad;
  private List<WorkerStats> workersWithGrants = List.of();

  SlowStartGate(
      WorkerRegistry registry,
      SlowStart slowStart,
      ServiceTimeEstimator serviceTimes,
      SlotBudget budget,
      FleetLoadMeter fleetLoad) {
    this.registry = registry;
    this.slowStart = slowStart;
    this.serviceTimes = serviceTimes;
    this.budget = budget;
    this.fleetLoad = fleetLoad;
  }

  /** Determines the workers for which this dispatcher has a grant, once per budget cycle. */
  void startCycle(double now) {
    workersWithGrants =
        registry
            .ready()
            .filter(worker -> slowStart.warmingUp(worker.entry, now))
            .filter(worker -> slowStart.allows(worker.entry, MIN_COST, warmCapacity(worker), now))
            .toList();
  }

  /**
   * Returns the workers that are warming up and for which this dispatcher had a grant at the start
   * of this budget cycle.
   */
  List<WorkerStats> workersWithGrants() {
    return workersWithGrants;
  }

  /** Returns true while the worker is warming up. */
  boolean warmingUp(WorkerStats worker, double now) {
    return slowStart.warmingUp(worker.entry, now);
  }

  /** Returns false if the worker is warming up and its budget does not cover the request. */
  boolean allows(PendingRequest request, WorkerStats worker, double now) {
    return !slowStart.warmingUp(worker.entry, now)
        || slowStart.allows(worker.entry, cost(request), warmCapacity(worker), now);
  }

  /**
   * Deducts the cost of a request that is being sent to the worker from this dispatcher's grants.
   */
  void attemptSent(PendingRequest request, WorkerStats worker, double now) {
    slowStart.requestSent(worker.entry, cost(request), now);
  }

  /** Returns the request's work divided by the mean work, but at least {@link #MIN_COST}. */
  private double cost(PendingRequest request) {
    double work = serviceTimes.work(request);
    double meanWork = serviceTimes.meanWork();
    return meanWork > 0 ? Math.max(MIN_COST, work / meanWork) : MIN_COST;
  }

  /**
   * Returns the number of requests of mean work per second that the worker serves once it is warm.
   * It is derived from the listed size, or without listed loads from the rate that the warm workers
   * accept from this dispatcher.
   */
  private double warmCapacity(WorkerStats worker) {
    if (budget.followsLoads()) {
      double meanWork = serviceTimes.meanWork();
      return meanWork > 0 ? worker.group.size * 1000 / meanWork : 0;
    }
    int warmWorkers = fleetLoad.warmWorkers();
    if (warmWorkers == 0 || serviceTimes.meanSlots() == 0) {
      return 0;
    }
    double requestRate =
        budget.acceptedRate() / serviceTimes.meanSlots() * slowStart.participants();
    return requestRate / warmWorkers / Math.max(1, worker.group.slowness);
  }
}
