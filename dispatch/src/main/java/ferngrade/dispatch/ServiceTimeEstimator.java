package ferngrade.dispatch;

/**
 * Estimates how long jobs run, by class and overall, and the speed of each worker relative to the
 * mean. All times are milliseconds. Event thread only.
 */
final class ServiceTimeEstimator {
  /** Mean service time assumed before the first job has ended. */
  private static final double INITIAL_MEAN_MS = 100;

  /** Weight of one job in a worker's own slowness. */
  private static final double WORKER_WEIGHT = 0.1;

  /** Weight of one job in the mean of its class, of its worker's group and of all jobs. */
  private static final double SHARED_WEIGHT = 0.05;

  /**
   * Weight of one job in the mean work. It is small because single jobs must not make the
   * slow-start budgets fluctuate.
   */
  private static final double WORK_WEIGHT = 0.02;

  /** Minimum service time of a job; the clocks have no finer resolution. */
  private static final double MIN_SERVICE_MS = 0.1;

  /** Maximum slowness derived from one job; hints of a job's work are imprecise. */
  private static final double MAX_SLOWNESS = 8;

  private final double[] meanByClass;
  private double mean = INITIAL_MEAN_MS;
  private long completed;
  private double meanWork;
  private double meanSlots;
  private long arrived;

  ServiceTimeEstimator(int classes) {
    this.meanByClass = new double[classes];
  }

  /** Returns the mean service time of all jobs. */
  double mean() {
    return mean;
  }

  /**
   * Returns the mean work of a request, which is its time in ms on a worker of mean speed times its
   * slots; 0 before the first request.
   */
  double meanWork() {
    return meanWork;
  }

  /** Returns the mean slots of a request; 0 before the first request. */
  double meanSlots() {
    return meanSlots;
  }

  /**
   * Returns the job's time on a worker of mean speed: the hint of its work if present, else the
   * mean of its class.
   */
  double standardTime(PendingRequest request) {
    double known = meanByClass[request.job.jobClass()];
    return request.job.work() > 0 ? request.job.work() : known > 0 ? known : mean;
  }

  /** Returns the job's expected time on this worker. */
  double timeAt(PendingRequest request, WorkerStats worker) {
    return standardTime(request) * (worker.outcomes > 0 ? worker.slowness : worker.group.slowness);
  }

  /** Returns the request's work, which is its standard time times its slots. */
  double work(PendingRequest request) {
    return standardTime(request) * request.job.slots();
  }

  /** Counts a request's work and slots, and returns its work. */
  double requestArrived(PendingRequest request) {
    double work = work(request);
    double weight = Math.max(WORK_WEIGHT, 1.0 / ++arrived);
    meanWork += weight * (work - meanWork);
    meanSlots += weight * (request.job.slots() - meanSlots);
    return work;
  }

  /** Updates the estimates from an attempt that succeeded at {@code now}. */
  void attemptSucceeded(PendingRequest request, Attempt attempt, double now) {
    double from = attempt.hasStarted() ? attempt.startedAt : attempt.sentAt;
    double took = Math.max(MIN_SERVICE_MS, now - from);
    double slowness = completed == 0 ? 1 : took / standardTime(request);
    learnMeans(request.job.jobClass(), took);
    learnSlowness(attempt.worker, Math.min(MAX_SLOWNESS, slowness));
  }

  private void learnMeans(int jobClass, double took) {
    double known = meanByClass[jobClass];
    meanByClass[jobClass] = known == 0 ? took : known + SHARED_WEIGHT * (took - known);
    mean += Math.max(SHARED_WEIGHT, 1.0 / ++completed) * (took - mean);
  }

  private static void learnSlowness(WorkerStats worker, double sample) {
    WorkerGroup group = worker.group;
    group.slowness =
        group.slownessKnown ? group.slowness + SHARED_WEIGHT * (sample - group.slowness) : sample;
    group.slownessKnown = true;
    double before = worker.outcomes++ == 0 ? group.slowness : worker.slowness;
    worker.slowness = before + WORKER_WEIGHT * (sample - before);
  }
}
