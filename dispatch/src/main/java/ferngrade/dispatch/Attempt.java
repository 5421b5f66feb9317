package ferngrade.dispatch;

/** One attempt: a request sent to a worker. Times are milliseconds on the host's clock. */
final class Attempt {
  final WorkerStats worker;
  final double sentAt;

  /** When the worker began with it; NaN until then. */
  double startedAt = Double.NaN;

  /** True once it was counted as started too late. */
  boolean late;

  /** How it ended; null while it is in flight. */
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

  /** True if it is in flight, or ended in a way that does not prove that the job never ran. */
  boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan;
  }
}
