package ferngrade.lease;

import ferngrade.lease.LeaseTable.Slot;

/**
 * A job that is put in again and again: what its owner has to do now. Due times are whole multiples
 * of the period since 1970, so that all members name them alike.
 *
 * <p>Due times follow the wall clock. A step forward of most members' clocks makes due what it
 * passed over, as an outage does: once for all. After a step back, due times that have been met are
 * not met again, and the next is the first later one. No due time is begun twice, nor are many at
 * once; leases don't rest on this clock.
 *
 * @param name the name, and the duty's
 * @param every the period, ms
 * @param missed whether a due time that fell into an outage is run late, once for all that were
 *     missed
 * @param repeat whether a job that an earlier owner may have put in may be put in again
 */
public record RecurringSchedule(String name, long every, boolean missed, boolean repeat) {
  /** How late, as a share of the period, a due time may be met that is not run late. */
  private static final double ON_TIME = 0.5;

  /** What to do. */
  public enum Step {
    /** Nothing is due. */
    WAIT,
    /** Put it in, after the log has accepted that. */
    BEGIN,
    /** This owner began it, and the log does not know yet what came of it. */
    BEGUN,
    /** An earlier owner began it and did not say what came of it: put it in again. */
    REPEAT,
    /** The same, but it must not be put in twice: nobody knows whether it was. */
    DOUBT,
    /** It is over without having been put in: too late, or before the first. */
    SKIP
  }

  /** What to do about what is due then. */
  public record Decision(Step step, long due) {}

  /** The shard whose owner puts it in. */
  public Shard shard() {
    return new Shard(name, 0);
  }

  /**
   * Decides by the wall clock, Unix ms, what the log holds of the shard, and the epoch of this
   * owner.
   */
  public Decision decide(long wall, Slot slot, long epoch) {
    if (slot.open()) {
      Step open = repeat ? Step.REPEAT : Step.DOUBT;
      return new Decision(slot.begunBy() == epoch ? Step.BEGUN : open, slot.due());
    }
    long due = Math.floorDiv(wall, every) * every;
    if (due <= slot.due()) {
      return new Decision(Step.WAIT, slot.due());
    }
    boolean late = wall - due > ON_TIME * every;
    return new Decision(slot.due() == 0 || (late && !missed) ? Step.SKIP : Step.BEGIN, due);
  }
}
