package ferngrade.node;

/**
 * The only source of time in a node. The two clocks may diverge: the machine's wall clock may be
 * stepped forward or back, by seconds or by an hour, while the monotonic clock continues.
 * Deadlines, windows, waits and grace periods are measured with {@link #now}; {@link #wall} is only
 * for reading timestamps that other machines wrote, and for writing such timestamps.
 */
@FunctionalInterface
public interface Clock {
  /**
   * Returns the monotonic time in ms, with fractions. It is close to Unix time when the process
   * starts and is never stepped.
   */
  double now();

  /** Returns the machine's wall clock time, Unix time in ms. */
  default double wall() {
    return now();
  }

  /** Returns the clock of this machine. */
  static Clock system() {
    return new SystemClock();
  }
}
