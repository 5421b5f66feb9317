package ferngrade.jobstore;

/** How long to wait before the next retry: twice as long each time, up to a bound. */
public final class Backoff {
  private final double first;
  private final double max;
  private double next;

  /** Waits from {@code first} to {@code max} ms. */
  public Backoff(double first, double max) {
    this.first = first;
    this.max = max;
    this.next = first;
  }

  /** The wait before the next retry, ms. */
  public double next() {
    double wait = next;
    next = Math.min(max, 2 * next);
    return wait;
  }

  /** A retry has worked: the next wait is the first again. */
  public void reset() {
    next = first;
  }
}
