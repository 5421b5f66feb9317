package ferngrade.faulttest.upgrade;

/**
 * What a run is like: the node's limits, how many workers there are and how they run jobs, and the
 * latency objective of all classes, ms.
 */
public record RunSettings(
    NodeLimits limits, int workers, WorkerBehaviour behaviour, int latencyObjective) {
  private static final int ORDINARY_OBJECTIVE = 1000;

  /** Workers that take every job at once, and an objective that they keep with ease. */
  public static RunSettings ordinary(NodeLimits limits, int workers) {
    return new RunSettings(limits, workers, WorkerBehaviour.UNLIMITED, ORDINARY_OBJECTIVE);
  }
}
