package ferngrade.dispatch;

/**
 * Says until when a job must start at a worker to be in time for its class's latency objective. All
 * times are milliseconds. Event thread only.
 */
final class StartDeadlines {
  /**
   * Share of its spare time from which on a job's wait counts as a rejection: queues have begun to
   * build.
   */
  private static final double LATE_SHARE = 0.75;

  private final ServiceTimeEstimator serviceTimes;
  private final WaitEstimator waits;
  private final SlotBudget budget;

  StartDeadlines(ServiceTimeEstimator serviceTimes, WaitEstimator waits, SlotBudget budget) {
    this.serviceTimes = serviceTimes;
    this.waits = waits;
    this.budget = budget;
  }

  /** The time that a job can wait and still be in time if this worker runs it. */
  double spareTime(PendingRequest request, WorkerStats worker) {
    JobClass jobClass = request.jobClass;
    return jobClass.aim()
        + jobClass.stretch() * serviceTimes.standardTime(request)
        - serviceTimes.timeAt(request, worker);
  }

  /** The wait for its start from which on a job counts as rejected. */
  double lateAfter(PendingRequest request, WorkerStats worker) {
    return LATE_SHARE * Math.max(spareTime(request, worker), request.jobClass.aim());
  }

  /** True for a first attempt that would start so late that it only delays later jobs. */
  boolean wouldStartLate(PendingRequest request, WorkerStats worker, double now) {
    return budget.followsLoads()
        && request.attempts.isEmpty()
        && waits.byListedLoad(worker, now) > lateAfter(request, worker);
  }
}
