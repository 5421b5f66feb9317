package ferngrade.emulator;

/** Specifies a type of worker. Speeds are relative to a standard core; times are in ms. */
public final class WorkerTypeSpec {
  public String name = "std";

  /** The weight by which the workers of the fleet are distributed among the types. */
  public double share = 1;

  @Quantity(Quantity.Measure.POSITIVE)
  public double cores = 5;

  @Quantity(Quantity.Measure.POSITIVE)
  public double speed = 1;

  /** The coefficient of variation of the speed among workers. */
  public double speedSpread = 0.1;

  @Quantity(Quantity.Measure.POSITIVE)
  public double slotsPerCore = 1;

  /** The queue capacity per core; a worker whose queue is full rejects further jobs. */
  public double queuePerCore = 10;

  /** The order in which queued jobs are started. */
  public Order order = Order.FIFO;

  /** The share of its capacity that a worker has at its start; it is warm after {@link #coldMs}. */
  @Quantity(Quantity.Measure.SHARE)
  public double coldStart = 0.2;

  @Quantity(Quantity.Measure.TIME)
  public double coldMs = 15_000;

  /**
   * The loss of efficiency for each job per core, running or queued, in excess of {@link #thrashAt}
   * jobs per core.
   */
  public double thrash = 0.3;

  public double thrashAt = 4;

  /** The share of jobs that end with an error. */
  @Quantity(Quantity.Measure.SHARE)
  public double errorRate = 0.001;

  /** The mean time between pauses of all work; there are no pauses if {@link #pauseMs} is 0. */
  @Quantity(Quantity.Measure.TIME)
  public double pauseEvery = 8000;

  @Quantity(Quantity.Measure.TIME)
  public double pauseMs;

  /** Whether a cancellation drops a waiting job. */
  public boolean cancelDropsWaiting;

  /** Whether a draining worker returns the jobs that have not started. */
  public boolean drainReturns = true;

  /** The maximum number of open connections per core. */
  @Quantity(Quantity.Measure.POSITIVE)
  public double connectionsPerCore = 700;

  /** The work that a new connection costs the worker. */
  @Quantity(Quantity.Measure.TIME)
  public double handshakeWork = 2;

  /**
   * The time between updates of the load report. {@link #reportNoise} is the largest deviation of a
   * reported value, as a share of the value.
   */
  @Quantity(Quantity.Measure.TIME)
  public double reportPeriod = 50;

  @Quantity(Quantity.Measure.SHARE)
  public double reportNoise = 0.05;

  /** Whether the callback that ends a job carries the load report and the number of jobs held. */
  public boolean reportsWithAnswers;

  /** The time between progress reports; 0 disables them. */
  @Quantity(Quantity.Measure.TIME)
  public double progressMs = 1000;

  /** The capacity per slot of the object cache, which evicts the least recently used object. */
  @Quantity(Quantity.Measure.POSITIVE)
  public double keptPerSlot = 0.85;

  /** An order in which queued jobs are started. */
  public enum Order {
    FIFO,
    BACKFILL,
    PRIORITY
  }

  /** Returns the number of slots of a worker. */
  public int slots() {
    return (int) Math.max(1, Math.round(cores * slotsPerCore));
  }

  /** Returns the number of objects that a worker caches. */
  public int cachedObjects() {
    return (int) Math.max(1, Math.round(slots() * keptPerSlot));
  }

  /** Returns the queue capacity of a worker. */
  public int queueCapacity() {
    return (int) Math.max(0, Math.round(cores * queuePerCore));
  }
}
