package ferngrade.node;

/**
 * A clock whose two parts a test sets; as on a machine, a step of the wall clock leaves the
 * monotonic one alone.
 */
public final class SettableClock implements Clock {
  private volatile double now;
  private volatile double wallAhead;

  /** A clock whose two parts agree. */
  public SettableClock(double now) {
    this.now = now;
  }

  @Override
  public double now() {
    return now;
  }

  @Override
  public double wall() {
    return now + wallAhead;
  }

  /** Time passes, by both parts. */
  public synchronized void pass(double millis) {
    now += millis;
  }

  /** The wall clock alone is stepped. */
  public synchronized void step(double millis) {
    wallAhead += millis;
  }

  /** The steps that a machine may see, ms, for a TestNG data provider. */
  public static Object[][] steps() {
    return new Object[][] {{3_600_000.0}, {-3_600_000.0}, {5_000.0}, {-5_000.0}};
  }
}
