package ferngrade.node;

/**
 * A clock whose monotonic and wall clock times are set by the test. As on a real machine, a step of
 * the wall clock does not affect the monotonic clock.
 */
public final class SettableClock implements Clock {
  private volatile double now;
  private volatile double wallOffset;

  /** Creates a clock whose wall clock agrees with its monotonic clock. */
  public SettableClock(double now) {
    this.now = now;
  }

  @Override
  public double now() {
    return now;
  }

  @Override
  public double wall() {
    return now + wallOffset;
  }

  /** Advances both clocks. */
  public synchronized void advance(double millis) {
    now += millis;
  }

  /** Steps the wall clock only. */
  public synchronized void stepWallClock(double millis) {
    wallOffset += millis;
  }

  /** Returns the clock steps that a machine may see, in ms, as rows of a TestNG data provider. */
  public static Object[][] steps() {
    return new Object[][] {{3_600_000.0}, {-3_600_000.0}, {5_000.0}, {-5_000.0}};
  }
}
