package ferngrade.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Emulates delays, packet loss and network partitions between zones. A message into a partition is
 * dropped without an error for the sender.
 */
public final class Network {
  /** The delay of a message that never arrives. */
  public static final double NEVER = Double.POSITIVE_INFINITY;

  private final NetworkSpec spec;
  private final UniformRandomProvider random;
  private final int[][] cuts;

  /** Creates a network between {@code zones} zones. */
  public Network(NetworkSpec spec, int zones, UniformRandomProvider random) {
    this.spec = spec;
    this.random = random;
    this.cuts = new int[zones][zones];
  }

  /**
   * Begins or ends a cut of the direction from one zone to another. Cuts may overlap: messages pass
   * again when all of them have ended.
   */
  public void cut(int from, int to, boolean begins) {
    cuts[from][to] += begins ? 1 : -1;
  }

  boolean connected(int from, int to) {
    return cuts[from][to] == 0;
  }

  /** Draws the delay of a TCP segment between zones, in ms; {@link #NEVER} if they are cut. */
  public double streamDelay(int from, int to) {
    if (!connected(from, to)) {
      return NEVER;
    }
    double delay = jittered(from == to ? spec.sameZone : spec.crossZone);
    double retransmitTimeout = spec.retransmit;
    while (spec.loss > 0 && random.nextDouble() < spec.loss) {
      delay += retransmitTimeout;
      retransmitTimeout *= 2;
    }
    return delay;
  }

  /**
   * Draws the delay between a client and the node that the front load balancer picked for the
   * client, in ms.
   */
  public double clientDelay() {
    return jittered(spec.client);
  }

  /**
   * Draws the delay of a datagram between nodes, in ms; {@link #NEVER} if it is lost. Datagrams may
   * arrive out of order.
   */
  public double datagramDelay(int from, int to) {
    boolean lost = !connected(from, to) || (spec.loss > 0 && random.nextDouble() < spec.loss);
    return lost ? NEVER : jittered(spec.peer);
  }

  /** Draws whether the connection of an attempt is reset. */
  public boolean drawReset() {
    return spec.reset > 0 && random.nextDouble() < spec.reset;
  }

  private double jittered(double delay) {
    return spec.jitter <= 0 ? delay : delay * (1 + spec.jitter * (2 * random.nextDouble() - 1));
  }
}
