package ferngrade.jobstore;

/** Schedules retries by a clock that never jumps. */
@FunctionalInterface
public interface RetryTimer {
  /** Runs a task once after a delay in milliseconds. */
  void after(double delayMillis, Runnable run);
}
