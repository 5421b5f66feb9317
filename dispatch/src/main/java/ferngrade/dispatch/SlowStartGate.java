package ferngrade.dispatch;

import java.util.List;

/** Admits requests to workers that are warming up, within {@link SlowStart}'s budgets. */
final class SlowStartGate {
  /** The least that a job costs, in requests of mean work: hints of its work are rough. */
  private static final double MIN_COST = 0.5;

  private final WorkerRegistry registry;
  private final SlowStart slowStart;
  private final ServiceTimeEstimator serviceTimes;
  private final SlotBudget budget;
  private final FleetLoadMeter fleetLoad;
  private List<WorkerStats> granted = List.of();

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

  /** Looks for the workers at which this dispatcher has a grant, once in each budget cycle. */
  void startCycle(double now) {
    granted =
        registry
            .ready()
            .filter(worker -> slowStart.warmingUp(worker.entry, now))
            .filter(worker -> slowStart.allows(worker.entry, MIN_COST, warmCapacity(worker), now))
            .toList();
  }

  /** The workers that are warming up at which this dispatcher had a grant in this budget cycle. */
  List<WorkerStats> granted() {
    return granted;
  }

  /** True while the worker is warming up. */
  boolean warmingUp(WorkerStats worker, double now) {
    return slowStart.warmingUp(worker.entry, now);
  }

  /** True unless the worker is warming up and its budget does not cover the request. */
  boolean allows(PendingRequest request, WorkerStats worker, double now) {
    return !slowStart.warmingUp(worker.entry, now)
        || slowStart.allows(worker.entry, cost(request), warmCapacity(worker), now);
  }

  /** Counts a request that is sent to the worker. */
  void attemptSent(PendingRequest request, WorkerStats worker, double now) {
    slowStart.sent(worker.entry, cost(request), now);
  }

  /** What a request adds to the load of a worker, in requests of mean work. */
  private double cost(PendingRequest request) {
    double work = serviceTimes.work(request);
    double meanWork = serviceTimes.meanWork();
    return meanWork > 0 ? Math.max(MIN_COST, work / meanWork) : MIN_COST;
  }

  /**
   * Requests of mean work a second that the worker carries when warm: by its listed size, else by
   * what the warm workers accept from this dispatcher.
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
    double requests = budget.acceptedRate() / serviceTimes.meanSlots() * slowStart.participants();
    return requests / warmWorkers / Math.max(1, worker.group.slowness);
  }
}
