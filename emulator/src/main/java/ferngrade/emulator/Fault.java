package ferngrade.emulator;

/**
 * A scheduled fault. It begins {@code at} ms after the start of the run and lasts {@code length}
 * ms. The meaning of {@code size} and {@code part} depends on the kind. {@code target} is the
 * number of a tenant, zone, worker or node, or -1 for a random one.
 */
public record Fault(Kind kind, double at, double length, double size, double part, int target) {
  /** The kind of a fault. */
  public enum Kind {
    /** Multiplies the rate of all arrivals by {@code size}. */
    BURST,
    /** Multiplies the arrival rate of one tenant by {@code size}. */
    TENANT_FLOOD,
    /** Multiplies the arrival rate of one zone by {@code size}. */
    ZONE_SURGE,
    /**
     * Replaces the share {@code part} of the fleet in a rolling deploy, in batches of the share
     * {@code size}.
     */
    DEPLOY,
    /** Divides the fleet and the arrival rate by {@code size}, permanently. */
    SHRINK,
    /**
     * Partitions a zone from the others, in both directions, or only towards the zone if {@code
     * part} is above 0.
     */
    ZONE_CUT,
    /** Makes a worker {@code size} times slower, which it does not report. */
    SLOW_WORKER,
    /** Makes a worker accept requests without ever answering them. */
    HUNG_WORKER,
    /** Makes a worker's machine unreachable; its connections stay open, but carry no data. */
    WORKER_LOST,
    /** Crashes a worker's process, which restarts cold after {@code length}. */
    WORKER_CRASH,
    /** Crashes all workers of a zone at once; they restart cold after {@code length}. */
    ZONE_LOST,
    /** Kills a node, which restarts after {@code length}. */
    NODE_KILL,
    /** Kills the share {@code part} of the nodes at once; they restart after {@code length}. */
    HERD_KILL,
    /** Pauses a node's process while its clock continues. */
    NODE_PAUSE,
    /** Stops discovery from publishing; the delayed changes are published when the fault ends. */
    DISCOVERY_OUT,
    /** Makes discovery list the share {@code part} of the draining workers as active. */
    DISCOVERY_LIES
  }

  /** Creates a fault; rejects negative times. */
  public Fault {
    if (!(at >= 0) || !(length >= 0)) {
      throw new IllegalArgumentException(kind + " has a time below 0");
    }
  }
}
