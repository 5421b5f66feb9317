package ferngrade.emulator;

/**
 * Specifies how the worker list reaches the nodes. Times are in ms; the delay of each change is
 * drawn uniformly from its range.
 */
public final class DiscoverySpec {
  /** The shortest delay until a change is detected; {@link #noticeMost} is the longest. */
  @Quantity(Quantity.Measure.TIME)
  public double noticeLeast = 600;

  @Quantity(Quantity.Measure.TIME)
  public double noticeMost = 4900;

  /** The shortest delay until a new worker is listed; {@link #addMost} is the longest. */
  @Quantity(Quantity.Measure.TIME)
  public double addLeast = 240;

  @Quantity(Quantity.Measure.TIME)
  public double addMost = 2500;

  /** The time within which all nodes receive the same change. */
  @Quantity(Quantity.Measure.TIME)
  public double spread = 100;

  /** The share of changes that are sent twice. */
  @Quantity(Quantity.Measure.SHARE)
  public double repeats;

  /** The share of changes that are followed by an outdated list. */
  @Quantity(Quantity.Measure.SHARE)
  public double stale;

  /** The time between updates of the worker weights; 0 disables the updates. */
  @Quantity(Quantity.Measure.TIME)
  public double weightPeriod;

  /** The time between reading a worker's weight and publishing it. */
  @Quantity(Quantity.Measure.TIME)
  public double weightLate;
}
