package ferngrade.emulator;

/**
 * Specifies the network between clients, nodes and workers. Times are in ms, delays are one-way,
 * and loss and reset are shares of the messages.
 */
public final class NetworkSpec {
  @Quantity(Quantity.Measure.TIME)
  public double sameZone = 0.2;

  @Quantity(Quantity.Measure.TIME)
  public double crossZone = 2;

  @Quantity(Quantity.Measure.TIME)
  public double client = 0.5;

  /** The delay of a datagram between nodes. */
  @Quantity(Quantity.Measure.TIME)
  public double peer = 10;

  /** The largest deviation of a delay, as a share of the delay; drawn uniformly. */
  @Quantity(Quantity.Measure.SHARE)
  public double jitter = 0.2;

  /** The share of lost packets. A lost TCP segment is retransmitted; a lost datagram is not. */
  @Quantity(Quantity.Measure.SHARE)
  public double loss;

  @Quantity(Quantity.Measure.TIME)
  public double retransmit = 200;

  /** The share of attempts whose connection is reset before the worker reads the request. */
  @Quantity(Quantity.Measure.SHARE)
  public double reset;

  @Quantity(Quantity.Measure.TIME)
  public double connectTimeout = 250;

  @Quantity(Quantity.Measure.TIME)
  public double connectionIdle = 60_000;

  /** The number of round trips that a new connection takes before its first request. */
  public double handshakeTrips = 2;
}
