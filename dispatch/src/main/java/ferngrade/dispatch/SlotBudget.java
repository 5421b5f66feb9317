package ferngrade.dispatch;

/**
 * Controls the slice, which is the number of slots per second that this dispatcher may start. If
 * the endpoint list includes loads, the slice follows this dispatcher's share of the fleet.
 * Otherwise it grows while attempts are accepted and is cut when they are rejected or start too
 * late. Event thread only.
 */
final class SlotBudget {
  /**
   * Share of the fleet's idle cores. The target of one dispatcher's slice is at least the rate that
   * this share can serve, regardless of the previous slice.
   */
  private static final double MAX_IDLE_SHARE = 0.5;

  /**
   * Maximum ratio of a slice to the dispatcher's share of the fleet, used while no jobs are queued.
   * Without headroom a slice could never grow.
   */
  private static final double HEADROOM = 1.75;

  /** Reduction of the headroom when every worker has one job queued for each core. */
  private static final double QUEUED_HEADROOM_REDUCTION = 0.55;

  /**
   * Fraction of the difference between the target and the slice that is applied in each cycle. With
   * a fraction of 1 the slice would oscillate with each update of the endpoint list.
   */
  private static final double SHARE_GAIN = 0.6;

  /** Minimum share of busy cores at which a dispatcher's share can be derived from the loads. */
  private static final double MIN_BUSY_SHARE = 0.05;

  /**
   * Number of queued jobs per core above which the fleet is congested. In a congested fleet,
   * avoiding workers with long queues only lengthens the queues of other workers.
   */
  private static final double CONGESTED_QUEUE = 0.35;

  /** Relative growth of a slice per cycle while there is demand; a halved slice recovers in 2 s. */
  private static final double GROWTH_PER_CYCLE = 0.2;

  /**
   * Relative cut of a slice per cycle, as a multiple of the share of rejected attempts. Growth and
   * cut balance when a twentieth of the attempts is rejected.
   */
  private static final double CUT_FACTOR = 4;

  /**
   * Minimum fraction of a slice that remains after one cut: the rejections of a single burst must
   * not stop a dispatcher.
   */
  private static final double MIN_REMAINING_FRACTION = 0.3;

  /**
   * Maximum ratio of a slice to the demand; bounded so that a cut takes effect within two cycles.
   */
  private static final double MAX_DEMAND_MULTIPLE = 1.5;

  /** Minimum slice in slots per second, with which an idle dispatcher can start again. */
  private static final double MIN_SLICE = 1;

  /**
   * Weight of the newest cycle in the smoothed numbers of sent and rejected attempts, which
   * determine cuts. The numbers are smoothed because among few jobs the share of late ones varies
   * by chance.
   */
  private static final double COUNT_WEIGHT = 0.2;

  private final boolean weightsIncludeLoad;

  /** The slice in slots per second; NaN before the first cycle. */
  private double slice = Double.NaN;

  private double lastCutAt = Double.NEGATIVE_INFINITY;
  private int sentCount;
  private int rejectedCount;
  private double acceptedSlots;
  private double meanSent;
  private double meanRejected;
  private double acceptedRate;
  private boolean followsLoads;
  private boolean congested;

  /**
   * Creates a budget without a slice. {@code weightsIncludeLoad} is true if the endpoint list
   * includes each worker's load from all dispatchers.
   */
  SlotBudget(boolean weightsIncludeLoad) {
    this.weightsIncludeLoad = weightsIncludeLoad;
  }

  /** Returns the number of slots per second that may be started, or NaN before the first cycle. */
  double slice() {
    return slice;
  }

  /** Returns true while the slice and the estimated waits follow the loads in the endpoint list. */
  boolean followsLoads() {
    return followsLoads;
  }

  /** Returns true while queues are long throughout the fleet. */
  boolean congested() {
    return congested;
  }

  /** Returns the smoothed rate of slots per second of attempts that were accepted in time. */
  double acceptedRate() {
    return acceptedRate;
  }

  /** Returns the smoothed share of attempts that were rejected or started late. */
  double rejectedShare() {
    return meanRejected == 0 ? 0 : meanRejected / Math.max(meanSent, meanRejected);
  }

  void attemptSent() {
    sentCount++;
  }

  void attemptRejected() {
    rejectedCount++;
  }

  /**
   * Returns true if the attempt was sent after the last cut. An earlier attempt waits in a queue
   * that the cut has already taken into account. Counting it again would cut an already small slice
   * for as long as the queues take to drain.
   */
  boolean sentSinceLastCut(Attempt attempt) {
    return attempt.sentAt >= lastCutAt;
  }

  /**
   * Counts the slots of an attempt that has started, or has succeeded without a report of its
   * start. Ignores an attempt that was counted as late or was sent before the last cut.
   */
  void attemptStarted(Attempt attempt, double slots) {
    if (!attempt.countedLate && sentSinceLastCut(attempt)) {
      acceptedSlots += slots;
    }
  }

  /**
   * Counts an attempt as rejected if it has not started by its start deadline, because a worker
   * with a long queue rejects attempts too late. The attempt is counted at the deadline. If it were
   * counted at its start, the queue would grow for twice as long before the cut.
   */
  void startDeadlinePassed(Attempt attempt) {
    if (attempt.inFlight() && !attempt.hasStarted() && sentSinceLastCut(attempt)) {
      attempt.countedLate = true;
      rejectedCount++;
    }
  }

  /** Ends a budget cycle: sets the slice from the fleet's load or from the counts of this cycle. */
  void endCycle(FleetLoad load, double meanWork, double demand, double seconds, double now) {
    followsLoads =
        weightsIncludeLoad && load.startRateKnown() && load.busy() > MIN_BUSY_SHARE * load.size();
    congested = load.queued() > CONGESTED_QUEUE * load.size();
    if (followsLoads) {
      slice = Math.max(MIN_SLICE, slice + SHARE_GAIN * (fleetShare(load, meanWork) - slice));
    } else {
      growOrCut(demand, seconds, now);
    }
    sentCount = 0;
    acceptedSlots = 0;
    rejectedCount = 0;
  }

  /** Changes the slice by {@code change} slots per second, which peers lose or gain. */
  void adjust(double change) {
    slice = Math.max(MIN_SLICE, slice + change);
  }

  /**
   * Returns the target of the slice: this dispatcher's share of the fleet times the headroom, but
   * at least the rate that {@link #MAX_IDLE_SHARE} of the idle cores can serve. The share is the
   * dispatcher's own start rate divided by the busy fraction of the reachable workers. All
   * dispatchers read the same loads, so the sum of the slices adapts to the loss of a zone without
   * any message between them.
   */
  private static double fleetShare(FleetLoad load, double meanWork) {
    double ownShare = load.startRate() * load.size() / load.busy();
    double headroom = HEADROOM - QUEUED_HEADROOM_REDUCTION * load.queued() / load.size();
    return Math.max(
        ownShare * headroom, MAX_IDLE_SHARE * (load.size() - load.busy()) * 1000 / meanWork);
  }

  private void growOrCut(double demand, double seconds, double now) {
    meanSent += COUNT_WEIGHT * (sentCount - meanSent);
    meanRejected += COUNT_WEIGHT * (rejectedCount - meanRejected);
    acceptedRate += COUNT_WEIGHT * (acceptedSlots / seconds - acceptedRate);
    double maxSlice = MAX_DEMAND_MULTIPLE * demand + MIN_SLICE;
    double change = GROWTH_PER_CYCLE - CUT_FACTOR * rejectedShare();
    // The slice stays at its maximum until the first cut reveals a limit. A dispatcher that waits
    // for its clients has no demand for several cycles; growing from the minimum slice would then
    // reject requests on an idle fleet.
    if (Double.isNaN(slice) || (change >= 0 && lastCutAt == Double.NEGATIVE_INFINITY)) {
      slice = Double.isNaN(slice) ? maxSlice : Math.max(maxSlice, slice);
    }
    // The maximum only stops growth. Cutting the slice to it would destroy slots that peers
    // transfer through this dispatcher.
    if (change < 0 || slice < maxSlice) {
      applyChange(change, now);
    } else {
      slice = Math.max(maxSlice, slice * (1 - GROWTH_PER_CYCLE));
    }
    // Requests may have been admitted to idle workers beyond the slice; the accepted ones show that
    // the slots exist.
    slice = Math.max(slice, acceptedRate);
  }

  /**
   * Changes the slice by this fraction, but does not cut it below the accepted rate. The workers
   * have shown that these slots exist, and a lower slice would leave the fleet idle.
   */
  private void applyChange(double change, double now) {
    if (change < 0) {
      lastCutAt = now;
      meanRejected = 0;
    }
    double acceptedSlice = Math.min(slice, acceptedRate);
    slice =
        Math.max(
            Math.max(MIN_SLICE, acceptedSlice),
            slice * Math.max(MIN_REMAINING_FRACTION, 1 + change));
  }
}
