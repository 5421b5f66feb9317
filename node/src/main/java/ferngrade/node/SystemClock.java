package ferngrade.node;

/** Reads the clocks of this machine. No other class reads the machine's wall clock. */
final class SystemClock implements Clock {
  private static final double NANOS_PER_MILLI = 1e6;

  private final double startWallMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public double now() {
    return startWallMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }

  @Override
  public double wall() {
    return System.currentTimeMillis();
  }
}
