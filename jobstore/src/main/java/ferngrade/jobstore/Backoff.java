package ferngrade.jobstore;

/** Exponential backoff: the delay doubles with each retry, up to a bound. Not thread-safe. */
public final class Backoff {
  private final double firstMillis;
  private final double maxMillis;
  private double nextMillis;

  /** Delays from {@code firstMillis} to {@code maxMillis}. */
  public Backoff(double firstMillis, double maxMillis) {
    this.firstMillis = firstMillis;
    this.maxMillis = maxMillis;
    this.nextMillis = firstMillis;
  }

  /** The delay before the next retry, ms. */
  public double next() {
    double delay = nextMillis;
    nextMillis = Math.min(maxMillis, 2 * nextMillis);
    return delay;
  }

  /** A retry has succeeded: the next delay is the first again. */
  public void reset() {
    nextMillis = firstMillis;
  }
}
