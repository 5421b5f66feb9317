package ferngrade.dispatch;

/** A single sending of a request to a worker. Times are milliseconds on the host's clock. */
final class Attempt {
  final WorkerStats worker;
  final double sentAt;

  /** Time at which the worker started the job; NaN until the start is known. */
  double startedAt = Double.NaN;

  /**
   * True once the attempt was counted as rejected because it had not started by its start deadline.
   */
  boolean countedLate;

  /** The outcome of the attempt; null while it is in flight. */
  AttemptOutcome outcome;

  Attempt(WorkerStats worker, double sentAt) {
    this.worker = worker;
    this.sentAt = sentAt;
  }

  boolean hasStarted() {
    return !Double.isNaN(startedAt);
  }

  boolean inFlight() {
    return outcome == null;
  }

  boolean running() {
    return inFlight() && hasStarted();
  }

  /**
   * Returns true if the attempt is in flight, or ended in a way that does not prove that the job
   * never ran.
   */
  boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan;
  }
}
