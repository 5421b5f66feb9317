package ferngrade.emulator;

/**
 * The network between the parties. Delays are one way, in milliseconds; the rest are shares of
 * messages.
 */
public final class NetworkSpec {
  @Quantity(Quantity.Measure.TIME)
  public double sameZone = 0.2;

  @Quantity(Quantity.Measure.TIME)
  public double crossZone = 2;

  @Quantity(Quantity.Measure.TIME)
  public double client = 0.5;

  /** Delay of a datagram between nodes. */
  @Quantity(Quantity.Measure.TIME)
  public double peer = 10;

  /** The spread of each delay, as a share of it; drawn evenly. */
  @Quantity(Quantity.Measure.SHARE)
  public double jitter = 0.2;

  /** Segments lost: each costs a retransmission on a stream; a datagram is gone. */
  @Quantity(Quantity.Measure.SHARE)
  public double loss;

  @Quantity(Quantity.Measure.TIME)
  public double retransmit = 200;

  /** Attempts whose connection is reset on the way. */
  @Quantity(Quantity.Measure.SHARE)
  public double reset;

  @Quantity(Quantity.Measure.TIME)
  public double connectTimeout = 250;

  @Quantity(Quantity.Measure.TIME)
  public double connectionIdle = 60_000;

  /** Trips that a new connection takes before its first request. */
  public double handshakeTrips = 2;
}
