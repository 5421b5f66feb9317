package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;

/** One sending of a request to a worker. */
final class Attempt {
  final PendingRequest exchange;
  final int number;
  final long worker;

  /** The list's entry at the time of the send; null if the list holds none. */
  final Endpoint member;

  final double sentAt;
  WorkerTransport.AttemptHandle sending;
  Timers.Timer timeout;
  Timers.Timer acceptance;
  boolean written;
  boolean ended;

  /** The worker has told of it by a call-back. */
  boolean calledBack;

  /** It ended without the worker's word, so that the worker may run it yet. */
  private boolean doubtful;

  /** Its end has proven that the worker did not run it. */
  private boolean neverRan;

  Attempt(PendingRequest exchange, long worker, Endpoint member, double sentAt) {
    this.exchange = exchange;
    this.number = exchange.attempts.size();
    this.worker = worker;
    this.member = member;
    this.sentAt = sentAt;
  }

  /** The attempt has ended; nothing that was to end it runs any more. */
  void ended(AttemptOutcome outcome) {
    ended = true;
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
   * True while the worker must not get the request (again): the attempt is out there, or may be, or
   * the worker has called back about it. A repeat of that call-back could not be told from news of
   * a new attempt, and would end it.
   */
  boolean bars() {
    return !ended || calledBack || doubtful;
  }

  /** Written and not ended: what a call-back can be about. */
  boolean running() {
    return written && !ended;
  }

  /** True unless it is known that the worker has not run the job by this attempt. */
  boolean mayHaveRun() {
    return written && !neverRan;
  }
}
