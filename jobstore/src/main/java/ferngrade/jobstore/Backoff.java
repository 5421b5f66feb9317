package ferngrade.jobstore;

/**
 * Computes exponential backoff: the delay doubles with each retry up to a maximum. Not thread-safe.
 */
public final class Backoff {
  private final double firstMillis;
  private final double maxMillis;
  private double nextMillis;

  /** Creates a backoff with delays from {@code firstMillis} to {@code maxMillis}. */
  public Backoff(double firstMillis, double maxMillis) {
    this.firstMillis = firstMillis;
    this.maxMillis = maxMillis;
    this.nextMillis = firstMillis;
  }

  /** Returns the delay before the next retry, ms, and doubles it for the retry after that. */
  public double next() {
    double delay = nextMillis;
    nextMillis = Math.min(maxMillis, 2 * nextMillis);
    return delay;
  }

  /** Resets the delay to the first one after a successful retry. */
  public void reset() {
    nextMillis = firstMillis;
  }
}
