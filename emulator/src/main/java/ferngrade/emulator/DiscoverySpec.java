package ferngrade.emulator;

/** How the worker list reaches the nodes. Milliseconds; ranges are drawn evenly for each change. */
public final class DiscoverySpec {
  /** How late a change is noticed. */
  @Quantity(Quantity.Measure.TIME)
  public double noticeLeast = 600;

  @Quantity(Quantity.Measure.TIME)
  public double noticeMost = 4900;

  /** How late a new worker is listed. */
  @Quantity(Quantity.Measure.TIME)
  public double addLeast = 240;

  @Quantity(Quantity.Measure.TIME)
  public double addMost = 2500;

  /** How far apart the nodes hear of the same change. */
  @Quantity(Quantity.Measure.TIME)
  public double spread = 100;

  /** The share of changes that are told twice. */
  @Quantity(Quantity.Measure.SHARE)
  public double repeats;

  /** The share of changes after which an older list is told again. */
  @Quantity(Quantity.Measure.SHARE)
  public double stale;

  /** Time between renewals of the weights; none if 0. */
  @Quantity(Quantity.Measure.TIME)
  public double weightPeriod;

  /** How old a weight is when it is told. */
  @Quantity(Quantity.Measure.TIME)
  public double weightLate;
}
