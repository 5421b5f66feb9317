package ferngrade.node;

/**
 * The one source of time in a node. Its two parts may drift apart: the machine's wall clock may be
 * stepped, forward or back, by seconds or by an hour, while the monotonic part runs on. Deadlines,
 * windows, waits and graces are spans of {@link #now}; {@link #wall} is only for reading times that
 * other machines wrote, and for writing such times.
 */
@FunctionalInterface
public interface Clock {
  /**
   * The monotonic time in ms, with fractions: close to Unix time when the process starts, and never
   * stepped.
   */
  double now();

  /** The machine's wall clock, Unix time in ms. */
  default double wall() {
    return now();
  }

  /** The clocks of this machine. */
  static Clock system() {
    return new SystemClock();
  }
}
