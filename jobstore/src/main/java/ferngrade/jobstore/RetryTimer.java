package ferngrade.jobstore;

/** Schedules retries on a monotonic clock. */
@FunctionalInterface
public interface RetryTimer {
  /** Runs a task once after a delay, ms. */
  void after(double delayMillis, Runnable task);
}
