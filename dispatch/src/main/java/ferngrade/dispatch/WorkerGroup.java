package ferngrade.dispatch;

/** The estimates for the workers of one type in one zone. */
final class WorkerGroup {
  /** Smoothed time in ms that a job waits for its start at a worker of this group. */
  double wait;

  /** Ratio of job times in this group to those on a worker of mean speed. */
  double slowness = 1;

  boolean slownessKnown;

  /**
   * Number of slots of a worker of this type according to load reports; 1 if no report includes it.
   */
  double slots = 1;

  /** The weight of an idle worker of this type, which is its size in cores. */
  double size;
}
