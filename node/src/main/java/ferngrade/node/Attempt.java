package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;

/** One attempt to run a request on a worker. Belongs to the loop's thread. */
final class Attempt {
  final PendingRequest request;
  final int number;
  final long worker;

  /** The worker's endpoint at the time of the send; null if the list held none. */
  final Endpoint endpoint;

  final double sentAt;
  WorkerTransport.AttemptHandle sending;
  Timers.Timer timeout;
  Timers.Timer acceptance;
  boolean written;

  /** Its end has been reported and is handed over in the next turn. */
  boolean endReported;

  boolean ended;

  /** When it was written whole, accepted and ended, ms on the clock; NaN before that. */
  double writtenAt = Double.NaN;

  double acceptedAt = Double.NaN;
  double endedAt = Double.NaN;

  /** How it ended; null before that. */
  AttemptOutcome outcome;

  /** The worker has sent a callback about it. */
  boolean calledBack;

  /** It ended without a response of the worker, which may still run it. */
  private boolean doubtful;

  /** Its end has proven that the worker did not run it. */
  private boolean neverRan;

  Attempt(PendingRequest request, long worker, Endpoint endpoint, double sentAt) {
    this.request = request;
    this.number = request.attempts.size();
    this.worker = worker;
    this.endpoint = endpoint;
    this.sentAt = sentAt;
  }

  /** The attempt has ended; its timeouts are cancelled. */
  void ended(AttemptOutcome outcome, double now) {
    ended = true;
    endedAt = now;
    this.outcome = outcome;
    neverRan = outcome.neverRan;
    doubtful =
        written
            && (outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.CANCELLED
                || outcome == AttemptOutcome.RESET);
    if (timeout != null) {
      timeout.cancel();
      acceptance.cancel();
    }
  }

  /**
   * True while the worker must not get the request again: the attempt is in flight, or may be, or
   * the worker has sent a callback about it. A repeat of that callback could not be distinguished
   * from one about a new attempt, and would end that.
   */
  boolean bars() {
    return !ended || calledBack || doubtful;
  }

  /** The worker has accepted the job, or has answered otherwise. */
  boolean answered() {
    return !Double.isNaN(acceptedAt) || endReported || ended;
  }

  /** The worker has answered it or called back about it, or it has ended otherwise. */
  boolean heardOf() {
    return answered() || calledBack;
  }

  /** Written and not ended: what a callback can be about. */
  boolean running() {
    return written && !ended;
  }

  /** True unless it is known that the worker has not run the job by this attempt. */
  boolean mayHaveRun() {
    return written && !neverRan;
  }
}
