package ferngrade.emulator;

/** One kind of worker. Speeds are multiples of a standard core's; times are milliseconds. */
public final class KindSpec {
  /** Its name. */
  public String name = "std";

  /** Its part of the fleet, in proportion to the other kinds'. */
  public double share = 1;

  @Quantity(Quantity.Measure.POSITIVE)
  public double cores = 5;

  @Quantity(Quantity.Measure.POSITIVE)
  public double speed = 1;

  /** The spread of speed from worker to worker, as a coefficient of variation. */
  public double speedSpread = 0.1;

  @Quantity(Quantity.Measure.POSITIVE)
  public double slotsPerCore = 1;

  /** Places in the queue for each core; beyond them the answer is 'full'. */
  public double queuePerCore = 10;

  /** {@code fifo}, {@code backfill} or {@code priority}. */
  public Order order = Order.FIFO;

  /** The share of its capacity with which a worker starts, and when it is warm. */
  @Quantity(Quantity.Measure.SHARE)
  public double coldStart = 0.2;

  @Quantity(Quantity.Measure.TIME)
  public double coldMs = 15_000;

  /**
   * Loss of efficiency for each core's worth of jobs held beyond {@code thrashAt} for each core.
   */
  public double thrash = 0.3;

  public double thrashAt = 4;

  /** The share of jobs that end in an error. */
  @Quantity(Quantity.Measure.SHARE)
  public double errorRate = 0.001;

  /** A pause of all work now and then; none if {@code pauseMs} is 0. */
  @Quantity(Quantity.Measure.TIME)
  public double pauseEvery = 8000;

  @Quantity(Quantity.Measure.TIME)
  public double pauseMs;

  /** Whether a cancel drops a waiting job. */
  public boolean cancelDropsWaiting;

  /** Whether a drain hands back what has not started. */
  public boolean drainReturns = true;

  /** Connections accepted at a time, for each core. */
  @Quantity(Quantity.Measure.POSITIVE)
  public double connectionsPerCore = 700;

  /** The work that a new connection costs. */
  @Quantity(Quantity.Measure.TIME)
  public double handshakeWork = 2;

  /** How often its load report is made anew, and how far each figure strays, as a share of it. */
  @Quantity(Quantity.Measure.TIME)
  public double reportPeriod = 50;

  @Quantity(Quantity.Measure.SHARE)
  public double reportNoise = 0.05;

  /** Whether its news of an end brings the report, with the requests that it holds. */
  public boolean reportsWithAnswers;

  /** Time between progress reports; none if 0. */
  @Quantity(Quantity.Measure.TIME)
  public double progressMs = 1000;

  /** Objects that it keeps for each slot, those used last. */
  @Quantity(Quantity.Measure.POSITIVE)
  public double keptPerSlot = 0.85;

  /** The order in which a queue is served. */
  public enum Order {
    FIFO,
    BACKFILL,
    PRIORITY
  }

  /** The slots of a worker of this kind. */
  public int slots() {
    return (int) Math.max(1, Math.round(cores * slotsPerCore));
  }

  /** The objects that it keeps. */
  public int kept() {
    return (int) Math.max(1, Math.round(slots() * keptPerSlot));
  }

  /** The places in its queue. */
  public int queue() {
    return (int) Math.max(0, Math.round(cores * queuePerCore));
  }
}
