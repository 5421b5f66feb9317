package ferngrade.dispatch;

/**
 * What this dispatcher knows of one process of a worker. Times are milliseconds on the host's
 * clock; each group of fields is written by the part that its comment names. Event thread only.
 */
final class WorkerStats {
  // WorkerRegistry: the endpoint list's entry and the slots in flight.
  final long id;
  Worker entry;
  WorkerGroup group;

  /** True while the endpoint list holds this worker. */
  boolean listed;

  /** Slots of the attempts from here that are in flight. */
  double heldSlots;

  /** Jobs held for each core, from all dispatchers, as the endpoint list showed last. */
  double load;

  /** Slots sent lately, decaying, as of {@code recentAt}: what the list cannot show yet. */
  double recentSlots;

  double recentAt;

  /** Slots that began here since the last budget cycle, and the smoothed number a second. */
  double startedSlots;

  double startRate;

  /** True once an attempt here has ended, well or badly. */
  boolean proven;

  /** Objects thought to be cached here. */
  final ObjectAffinity objects = new ObjectAffinity();

  // WaitEstimator: the smoothed wait for a start, ms, and when it was seen.
  double wait;
  double waitAt = Double.NEGATIVE_INFINITY;

  // ServiceTimeEstimator: time for a job over that on a worker of mean speed, and its samples.
  double slowness = 1;
  int outcomes;

  // IdleCapacity: when the worker last rejected an attempt.
  double rejectedAt = Double.NEGATIVE_INFINITY;

  // OutlierDetector: no jobs before these times; the length of the last ejection, ms.
  double holdUntil = Double.NEGATIVE_INFINITY;
  double ejectedUntil = Double.NEGATIVE_INFINITY;
  double ejection;

  /** By class: no jobs of it before this time, and the length of the last such ejection, ms. */
  final double[] classEjectedUntil;

  final double[] classEjection;

  /** When the worker last answered anything. */
  double lastSignAt = Double.NEGATIVE_INFINITY;

  WorkerStats(Worker entry, int classes) {
    this.classEjectedUntil = new double[classes];
    this.classEjection = new double[classes];
    this.id = entry.id();
    this.entry = entry;
  }
}
