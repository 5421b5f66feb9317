package ferngrade.dispatch;

/**
 * Learns how long jobs run: by class, over all, and how slow each worker is against the mean. All
 * times are milliseconds. Event thread only.
 */
final class ServiceTimeEstimator {
  /** Mean service time before the first job has ended. */
  private static final double INITIAL_MEAN_MS = 100;

  /** Weight of one job in a worker's own slowness. */
  private static final double WORKER_WEIGHT = 0.1;

  /** Weight of one job in the means of its class, its worker's group and the whole. */
  private static final double SHARED_WEIGHT = 0.05;

  /** Weight of one job in the mean work: slow-start budgets must not swing with single jobs. */
  private static final double WORK_WEIGHT = 0.02;

  /** Shortest time that a job counts as: clocks are no finer. */
  private static final double MIN_SERVICE_MS = 0.1;

  /** Greatest slowness that one job may show: hints of work are rough. */
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

  /** The mean service time of all jobs. */
  double mean() {
    return mean;
  }

  /** The mean work of a request, ms on a worker of mean speed times slots; 0 before the first. */
  double meanWork() {
    return meanWork;
  }

  /** The mean slots of a request; 0 before the first. */
  double meanSlots() {
    return meanSlots;
  }

  /** The job's time on a worker of mean speed, as hinted or as its class shows. */
  double standardTime(PendingRequest request) {
    double known = meanByClass[request.job.jobClass()];
    return request.job.work() > 0 ? request.job.work() : known > 0 ? known : mean;
  }

  /** The job's expected time on this worker. */
  double timeAt(PendingRequest request, WorkerStats worker) {
    return standardTime(request) * (worker.outcomes > 0 ? worker.slowness : worker.group.slowness);
  }

  /** The request's work: its standard time times its slots. */
  double work(PendingRequest request) {
    return standardTime(request) * request.job.slots();
  }

  /** Counts a request's work and slots; returns the work. */
  double requestArrived(PendingRequest request) {
    double work = work(request);
    double weight = Math.max(WORK_WEIGHT, 1.0 / ++arrived);
    meanWork += weight * (work - meanWork);
    meanSlots += weight * (request.job.slots() - meanSlots);
    return work;
  }

  /** Learns from an attempt that has ended well now. */
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
