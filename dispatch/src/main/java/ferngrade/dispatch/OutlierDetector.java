package ferngrade.dispatch;

import java.util.SplittableRandom;

/**
 * Keeps jobs from workers that fail: ejections, ejections of one class, short holds after a worker
 * was full, and zones that have gone silent. Times are milliseconds. Event thread only.
 */
final class OutlierDetector {
  /** First and longest ejection of a worker that fails. */
  private static final double MIN_EJECTION_MS = 1000;

  private static final double MAX_EJECTION_MS = 16_000;

  /** First and longest time for which a worker gets no jobs of a class that it does not take. */
  private static final double MIN_CLASS_EJECTION_MS = 8000;

  private static final double MAX_CLASS_EJECTION_MS = 32_000;

  /** Share of the fleet that may be ejected at a time. */
  private static final double MAX_EJECTED_SHARE = 0.4;

  /** Attempts to a zone without any sign of life before it is taken for cut off. */
  private static final int SILENT_ATTEMPTS = 4;

  /** Silence of a zone, on top of a mean service time. */
  private static final double SILENCE_MS = 100;

  /** Part of the mean service time for which a worker without memory or slots is held back. */
  private static final double EXHAUSTED_HOLD = 0.25;

  private final WorkerRegistry registry;
  private final ServiceTimeEstimator serviceTimes;
  private final SplittableRandom random;

  OutlierDetector(
      WorkerRegistry registry, ServiceTimeEstimator serviceTimes, SplittableRandom random) {
    this.registry = registry;
    this.serviceTimes = serviceTimes;
    this.random = random;
  }

  /** The number of ready workers that are ejected. */
  int ejectedCount(double now) {
    return (int) registry.ready().filter(worker -> worker.ejectedUntil > now).count();
  }

  /** True if the worker is not ejected and its zone answers. */
  boolean reachable(WorkerStats worker, double now) {
    return worker.ejectedUntil <= now && !silent(registry.zone(worker), now);
  }

  /** True if nothing speaks against a job of this class at the worker. */
  boolean accepts(WorkerStats worker, int jobClass, double now) {
    boolean probed = worker.ejection > 0 && worker.heldSlots > 0;
    if (probed || blockedUntil(worker, jobClass) > now) {
      return false;
    }
    ZoneStats zone = registry.zone(worker);
    return !silent(zone, now) || now >= zone.nextProbeAt;
  }

  /** When the worker's holds and ejections, for this class, end. */
  double blockedUntil(WorkerStats worker, int jobClass) {
    return Math.max(
        worker.classEjectedUntil[jobClass], Math.max(worker.holdUntil, worker.ejectedUntil));
  }

  /** Notes an attempt to the worker, which its zone should answer. */
  void attemptSent(WorkerStats worker, int jobClass, double now) {
    // One job at a time shows whether the worker takes the class again.
    worker.classEjectedUntil[jobClass] =
        worker.classEjection[jobClass] > 0 ? now + MIN_CLASS_EJECTION_MS : 0;
    ZoneStats zone = registry.zone(worker);
    if (zone.unanswered++ == 0) {
      zone.firstUnansweredAt = now;
    }
    zone.nextProbeAt = now + SILENCE_MS + serviceTimes.mean();
  }

  /** Notes any answer of the worker. */
  void signOfLife(WorkerStats worker, double now) {
    ZoneStats zone = registry.zone(worker);
    zone.lastSignAt = now;
    worker.lastSignAt = now;
    zone.unanswered = 0;
    zone.unreachable = 0;
  }

  /** True if the worker has answered anything since the attempt was sent. */
  boolean answeredSince(Attempt attempt) {
    return attempt.worker.lastSignAt >= attempt.sentAt;
  }

  /** The worker takes jobs of the class: its ejection for the class ends. */
  void attemptStarted(WorkerStats worker, int jobClass) {
    worker.classEjection[jobClass] = 0;
    worker.classEjectedUntil[jobClass] = 0;
  }

  /** An attempt at the worker has ended well: the next ejection is a first one again. */
  void attemptSucceeded(WorkerStats worker, int jobClass) {
    worker.ejection = 0;
    attemptStarted(worker, jobClass);
  }

  /** The worker could not be connected to. */
  void connectFailed(WorkerStats worker) {
    registry.zone(worker).unreachable++;
  }

  /** The worker has rejected an attempt since it is full: it is passed over for a while. */
  void workerFull(WorkerStats worker, double now) {
    worker.holdUntil = now + serviceTimes.mean() * (0.5 + random.nextDouble());
  }

  /** Passes over a worker without memory, or without slots where what it holds is not reported. */
  void reportReceived(WorkerStats worker, LoadReport report, double now) {
    if (report.freeMemory() <= 0 || (Double.isNaN(report.held()) && report.freeSlots() < 1)) {
      double until = now + serviceTimes.mean() * EXHAUSTED_HOLD;
      worker.holdUntil = Math.max(worker.holdUntil, until);
    }
  }

  /**
   * Ejects a worker that fails, longer each time: failing fast it looks idle and would draw every
   * job.
   */
  void eject(WorkerStats worker, double now) {
    if (worker.ejectedUntil > now
        || ejectedCount(now) >= MAX_EJECTED_SHARE * registry.readyCount()) {
      return;
    }
    worker.ejection = Math.min(MAX_EJECTION_MS, Math.max(MIN_EJECTION_MS, 2 * worker.ejection));
    worker.ejectedUntil = now + worker.ejection * (0.75 + 0.5 * random.nextDouble());
  }

  /**
   * Ejects a worker for one class: it works but did not start this job, and may hang on all of its
   * class while it does others well.
   */
  void ejectClass(WorkerStats worker, int jobClass, double now) {
    double doubled = Math.max(MIN_CLASS_EJECTION_MS, 2 * worker.classEjection[jobClass]);
    worker.classEjection[jobClass] = Math.min(MAX_CLASS_EJECTION_MS, doubled);
    worker.classEjectedUntil[jobClass] = now + worker.classEjection[jobClass];
  }

  private boolean silent(ZoneStats zone, double now) {
    double since = Math.max(zone.lastSignAt, zone.firstUnansweredAt);
    boolean unanswered =
        zone.unanswered >= SILENT_ATTEMPTS && now - since > SILENCE_MS + serviceTimes.mean();
    return unanswered || zone.unreachable >= SILENT_ATTEMPTS;
  }
}
