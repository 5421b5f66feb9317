package ferngrade.dispatch;

/** The cost of sending a request to a worker, in ms of delay. Event thread only. */
final class CandidateCost {
  /** Weight of the expected service time: a slow worker in time is as good as a fast one. */
  private static final double SERVICE_TIME_WEIGHT = 0.3;

  /** Cost of fetching an object, in mean work: its time, and its part of the object store. */
  private static final double FETCH_COST = 1.2;

  /** Crossing zones costs charge x objective x this: half the jobs in time are lost over half. */
  private static final double CROSS_ZONE_DELAY = 2;

  private final DispatcherSettings settings;
  private final WorkerRegistry registry;
  private final ServiceTimeEstimator serviceTimes;
  private final WaitEstimator waits;
  private final SlowStartGate slowStart;

  CandidateCost(
      DispatcherSettings settings,
      WorkerRegistry registry,
      ServiceTimeEstimator serviceTimes,
      WaitEstimator waits,
      SlowStartGate slowStart) {
    this.settings = settings;
    this.registry = registry;
    this.serviceTimes = serviceTimes;
    this.waits = waits;
    this.slowStart = slowStart;
  }

  /** Waits, speed, fetch and zone. */
  double of(PendingRequest request, WorkerStats worker, double now) {
    double missing = worker.objects.missing(request.job.object(), worker.id);
    double cost =
        queueing(worker, now)
            + SERVICE_TIME_WEIGHT * serviceTimes.timeAt(request, worker)
            + FETCH_COST * serviceTimes.meanWork() * missing;
    if (!registry.isLocal(worker)) {
      double objective = request.jobClass.aim() + request.jobClass.stretch() * serviceTimes.mean();
      cost += CROSS_ZONE_DELAY * settings.crossCharge() * objective;
    }
    return cost + registry.roundTripTime(worker);
  }

  /**
   * The wait for a start. At a worker that is warming up it follows the listed load alone: the few
   * dispatchers that have a grant there cannot crowd it, and none has seen waits of its own there.
   * Else slots held from here come first, each worth a mean service time over the worker's slots,
   * where reports show these: many dispatchers that went by the listed sizes would crowd the large
   * workers.
   */
  private double queueing(WorkerStats worker, double now) {
    if (slowStart.warmingUp(worker, now) && waits.followsLoads()) {
      return waits.byListedLoad(worker, now);
    }
    return registry.effectiveHeldSlots(worker) * serviceTimes.mean() / worker.group.slots
        + waits.expected(worker, now);
  }
}
