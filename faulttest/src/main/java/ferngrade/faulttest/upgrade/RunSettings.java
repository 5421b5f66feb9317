package ferngrade.faulttest.upgrade;

/**
 * The settings of a run: the node's limits, the number of workers and their behaviour, and the
 * latency objective of all classes, ms.
 */
public record RunSettings(
    NodeLimits limits, int workers, WorkerBehaviour behaviour, int latencyObjective) {
  private static final int ORDINARY_OBJECTIVE_MILLIS = 1000;

  /**
   * Returns settings with workers that start every job immediately. The workers easily meet the
   * latency objective of these settings.
   */
  public static RunSettings ordinary(NodeLimits limits, int workers) {
    return new RunSettings(limits, workers, WorkerBehaviour.UNLIMITED, ORDINARY_OBJECTIVE_MILLIS);
  }
}
