package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;

/** One attempt to run a request on a worker. Confined to the event loop's thread. */
final class Attempt {
  final PendingRequest request;
  final int number;
  final long worker;

  /**
   * The worker's endpoint at the time of the send; null if the endpoint list did not contain the
   * worker.
   */
  final Endpoint endpoint;

  final double sentAt;
  WorkerTransport.AttemptHandle handle;
  Timers.Timer timeoutTimer;
  Timers.Timer acceptanceTimer;
  boolean written;

  /** True once the transport has reported the end of the attempt; the next turn processes it. */
  boolean endReported;

  boolean ended;

  /**
   * When the attempt was fully written, accepted and ended, ms on the monotonic clock; NaN until
   * then.
   */
  double writtenAt = Double.NaN;

  double acceptedAt = Double.NaN;
  double endedAt = Double.NaN;

  /** The outcome of the attempt; null until it has ended. */
  AttemptOutcome outcome;

  /** True once the worker has sent a callback about the attempt. */
  boolean calledBack;

  /**
   * True if the attempt ended without a response of the worker, so that the worker may still run
   * the job.
   */
  private boolean mayStillRun;

  /** True if the outcome proves that the worker did not run the job. */
  private boolean neverRan;

  Attempt(PendingRequest request, long worker, Endpoint endpoint, double sentAt) {
    this.request = request;
    this.number = request.attempts.size();
    this.worker = worker;
    this.endpoint = endpoint;
    this.sentAt = sentAt;
  }

  /** Records the end of the attempt and cancels its timers. */
  void ended(AttemptOutcome outcome, double now) {
    ended = true;
    endedAt = now;
    this.outcome = outcome;
    neverRan = outcome.neverRan;
    mayStillRun =
        written
            && (outcome == AttemptOutcome.TIMEOUT
                || outcome == AttemptOutcome.CANCELLED
                || outcome == AttemptOutcome.RESET);
    if (timeoutTimer != null) {
      timeoutTimer.cancel();
      acceptanceTimer.cancel();
    }
  }

  /**
   * Returns true while the request must not be sent to this worker again: the attempt is in flight,
   * or may be, or the worker has sent a callback about it. A repetition of that callback could not
   * be distinguished from a callback about a new attempt, and would end the new attempt.
   */
  boolean excludesWorker() {
    return !ended || calledBack || mayStillRun;
  }

  /**
   * Returns true if the worker has accepted the job, the attempt's end has been reported, or the
   * attempt has ended.
   */
  boolean hasAnswer() {
    return !Double.isNaN(acceptedAt) || endReported || ended;
  }

  /**
   * Returns true if the worker has answered the attempt or sent a callback about it, or the attempt
   * has ended otherwise.
   */
  boolean hasResponded() {
    return hasAnswer() || calledBack;
  }

  /**
   * Returns true if the attempt is fully written and has not ended, so that a callback can refer to
   * it.
   */
  boolean running() {
    return written && !ended;
  }

  /** Returns true unless it is known that the worker did not run the job in this attempt. */
  boolean mayHaveRun() {
    return written && !neverRan;
  }
}
