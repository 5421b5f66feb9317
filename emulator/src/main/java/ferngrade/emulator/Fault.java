package ferngrade.emulator;

/**
 * One fault of a plan: from {@code at} for {@code length} ms after the run's start. {@code size}
 * and {@code part} mean what the kind says; {@code target} names a tenant, zone, worker or node by
 * its number, -1 for one drawn by chance.
 */
public record Fault(Kind kind, double at, double length, double size, double part, int target) {
  /** What can go wrong. */
  public enum Kind {
    /** All arrivals times {@code size}. */
    BURST,
    /** The arrivals of one tenant times {@code size}. */
    TENANT_FLOOD,
    /** The arrivals of one zone times {@code size}. */
    ZONE_SURGE,
    /**
     * A rolling deploy of the share {@code part} of the fleet, {@code size} of the fleet at a time.
     */
    DEPLOY,
    /** The fleet and the arrivals shrink by {@code size}, and stay so. */
    SHRINK,
    /**
     * A zone is cut off from the others: both ways, or with a {@code part} above 0 towards it only.
     */
    ZONE_CUT,
    /** A worker runs {@code size} times slower and says nothing of it. */
    SLOW_WORKER,
    /** A worker takes what it is sent and never answers. */
    HUNG_WORKER,
    /** A worker's machine vanishes without a word; its connections stay open and silent. */
    WORKER_LOST,
    /** A worker's process dies, and restarts cold after {@code length}. */
    WORKER_CRASH,
    /** All processes of a zone's workers die at once, and restart cold after {@code length}. */
    ZONE_LOST,
    /** A node is killed, and starts again after {@code length}. */
    NODE_KILL,
    /**
     * The share {@code part} of the nodes is killed at once, and starts again after {@code length}.
     */
    HERD_KILL,
    /** A node's process stands still while its clock goes on. */
    NODE_PAUSE,
    /** Discovery tells nothing; what it held back comes at the end. */
    DISCOVERY_OUT,
    /** Discovery calls the share {@code part} of the leaving workers active. */
    DISCOVERY_LIES
  }

  /** A fault with everything but its kind and times left to chance. */
  public Fault {
    if (!(at >= 0) || !(length >= 0)) {
      throw new IllegalArgumentException(kind + " has a time below 0");
    }
  }
}
