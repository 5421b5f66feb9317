package ferngrade.dispatch;

/**
 * The state that this dispatcher keeps for one process of a worker. Times are milliseconds on the
 * host's clock. The comment above each group of fields names the class that writes them. Event
 * thread only.
 */
final class WorkerStats {
  // WorkerRegistry: the entry of the endpoint list and the slots in flight.
  final long id;
  Worker entry;
  WorkerGroup group;

  /** True while the endpoint list contains this worker. */
  boolean listed;

  /** Slots of the attempts from this dispatcher that are in flight. */
  double slotsInFlight;

  /** Jobs per core from all dispatchers, according to the last update of the endpoint list. */
  double load;

  /**
   * The number of slots of recently sent jobs, as of the time {@code recentAt}. The listed load
   * does not include these slots yet. The number decays exponentially.
   */
  double recentSlots;

  double recentAt;

  /** Slots started at this worker since the last budget cycle. */
  double startedSlots;

  /** Smoothed number of slots started here per second. */
  double startRate;

  /** True once an attempt at this worker has succeeded or failed. */
  boolean observed;

  /** Objects that the worker is expected to have cached. */
  final ObjectAffinity cachedObjects = new ObjectAffinity();

  // WaitEstimator: the smoothed wait for a start in ms, and the time of the last update.
  double wait;
  double waitAt = Double.NEGATIVE_INFINITY;

  // ServiceTimeEstimator: the ratio of job times here to those on a worker of mean speed, and the
  // number of samples.
  double slowness = 1;
  int completedJobs;

  // IdleCapacity: the time at which the worker last rejected an attempt.
  double rejectedAt = Double.NEGATIVE_INFINITY;

  // OutlierDetector: the end of the last backoff and the end of the last ejection, before which the
  // worker receives no jobs, and the duration of the last ejection in ms.
  double backoffUntil = Double.NEGATIVE_INFINITY;
  double ejectedUntil = Double.NEGATIVE_INFINITY;
  double ejectionMs;

  /** By class: the time until which the worker receives no jobs of the class. */
  final double[] classEjectedUntil;

  /**
   * By class: the duration of the worker's last ejection for this class, in ms. The value is 0 if
   * there was no ejection or the worker has started a job of the class since.
   */
  final double[] classEjectionMs;

  /** Time of the last response from the worker. */
  double lastResponseAt = Double.NEGATIVE_INFINITY;

  WorkerStats(Worker entry, int classes) {
    this.classEjectedUntil = new double[classes];
    this.classEjectionMs = new double[classes];
    this.id = entry.id();
    this.entry = entry;
  }
}
