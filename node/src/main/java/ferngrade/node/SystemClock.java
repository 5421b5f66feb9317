package ferngrade.node;

/** The clocks of this machine, and the only class that reads its wall clock. */
final class SystemClock implements Clock {
  private static final double NANOS_PER_MS = 1e6;

  private final double startWall = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  @Override
  public double now() {
    return startWall + (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  @Override
  public double wall() {
    return System.currentTimeMillis();
  }
}
