package ferngrade.jobstore;

/** Runs something later, by a clock that never jumps. */
@FunctionalInterface
public interface RetryTimer {
  /** Runs this once after so many ms. */
  void after(double millis, Runnable run);
}
