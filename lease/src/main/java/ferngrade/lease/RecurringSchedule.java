package ferngrade.lease;

import ferngrade.lease.LeaseTable.Slot;

/**
 * The schedule of a recurring job, which decides the next step of its owner. Due times are whole
 * multiples of the period since 1970, so that all members compute the same due times.
 *
 * <p>Due times follow the wall clock. If most members' clocks step forward, the due times that were
 * skipped are treated like those missed in an outage: at most one run replaces all of them. After a
 * step back, due times that were already handled are not repeated; the next run is at the first due
 * time after them. No due time is begun twice, and at most one due time is in progress at a time.
 * Leases do not depend on the wall clock.
 *
 * @param name the name of the job and of its duty
 * @param periodMillis the period, ms
 * @param runMissed whether a due time that was missed in an outage is run late, once for all missed
 *     ones
 * @param repeatable whether a job that an earlier owner may have submitted may be submitted again
 */
public record RecurringSchedule(
    String name, long periodMillis, boolean runMissed, boolean repeatable) {
  /**
   * The maximum delay of a run, as a fraction of the period, for schedules that do not run missed
   * due times.
   */
  private static final double MAX_DELAY_FRACTION = 0.5;

  /** The next step of the owner. */
  public enum Step {
    /** No due time has been reached. */
    WAIT,
    /** The owner submits the job after the log has accepted the due time. */
    BEGIN,
    /** This owner began the due time, and the log has no result of it yet. */
    BEGUN,
    /** An earlier owner began the due time without recording a result: submit the job again. */
    REPEAT,
    /**
     * An earlier owner began the due time without recording a result, and the job must not be
     * submitted twice. It remains unknown whether the job was submitted.
     */
    DOUBT,
    /** The due time passes without a run, because it is too late or is the first one of the job. */
    SKIP
  }

  /** A step and the due time that it applies to. */
  public record Decision(Step step, long due) {}

  /** Returns the shard whose owner submits the job. */
  public Shard shard() {
    return new Shard(name, 0);
  }

  /**
   * Decides the next step from the wall clock, Unix ms, the state of the shard in the log, and this
   * owner's epoch.
   */
  public Decision decide(long wall, Slot slot, long epoch) {
    if (slot.open()) {
      Step interrupted = repeatable ? Step.REPEAT : Step.DOUBT;
      return new Decision(slot.begunBy() == epoch ? Step.BEGUN : interrupted, slot.due());
    }
    long due = Math.floorDiv(wall, periodMillis) * periodMillis;
    if (due <= slot.due()) {
      return new Decision(Step.WAIT, slot.due());
    }
    boolean late = wall - due > MAX_DELAY_FRACTION * periodMillis;
    return new Decision(slot.due() == 0 || (late && !runMissed) ? Step.SKIP : Step.BEGIN, due);
  }
}
