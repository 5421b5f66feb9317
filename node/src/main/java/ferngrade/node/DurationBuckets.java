package ferngrade.node;

/**
 * Counts durations in buckets with fixed upper bounds. Uses constant memory and needs no metrics
 * library at startup. Not thread-safe.
 */
public final class DurationBuckets {
  private static final int[] BOUNDS_MILLIS = {1, 5, 20, 50, 150, 500, 2000};

  private final long[] counts = new long[BOUNDS_MILLIS.length + 1];
  private double max;

  /** Counts one duration, in ms. */
  void add(double millis) {
    int bucket = 0;
    while (bucket < BOUNDS_MILLIS.length && millis > BOUNDS_MILLIS[bucket]) {
      bucket++;
    }
    counts[bucket]++;
    max = Math.max(max, millis);
  }

  /** Returns the longest duration so far, in ms; 0 before the first. */
  public double max() {
    return max;
  }

  /** Receives the buckets in ascending order of their bounds. */
  @FunctionalInterface
  public interface Visitor {
    /**
     * Receives one bucket: {@code count} durations were at most {@code bound} and longer than the
     * previous bound. {@code bound} is a text such as {@code 50ms}, or {@code inf} for the last
     * bucket.
     */
    void bucket(String bound, long count);
  }

  /** Passes every bucket to {@code visitor}. */
  public void forEach(Visitor visitor) {
    for (int i = 0; i < counts.length; i++) {
      visitor.bucket(i < BOUNDS_MILLIS.length ? BOUNDS_MILLIS[i] + "ms" : "inf", counts[i]);
    }
  }
}
