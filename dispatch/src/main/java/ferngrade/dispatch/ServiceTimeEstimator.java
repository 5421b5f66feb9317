package ferngrade.dispatch;

/**
 * Estimates how long jobs run, by class and overall, and the speed of each worker relative to the
 * mean. All times are milliseconds. Event thread only.
 */
final class ServiceTimeEstimator {
  /** Mean service time assumed before the first job has ended. */
  private static final double INITIAL_MEAN_MS = 100;

  /** Weight of one job in a worker's own slowness. */
  private static final double WORKER_SAMPLE_WEIGHT = 0.1;

  /** Weight of one job in the mean of its class, of its worker's group and of all jobs. */
  private static final double SHARED_SAMPLE_WEIGHT = 0.05;

  /**
   * Weight of one job in the mean work. It is small because single jobs must not make the
   * slow-start budgets fluctuate.
   */
  private static final double WORK_SAMPLE_WEIGHT = 0.02;

  /** Minimum service time of a job; the clocks have no finer resolution. */
  private static final double MIN_SERVICE_TIME_MS = 0.1;

  /** Maximum slowness derived from one job; hints of a job's work are imprecise. */
  private static final double MAX_SLOWNESS = 8;

  private final double[] meanByClass;
  private double mean = INITIAL_MEAN_MS;
  private long completedCount;
  private double meanWork;
  private double meanSlots;
  private long arrivedCount;

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
    double classMean = meanByClass[request.job.jobClass()];
    return request.job.work() > 0 ? request.job.work() : classMean > 0 ? classMean : mean;
  }

  /** Returns the time in ms that the job is expected to run on this worker. */
  double timeAt(PendingRequest request, WorkerStats worker) {
    return standardTime(request)
        * (worker.completedJobs > 0 ? worker.slowness : worker.group.slowness);
  }

  /** Returns the request's work, which is its standard time times its slots. */
  double work(PendingRequest request) {
    return standardTime(request) * request.job.slots();
  }

  /** Counts a request's work and slots, and returns its work. */
  double requestArrived(PendingRequest request) {
    double work = work(request);
    double weight = Math.max(WORK_SAMPLE_WEIGHT, 1.0 / ++arrivedCount);
    meanWork += weight * (work - meanWork);
    meanSlots += weight * (request.job.slots() - meanSlots);
    return work;
  }

  /** Updates the estimates from an attempt that succeeded at {@code now}. */
  void attemptSucceeded(PendingRequest request, Attempt attempt, double now) {
    double runningSince = attempt.hasStarted() ? attempt.startedAt : attempt.sentAt;
    double serviceTime = Math.max(MIN_SERVICE_TIME_MS, now - runningSince);
    double slowness = completedCount == 0 ? 1 : serviceTime / standardTime(request);
    updateMeans(request.job.jobClass(), serviceTime);
    updateSlowness(attempt.worker, Math.min(MAX_SLOWNESS, slowness));
  }

  private void updateMeans(int jobClass, double serviceTime) {
    double classMean = meanByClass[jobClass];
    meanByClass[jobClass] =
        classMean == 0 ? serviceTime : classMean + SHARED_SAMPLE_WEIGHT * (serviceTime - classMean);
    mean += Math.max(SHARED_SAMPLE_WEIGHT, 1.0 / ++completedCount) * (serviceTime - mean);
  }

  private static void updateSlowness(WorkerStats worker, double sample) {
    WorkerGroup group = worker.group;
    group.slowness =
        group.slownessKnown
            ? group.slowness + SHARED_SAMPLE_WEIGHT * (sample - group.slowness)
            : sample;
    group.slownessKnown = true;
    double oldSlowness = worker.completedJobs++ == 0 ? group.slowness : worker.slowness;
    worker.slowness = oldSlowness + WORKER_SAMPLE_WEIGHT * (sample - oldSlowness);
  }
}
