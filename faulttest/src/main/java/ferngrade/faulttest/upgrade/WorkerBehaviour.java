package ferngrade.faulttest.upgrade;

/**
 * The behaviour of a worker. The worker runs each job for {@code minRuntime} to {@code maxRuntime}
 * ms. It runs {@code slots} jobs at a time, queues up to {@code queue} more, and declines further
 * jobs without starting them. If {@code tellsStart}, the worker also sends a callback when a job
 * starts.
 */
public record WorkerBehaviour(
    int minRuntime, int maxRuntime, int slots, int queue, boolean tellsStart) {
  /** Starts every job immediately. */
  public static final WorkerBehaviour UNLIMITED =
      new WorkerBehaviour(30, 300, Integer.MAX_VALUE, 0, false);
}
