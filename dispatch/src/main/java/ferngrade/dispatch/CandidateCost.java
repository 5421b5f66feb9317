package ferngrade.dispatch;

/** Estimates the cost of sending a request to a worker, in ms of delay. Event thread only. */
final class CandidateCost {
  /**
   * Weight of the expected service time. It is below 1 because a slow worker that finishes in time
   * is as good as a fast one.
   */
  private static final double SERVICE_TIME_WEIGHT = 0.3;

  /**
   * Cost of fetching an object, in multiples of the mean work: the time of the fetch and its use of
   * the object store.
   */
  private static final double FETCH_COST = 1.2;

  /**
   * Factor of the delay in ms that is added for a worker in another zone: cross-zone cost x latency
   * objective x this factor. The value assumes that a delay of half a latency objective makes half
   * of the jobs late that would otherwise be in time.
   */
  private static final double CROSS_ZONE_DELAY_FACTOR = 2;

  private final DispatcherSettings settings;
  private final WorkerRegistry registry;
  private final ServiceTimeEstimator serviceTimes;
  private final WaitEstimator waits;
  private final SlowStartGate slowStartGate;

  CandidateCost(
      DispatcherSettings settings,
      WorkerRegistry registry,
      ServiceTimeEstimator serviceTimes,
      WaitEstimator waits,
      SlowStartGate slowStartGate) {
    this.settings = settings;
    this.registry = registry;
    this.serviceTimes = serviceTimes;
    this.waits = waits;
    this.slowStartGate = slowStartGate;
  }

  /**
   * Returns the sum of the costs of queueing, service time, object fetch, zone crossing and round
   * trip.
   */
  double of(PendingRequest request, WorkerStats worker, double now) {
    double fetchFraction = worker.cachedObjects.fetchFraction(request.job.object(), worker.id);
    double cost =
        queueingDelay(worker, now)
            + SERVICE_TIME_WEIGHT * serviceTimes.timeAt(request, worker)
            + FETCH_COST * serviceTimes.meanWork() * fetchFraction;
    if (!registry.isLocal(worker)) {
      double latencyObjective =
          request.jobClass.latencyObjectiveMs()
              + request.jobClass.latencyObjectiveFactor() * serviceTimes.mean();
      cost += CROSS_ZONE_DELAY_FACTOR * settings.crossZoneCost() * latencyObjective;
    }
    return cost + registry.roundTripTime(worker);
  }

  /**
   * Returns the expected wait for a start. If loads are listed, the wait at a worker that is
   * warming up follows the listed load alone: only a few dispatchers have a grant for the worker,
   * so they cannot overload it, and none of them has observed waits there. For other workers the
   * wait is the time to complete the slots in flight from this dispatcher, each of which takes a
   * mean service time divided by the worker's slots (if reports include that number), plus the
   * estimated wait. If many dispatchers relied on the listed sizes, they would overload the large
   * workers.
   */
  private double queueingDelay(WorkerStats worker, double now) {
    if (slowStartGate.warmingUp(worker, now) && waits.followsLoads()) {
      return waits.waitByListedLoad(worker, now);
    }
    return registry.effectiveSlotsInFlight(worker) * serviceTimes.mean() / worker.group.slots
        + waits.expectedWait(worker, now);
  }
}
