package ferngrade.dispatch;

/** What is learned of the workers of one kind in one zone. */
final class WorkerGroup {
  /** Smoothed wait for a start, ms. */
  double wait;

  /** Time for a job over that on a worker of mean speed. */
  double slowness = 1;

  boolean slownessKnown;

  /** Slots of a worker of this kind, as load reports show; 1 where none does. */
  double slots = 1;

  /** The weight of a worker of this kind that holds nothing: its size in cores. */
  double size;
}
