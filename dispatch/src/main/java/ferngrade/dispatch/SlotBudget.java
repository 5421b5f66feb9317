package ferngrade.dispatch;

/**
 * The slice: the slots a second that this dispatcher may start. Where the endpoint list shows
 * loads, it follows this dispatcher's share of the fleet; else it grows while attempts are accepted
 * and is trimmed when they are rejected or start too late. Event thread only.
 */
final class SlotBudget {
  /**
   * Part of the fleet's idle cores that one dispatcher may take at once, whatever it had before.
   */
  private static final double IDLE_SHARE = 0.5;

  /** A slice is at most so many times its share of the fleet; it could never grow otherwise. */
  private static final double HEADROOM = 1.75;

  /** What is taken off the headroom where every worker has a job waiting for each core. */
  private static final double QUEUED_HEADROOM_LOSS = 0.55;

  /** How far a slice moves to its share in a cycle; all the way it would swing with each list. */
  private static final double SETTLE = 0.6;

  /** Part of the cores that must be busy before loads show a dispatcher's share. */
  private static final double MIN_BUSY = 0.05;

  /**
   * Jobs queued for each core from which on a fleet is crowded, where passing over queues feeds
   * others.
   */
  private static final double CROWDED_QUEUE = 0.35;

  /** Share by which a slice in demand grows in a cycle: back from a half in 2 s. */
  private static final double GROW = 0.2;

  /**
   * Cut of a slice, times the rejected share of its attempts: it settles where a twentieth is
   * rejected.
   */
  private static final double TRIM = 4;

  /** The least that one cut leaves: the rejections of one burst must not stop a dispatcher. */
  private static final double MIN_KEPT = 0.3;

  /** A slice is at most so many times the demand, so that a trim is felt within two cycles. */
  private static final double SLACK = 1.5;

  /** Slots a second that a slice keeps in any case, so that an idle dispatcher can start again. */
  private static final double FLOOR = 1;

  /** Weight of the newest cycle in the counts for cuts: of few jobs, some are late by chance. */
  private static final double COUNT_WEIGHT = 0.2;

  private final boolean loadsListed;

  /** NaN before the first cycle. */
  private double slice = Double.NaN;

  private double lastCutAt = Double.NEGATIVE_INFINITY;
  private int sent;
  private int rejected;
  private double acceptedSlots;
  private double sentMean;
  private double rejectedMean;
  private double acceptedRate;
  private boolean followsLoads;
  private boolean crowded;

  /** {@code loadsListed}: the endpoint list shows each worker's load over all dispatchers. */
  SlotBudget(boolean loadsListed) {
    this.loadsListed = loadsListed;
  }

  /** The slots a second that may be started; NaN before the first cycle. */
  double slice() {
    return slice;
  }

  /** True while the slice, and estimates of waits, follow the loads in the endpoint list. */
  boolean followsLoads() {
    return followsLoads;
  }

  /** True while queues are long all over the fleet. */
  boolean crowded() {
    return crowded;
  }

  /** The smoothed slots a second of attempts accepted in time. */
  double acceptedRate() {
    return acceptedRate;
  }

  /** The smoothed share of attempts that were rejected or started late. */
  double rejectedShare() {
    return rejectedMean == 0 ? 0 : rejectedMean / Math.max(sentMean, rejectedMean);
  }

  void attemptSent() {
    sent++;
  }

  void attemptRejected() {
    rejected++;
  }

  /**
   * True if an attempt's fate says something of the present slice. One sent before the last cut
   * waits for what was cut for: counted again it would cut a slice that is small already, for as
   * long as the queues take to drain.
   */
  boolean reflectsSlice(Attempt attempt) {
    return attempt.sentAt >= lastCutAt;
  }

  /** Counts an attempt that has started, or has ended well without a notice of its start. */
  void attemptStarted(Attempt attempt, double slots) {
    if (!attempt.late && reflectsSlice(attempt)) {
      acceptedSlots += slots;
    }
  }

  /**
   * Counts an attempt as rejected if it still has not started: where queues are deep a worker's
   * rejection comes too late. It counts once it is too late, not when it starts: by then the queue
   * has grown for as long again.
   */
  void startDeadlinePassed(Attempt attempt) {
    if (attempt.inFlight() && !attempt.hasStarted() && reflectsSlice(attempt)) {
      attempt.late = true;
      rejected++;
    }
  }

  /** Ends a budget cycle: sets the slice by the fleet's load or by the counts of this cycle. */
  void endCycle(FleetLoad load, double meanWork, double demand, double seconds, double now) {
    followsLoads = loadsListed && load.startRateKnown() && load.busy() > MIN_BUSY * load.size();
    crowded = load.queued() > CROWDED_QUEUE * load.size();
    if (followsLoads) {
      slice = Math.max(FLOOR, slice + SETTLE * (fleetShare(load, meanWork) - slice));
    } else {
      growOrTrim(demand, seconds, now);
    }
    sent = 0;
    acceptedSlots = 0;
    rejected = 0;
  }

  /** Changes the slice by so many slots a second, which peers lose or gain. */
  void move(double step) {
    slice = Math.max(FLOOR, slice + step);
  }

  /**
   * This dispatcher's share of the fleet: its own starts over the busy part of the reachable
   * workers. All dispatchers see the same loads, so that the sum of the slices follows a lost zone
   * without a message.
   */
  private static double fleetShare(FleetLoad load, double meanWork) {
    double own = load.startRate() * load.size() / load.busy();
    double headroom = HEADROOM - QUEUED_HEADROOM_LOSS * load.queued() / load.size();
    return Math.max(own * headroom, IDLE_SHARE * (load.size() - load.busy()) * 1000 / meanWork);
  }

  private void growOrTrim(double demand, double seconds, double now) {
    sentMean += COUNT_WEIGHT * (sent - sentMean);
    rejectedMean += COUNT_WEIGHT * (rejected - rejectedMean);
    acceptedRate += COUNT_WEIGHT * (acceptedSlots / seconds - acceptedRate);
    double max = SLACK * demand + FLOOR;
    double change = GROW - TRIM * rejectedShare();
    // The start is generous until a first cut shows a limit. A dispatcher that waits for its
    // clients
    // sees no demand for some cycles; growing from the floor then rejects them on an idle fleet.
    if (Double.isNaN(slice) || (change >= 0 && lastCutAt == Double.NEGATIVE_INFINITY)) {
      slice = Double.isNaN(slice) ? max : Math.max(max, slice);
    }
    // Only growth stops at the maximum: cutting to it would destroy what peers pass through here.
    if (change < 0 || slice < max) {
      applyChange(change, now);
    } else {
      slice = Math.max(max, slice * (1 - GROW));
    }
    // Idle workers may have been given more than the slice: what they accepted proves it.
    slice = Math.max(slice, acceptedRate);
  }

  /** What was accepted proves that the slots exist; cutting below it starves an idle fleet. */
  private void applyChange(double change, double now) {
    if (change < 0) {
      lastCutAt = now;
      rejectedMean = 0;
    }
    double proven = Math.min(slice, acceptedRate);
    slice = Math.max(Math.max(FLOOR, proven), slice * Math.max(MIN_KEPT, 1 + change));
  }
}
