package ferngrade.faulttest.upgrade;

/**
 * How a worker runs jobs: each for {@code minRuntime} to {@code maxRuntime} ms, {@code slots} at a
 * time with {@code queue} more waiting; what comes beyond that is declined unstarted. {@code
 * tellsStart}: it calls back when it begins a job, too.
 */
public record WorkerBehaviour(
    int minRuntime, int maxRuntime, int slots, int queue, boolean tellsStart) {
  /** Takes every job at once. */
  public static final WorkerBehaviour UNLIMITED =
      new WorkerBehaviour(30, 300, Integer.MAX_VALUE, 0, false);
}
