package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.WorkerState;

/**
 * Runs attempts: sends each to its worker with its timeouts, cancels it, and reports its end once.
 * Belongs to the loop's thread.
 */
final class AttemptRunner {
  /**
   * How long a worker may take to accept a job, ms; it accepts before it begins. One that does not,
   * for example because it hangs on all jobs of a class, would hold the job until its deadline, and
   * the dispatcher would count the job as in flight there. A pause of the worker's machine is
   * shorter.
   */
  private static final double ACCEPTANCE_TIMEOUT = 1000;

  private final Clock clock;
  private final Timers timers;
  private final WorkerTransport transport;
  private final TurnQueue turns;
  private final EndpointRegistry endpoints;
  private final NodeMetrics metrics;
  private final RateLimitedLog log;
  private final EndListener listener;

  /** Is notified of the end of each attempt, once. */
  @FunctionalInterface
  interface EndListener {
    void ended(Attempt attempt, AttemptOutcome outcome, LoadReport report);
  }

  AttemptRunner(
      RequestCoordinator.Surroundings around,
      TurnQueue turns,
      EndpointRegistry endpoints,
      NodeMetrics metrics,
      EndListener listener) {
    this.clock = around.clock();
    this.timers = around.timers();
    this.transport = around.workers();
    this.log = around.log();
    this.turns = turns;
    this.endpoints = endpoints;
    this.metrics = metrics;
    this.listener = listener;
  }

  /**
   * Starts an attempt of a request on a worker, for {@code timeout} ms at most, 0 for the whole
   * time to the request's deadline. An attempt that may not be sent ends as such.
   */
  void start(PendingRequest request, long worker, double timeout) {
    double now = clock.now();
    Endpoint endpoint = endpoints.get(worker);
    boolean barred = request.barred(worker);
    Attempt attempt = new Attempt(request, worker, endpoint, now);
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    double left = request.job.due() - now;
    WithheldReason reason = null;
    if (request.completed()) {
      reason = WithheldReason.REQUEST_COMPLETED;
    } else if (left <= 0) {
      reason = WithheldReason.DEADLINE_PASSED;
    } else if (barred) {
      reason = WithheldReason.EARLIER_ATTEMPT;
    } else if (endpoint == null || endpoint.worker().state() != WorkerState.READY) {
      reason = WithheldReason.WORKER_UNAVAILABLE;
    }
    if (reason != null) {
      withheld(attempt, reason);
      turns.event(() -> end(attempt, AttemptOutcome.NEVER_SENT, LoadReport.NONE));
      return;
    }
    double limit = timeout > 0 ? Math.min(timeout, left) : left;
    attempt.timeout = timers.after(limit, () -> timedOut(attempt));
    attempt.acceptance = timers.after(ACCEPTANCE_TIMEOUT, () -> notAccepted(attempt));
    attempt.sending =
        transport.send(request.call, endpoint.address(), limit, new ProgressListener(attempt));
  }

  /** Counts and logs that an attempt is not begun; false, for those who ask whether it may be. */
  private boolean withheld(Attempt attempt, WithheldReason reason) {
    metrics.withheld(reason);
    log.line(
        "withheld " + reason,
        "attempt "
            + attempt.number
            + " of request "
            + attempt.request.job.id()
            + " withheld from "
            + (attempt.endpoint == null ? "an unlisted worker" : attempt.endpoint.name())
            + ": "
            + reason);
    return false;
  }

  private void timedOut(Attempt attempt) {
    readPending(attempt);
    if (!attempt.endReported) {
      giveUp(attempt, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECT_FAILED);
    }
  }

  /**
   * Reads what has come about an attempt that has not ended: a loop that was held up runs timers
   * before it reads that. What a timer decides is handed over behind it.
   */
  void readPending(Attempt attempt) {
    if (!attempt.ended && attempt.sending != null) {
      attempt.sending.readPending();
      transport.readCallbacks();
    }
  }

  /** Cancels an attempt in the next turn, if it has not ended by then. */
  void cancel(Attempt attempt) {
    giveUp(attempt, AttemptOutcome.CANCELLED, AttemptOutcome.NEVER_SENT);
  }

  private void giveUp(Attempt attempt, AttemptOutcome ifWritten, AttemptOutcome ifNot) {
    if (!attempt.ended && attempt.sending != null) {
      turns.event(
          () -> {
            if (!attempt.ended) {
              attempt.sending.giveUp(() -> {});
              end(
                  attempt,
                  attempt.written ? ifWritten : unwritten(attempt, ifNot),
                  LoadReport.NONE);
            }
          });
    }
  }

  /** The outcome of an attempt that was not written: a lack of this machine is not the worker's. */
  private static AttemptOutcome unwritten(Attempt attempt, AttemptOutcome otherwise) {
    return attempt.sending.delayedLocally() ? AttemptOutcome.NEVER_SENT : otherwise;
  }

  /**
   * The worker has not accepted the job, and its client still waits: a retry may follow. That must
   * not overtake the cancellation to this worker, whose 202 may be under way.
   */
  private void notAccepted(Attempt attempt) {
    if (!attempt.ended && !attempt.written && attempt.sending.delayedLocally()) {
      attempt.acceptance = timers.after(ACCEPTANCE_TIMEOUT, () -> notAccepted(attempt));
    } else if (!heardOfAfterReading(attempt)) {
      attempt.sending.giveUp(
          () ->
              turns.event(
                  () ->
                      end(
                          attempt,
                          attempt.written
                              ? AttemptOutcome.TIMEOUT
                              : unwritten(attempt, AttemptOutcome.CONNECT_FAILED),
                          LoadReport.NONE)));
    }
  }

  private boolean heardOfAfterReading(Attempt attempt) {
    if (!attempt.heardOf()) {
      readPending(attempt);
    }
    return attempt.heardOf();
  }

  /** Ends an attempt and reports that; does nothing for one that has ended. */
  void end(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
    if (!attempt.ended) {
      attempt.ended(outcome, clock.now());
      attempt.request.attemptsInFlight--;
      listener.ended(attempt, outcome, report);
    }
  }

  /** Follows one attempt on its way to the worker. */
  private final class ProgressListener implements WorkerTransport.Listener {
    private final Attempt attempt;

    ProgressListener(Attempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean mayStart() {
      // A dial may outlast its purpose: the client may have gone, or another attempt have
      // succeeded.
      if (attempt.ended) {
        return false;
      }
      if (attempt.request.completed()) {
        return withheld(attempt, WithheldReason.REQUEST_COMPLETED);
      }
      if (!endpoints.isCurrent(attempt.endpoint)) {
        return withheld(attempt, WithheldReason.WORKER_UNAVAILABLE);
      }
      return attempt.request.clientPresent() || withheld(attempt, WithheldReason.CLIENT_GONE);
    }

    @Override
    public void written() {
      attempt.written = true;
      attempt.writtenAt = clock.now();
      metrics.attempt(attempt.number);
    }

    @Override
    public void taken() {
      attempt.acceptedAt = clock.now();
      attempt.acceptance.cancel();
    }

    @Override
    public void ended(AttemptOutcome outcome, LoadReport report) {
      attempt.endReported = true;
      turns.event(() -> end(attempt, outcome, report));
    }
  }
}
