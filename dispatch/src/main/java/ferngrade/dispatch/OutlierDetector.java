package ferngrade.dispatch;

import java.util.SplittableRandom;

/**
 * Excludes failing workers from selection. Ejects workers after failures, entirely or for one
 * class, holds back jobs briefly after a worker was full, and detects zones that have stopped
 * responding. Times are milliseconds. Event thread only.
 */
final class OutlierDetector {
  /**
   * Duration of the first ejection of a failing worker. Each further ejection is twice as long, up
   * to {@link #MAX_EJECTION_MS}.
   */
  private static final double MIN_EJECTION_MS = 1000;

  private static final double MAX_EJECTION_MS = 16_000;

  /**
   * Duration of the first ejection of a worker for one class. Each further ejection is twice as
   * long, up to {@link #MAX_CLASS_EJECTION_MS}.
   */
  private static final double MIN_CLASS_EJECTION_MS = 8000;

  private static final double MAX_CLASS_EJECTION_MS = 32_000;

  /**
   * Maximum share of the ready workers that are ejected at a time. No further worker is ejected
   * while the share is reached.
   */
  private static final double MAX_EJECTED_SHARE = 0.4;

  /**
   * Number of attempts to a zone without any response after which the zone counts as unreachable,
   * once {@link #ZONE_TIMEOUT_MS} has passed as well. The same number of failed connections without
   * any response in between is sufficient by itself.
   */
  private static final int MAX_UNANSWERED_ATTEMPTS = 4;

  /**
   * Time without a response, in addition to a mean service time, after which a zone with unanswered
   * attempts counts as unreachable.
   */
  private static final double ZONE_TIMEOUT_MS = 100;

  /**
   * Fraction of the mean service time for which a worker without free memory or slots receives no
   * jobs.
   */
  private static final double EXHAUSTED_BACKOFF_FRACTION = 0.25;

  private final WorkerRegistry registry;
  private final ServiceTimeEstimator serviceTimes;
  private final SplittableRandom random;

  OutlierDetector(
      WorkerRegistry registry, ServiceTimeEstimator serviceTimes, SplittableRandom random) {
    this.registry = registry;
    this.serviceTimes = serviceTimes;
    this.random = random;
  }

  /** Returns the number of ready workers that are ejected. */
  int ejectedCount(double now) {
    return (int) registry.ready().filter(worker -> worker.ejectedUntil > now).count();
  }

  /** Returns true if the worker is not ejected and its zone responds. */
  boolean reachable(WorkerStats worker, double now) {
    return worker.ejectedUntil <= now && !unreachable(registry.zone(worker), now);
  }

  /**
   * Returns true if the worker may receive a job of this class. An ejected worker receives one
   * probe at a time once its ejection has ended, and an unreachable zone receives one per probe
   * interval.
   */
  boolean accepts(WorkerStats worker, int jobClass, double now) {
    boolean probeInFlight = worker.ejectionMs > 0 && worker.slotsInFlight > 0;
    if (probeInFlight || blockedUntil(worker, jobClass) > now) {
      return false;
    }
    ZoneStats zone = registry.zone(worker);
    return !unreachable(zone, now) || now >= zone.nextProbeAt;
  }

  /** Returns the time at which the worker's ejections and backoff for this class end. */
  double blockedUntil(WorkerStats worker, int jobClass) {
    return Math.max(
        worker.classEjectedUntil[jobClass], Math.max(worker.backoffUntil, worker.ejectedUntil));
  }

  /**
   * Records an attempt sent to the worker. From then on the detector expects a response from the
   * worker's zone.
   */
  void attemptSent(WorkerStats worker, int jobClass, double now) {
    // After a class ejection a single job at a time tests whether the worker runs the class again.
    worker.classEjectedUntil[jobClass] =
        worker.classEjectionMs[jobClass] > 0 ? now + MIN_CLASS_EJECTION_MS : 0;
    ZoneStats zone = registry.zone(worker);
    if (zone.unansweredAttempts++ == 0) {
      zone.firstUnansweredAt = now;
    }
    zone.nextProbeAt = now + ZONE_TIMEOUT_MS + serviceTimes.mean();
  }

  /** Records any response from the worker. */
  void responseReceived(WorkerStats worker, double now) {
    ZoneStats zone = registry.zone(worker);
    zone.lastResponseAt = now;
    worker.lastResponseAt = now;
    zone.unansweredAttempts = 0;
    zone.failedConnects = 0;
  }

  /** Returns true if the worker has sent any response since the attempt was sent. */
  boolean respondedSince(Attempt attempt) {
    return attempt.worker.lastResponseAt >= attempt.sentAt;
  }

  /**
   * Records that the worker has started a job of the class, which ends its ejection for the class.
   */
  void attemptStarted(WorkerStats worker, int jobClass) {
    worker.classEjectionMs[jobClass] = 0;
    worker.classEjectedUntil[jobClass] = 0;
  }

  /**
   * Records the success of an attempt at the worker. The next ejection has the minimum duration
   * again.
   */
  void attemptSucceeded(WorkerStats worker, int jobClass) {
    worker.ejectionMs = 0;
    attemptStarted(worker, jobClass);
  }

  /** Records a failed connection to the worker. */
  void connectFailed(WorkerStats worker) {
    registry.zone(worker).failedConnects++;
  }

  /**
   * Records that the worker rejected an attempt because it is full. The worker receives no jobs for
   * a random time between 0.5 and 1.5 mean service times.
   */
  void workerFull(WorkerStats worker, double now) {
    worker.backoffUntil = now + serviceTimes.mean() * (0.5 + random.nextDouble());
  }

  /**
   * Holds back jobs from a worker that reports no free memory. A worker that reports no free slots
   * is treated in the same way, unless it also reports the number of its jobs.
   */
  void reportReceived(WorkerStats worker, LoadReport report, double now) {
    if (report.freeMemory() <= 0 || (Double.isNaN(report.jobs()) && report.freeSlots() < 1)) {
      double backoffUntil = now + serviceTimes.mean() * EXHAUSTED_BACKOFF_FRACTION;
      worker.backoffUntil = Math.max(worker.backoffUntil, backoffUntil);
    }
  }

  /**
   * Ejects a failing worker, for twice as long each time. A worker that fails fast appears idle and
   * would attract all jobs.
   */
  void eject(WorkerStats worker, double now) {
    if (worker.ejectedUntil > now
        || ejectedCount(now) >= MAX_EJECTED_SHARE * registry.readyCount()) {
      return;
    }
    worker.ejectionMs = Math.min(MAX_EJECTION_MS, Math.max(MIN_EJECTION_MS, 2 * worker.ejectionMs));
    worker.ejectedUntil = now + worker.ejectionMs * (0.75 + 0.5 * random.nextDouble());
  }

  /**
   * Ejects a worker for one class only. The worker responds but did not start a job of this class;
   * it may block on every job of the class and still run other classes.
   */
  void ejectClass(WorkerStats worker, int jobClass, double now) {
    double doubledMs = Math.max(MIN_CLASS_EJECTION_MS, 2 * worker.classEjectionMs[jobClass]);
    worker.classEjectionMs[jobClass] = Math.min(MAX_CLASS_EJECTION_MS, doubledMs);
    worker.classEjectedUntil[jobClass] = now + worker.classEjectionMs[jobClass];
  }

  private boolean unreachable(ZoneStats zone, double now) {
    double lastContactAt = Math.max(zone.lastResponseAt, zone.firstUnansweredAt);
    boolean timedOut =
        zone.unansweredAttempts >= MAX_UNANSWERED_ATTEMPTS
            && now - lastContactAt > ZONE_TIMEOUT_MS + serviceTimes.mean();
    return timedOut || zone.failedConnects >= MAX_UNANSWERED_ATTEMPTS;
  }
}
