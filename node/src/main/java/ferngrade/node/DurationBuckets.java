package ferngrade.node;

/**
 * Counts durations by fixed upper bounds, for metrics that must not cost memory or a library at
 * start. Belongs to one thread.
 */
public final class DurationBuckets {
  private static final int[] BOUNDS_MS = {1, 5, 20, 50, 150, 500, 2000};

  private final long[] counts = new long[BOUNDS_MS.length + 1];
  private double max;

  /** Counts one duration, ms. */
  void add(double millis) {
    int bucket = 0;
    while (bucket < BOUNDS_MS.length && millis > BOUNDS_MS[bucket]) {
      bucket++;
    }
    counts[bucket]++;
    max = Math.max(max, millis);
  }

  /** The longest duration so far, ms; 0 before the first. */
  public double max() {
    return max;
  }

  /** Is passed the buckets in ascending order, with their own counts. */
  @FunctionalInterface
  public interface Visitor {
    /** {@code count} durations were at most {@code bound} long, such as {@code 50ms} or inf. */
    void bucket(String bound, long count);
  }

  /** Passes all buckets to {@code visitor}. */
  public void forEach(Visitor visitor) {
    for (int i = 0; i < counts.length; i++) {
      visitor.bucket(i < BOUNDS_MS.length ? BOUNDS_MS[i] + "ms" : "inf", counts[i]);
    }
  }
}
