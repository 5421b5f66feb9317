package ferngrade.dispatch;

/**
 * Computes the latest start of a job at a worker that still meets the latency objective of its
 * class. All times are milliseconds. Event thread only.
 */
final class StartDeadlines {
  /**
   * Fraction of a job's spare time after which the waiting job counts as rejected: a wait of this
   * length shows that queues have begun to grow.
   */
  private static final double LATE_FRACTION = 0.75;

  private final ServiceTimeEstimator serviceTimes;
  private final WaitEstimator waits;
  private final SlotBudget budget;

  StartDeadlines(ServiceTimeEstimator serviceTimes, WaitEstimator waits, SlotBudget budget) {
    this.serviceTimes = serviceTimes;
    this.waits = waits;
    this.budget = budget;
  }

  /** Returns the time that a job can wait and still meet its objective if this worker runs it. */
  double spareTime(PendingRequest request, WorkerStats worker) {
    JobClass jobClass = request.jobClass;
    return jobClass.latencyObjectiveMs()
        + jobClass.latencyObjectiveFactor() * serviceTimes.standardTime(request)
        - serviceTimes.timeAt(request, worker);
  }

  /**
   * Returns the time in ms without a start after which a job counts as rejected. The time is a
   * fraction of the spare time, or of the fixed part of the latency objective if that is longer.
   */
  double maxStartDelay(PendingRequest request, WorkerStats worker) {
    return LATE_FRACTION
        * Math.max(spareTime(request, worker), request.jobClass.latencyObjectiveMs());
  }

  /**
   * Returns true for a first attempt that would start so late that it would only delay later jobs.
   * Returns false while the slice does not follow the listed loads.
   */
  boolean wouldStartLate(PendingRequest request, WorkerStats worker, double now) {
    return budget.followsLoads()
        && request.attempts.isEmpty()
        && waits.waitByListedLoad(worker, now) > maxStartDelay(request, worker);
  }
}
