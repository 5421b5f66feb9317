package ferngrade.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Delays, losses and cuts between zones. A message into a cut never arrives, and nobody is told.
 */
public final class Network {
  /** The delay of what never arrives. */
  public static final double NEVER = Double.POSITIVE_INFINITY;

  private final NetworkSpec spec;
  private final UniformRandomProvider chance;
  private final int[][] cuts;

  /** A network between so many zones. */
  public Network(NetworkSpec spec, int zones, UniformRandomProvider chance) {
    this.spec = spec;
    this.chance = chance;
    this.cuts = new int[zones][zones];
  }

  /** Cuts a direction between two zones, once more or once less. */
  public void cut(int from, int to, boolean begins) {
    cuts[from][to] += begins ? 1 : -1;
  }

  boolean open(int from, int to) {
    return cuts[from][to] == 0;
  }

  /** The way of a segment of a stream from zone to zone, ms; {@link #NEVER} where it is cut. */
  public double stream(int from, int to) {
    if (!open(from, to)) {
      return NEVER;
    }
    double way = jittered(from == to ? spec.sameZone : spec.crossZone);
    double again = spec.retransmit;
    while (spec.loss > 0 && chance.nextDouble() < spec.loss) {
      way += again;
      again *= 2;
    }
    return way;
  }

  /** The way between a client and its front's node. */
  public double client() {
    return jittered(spec.client);
  }

  /**
   * The way of a datagram between nodes; lost ones never arrive, and late ones overtake one
   * another.
   */
  public double datagram(int from, int to) {
    boolean lost = !open(from, to) || (spec.loss > 0 && chance.nextDouble() < spec.loss);
    return lost ? NEVER : jittered(spec.peer);
  }

  /** True for an attempt whose connection is to be reset. */
  public boolean resets() {
    return spec.reset > 0 && chance.nextDouble() < spec.reset;
  }

  private double jittered(double delay) {
    return spec.jitter <= 0 ? delay : delay * (1 + spec.jitter * (2 * chance.nextDouble() - 1));
  }
}
