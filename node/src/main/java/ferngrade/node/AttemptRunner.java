package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.WorkerState;

/**
 * Runs attempts: sends each one to its worker, enforces its timeouts, cancels it, and reports its
 * end exactly once. Confined to the event loop's thread.
 */
final class AttemptRunner {
  /**
   * The time in which a worker must accept a job, ms; a worker accepts a job before it starts it. A
   * worker that does not accept, for example because it hangs on all jobs of a class, would
   * otherwise hold the job until its deadline, and the dispatcher would count the job as in flight
   * there. Pauses of a worker's machine are shorter than this timeout.
   */
  private static final double ACCEPTANCE_TIMEOUT_MILLIS = 1000;

  private final Clock clock;
  private final Timers timers;
  private final WorkerTransport transport;
  private final TurnQueue turns;
  private final EndpointRegistry endpoints;
  private final NodeMetrics metrics;
  private final RateLimitedLog log;
  private final EndListener listener;

  /** Receives the end of each attempt, once. */
  @FunctionalInterface
  interface EndListener {
    void ended(Attempt attempt, AttemptOutcome outcome, LoadReport report);
  }

  AttemptRunner(
      RequestCoordinator.Dependencies dependencies,
      TurnQueue turns,
      EndpointRegistry endpoints,
      NodeMetrics metrics,
      EndListener listener) {
    this.clock = dependencies.clock();
    this.timers = dependencies.timers();
    this.transport = dependencies.workers();
    this.log = dependencies.log();
    this.turns = turns;
    this.endpoints = endpoints;
    this.metrics = metrics;
    this.listener = listener;
  }

  /**
   * Starts an attempt of a request on a worker. The attempt may take {@code timeout} ms, or the
   * time to the request's deadline if {@code timeout} is 0 or longer than that. An attempt that
   * must not be sent ends as never sent.
   */
  void start(PendingRequest request, long worker, double timeout) {
    double now = clock.now();
    Endpoint endpoint = endpoints.get(worker);
    boolean excluded = request.excludesWorker(worker);
    Attempt attempt = new Attempt(request, worker, endpoint, now);
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    double remaining = request.job.deadline() - now;
    WithheldReason reason = null;
    if (request.completed()) {
      reason = WithheldReason.REQUEST_COMPLETED;
    } else if (remaining <= 0) {
      reason = WithheldReason.DEADLINE_PASSED;
    } else if (excluded) {
      reason = WithheldReason.EARLIER_ATTEMPT;
    } else if (endpoint == null || endpoint.worker().state() != WorkerState.READY) {
      reason = WithheldReason.WORKER_UNAVAILABLE;
    }
    if (reason != null) {
      withhold(attempt, reason);
      turns.event(() -> end(attempt, AttemptOutcome.NEVER_SENT, LoadReport.NONE));
      return;
    }
    double limit = timeout > 0 ? Math.min(timeout, remaining) : remaining;
    attempt.timeoutTimer = timers.after(limit, () -> timedOut(attempt));
    attempt.acceptanceTimer = timers.after(ACCEPTANCE_TIMEOUT_MILLIS, () -> notAccepted(attempt));
    attempt.handle =
        transport.send(request.call, endpoint.address(), limit, new ProgressListener(attempt));
  }

  /**
   * Counts and logs that an attempt is withheld. Always returns false, the result of {@link
   * ProgressListener#mayStart} for a withheld attempt.
   */
  private boolean withhold(Attempt attempt, WithheldReason reason) {
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
      cancelUnlessEnded(attempt, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECT_FAILED);
    }
  }

  /**
   * Reads pending input for an attempt that has not ended. An event loop that was held up runs its
   * timers before it reads input; reading here puts the input ahead of any event that the timer
   * adds.
   */
  void readPending(Attempt attempt) {
    if (!attempt.ended && attempt.handle != null) {
      attempt.handle.readPending();
      transport.readCallbacks();
    }
  }

  /** Cancels an attempt in the next turn, unless it has ended by then. */
  void cancel(Attempt attempt) {
    cancelUnlessEnded(attempt, AttemptOutcome.CANCELLED, AttemptOutcome.NEVER_SENT);
  }

  private void cancelUnlessEnded(
      Attempt attempt, AttemptOutcome ifWritten, AttemptOutcome ifNotWritten) {
    if (!attempt.ended && attempt.handle != null) {
      turns.event(
          () -> {
            if (!attempt.ended) {
              attempt.handle.cancel(() -> {});
              end(
                  attempt,
                  attempt.written ? ifWritten : outcomeIfUnwritten(attempt, ifNotWritten),
                  LoadReport.NONE);
            }
          });
    }
  }

  /**
   * Returns the outcome of an attempt that was not written. A resource shortage of this machine is
   * not attributed to the worker.
   */
  private static AttemptOutcome outcomeIfUnwritten(Attempt attempt, AttemptOutcome otherwise) {
    return attempt.handle.delayedLocally() ? AttemptOutcome.NEVER_SENT : otherwise;
  }

  /**
   * Cancels an attempt that the worker has not accepted in time, because the client still waits and
   * a retry may follow. The retry must wait until the worker has been notified of the cancellation,
   * since its 202 response may already be on its way.
   */
  private void notAccepted(Attempt attempt) {
    if (!attempt.ended && !attempt.written && attempt.handle.delayedLocally()) {
      attempt.acceptanceTimer = timers.after(ACCEPTANCE_TIMEOUT_MILLIS, () -> notAccepted(attempt));
    } else if (!hasRespondedAfterRead(attempt)) {
      attempt.handle.cancel(
          () ->
              turns.event(
                  () ->
                      end(
                          attempt,
                          attempt.written
                              ? AttemptOutcome.TIMEOUT
                              : outcomeIfUnwritten(attempt, AttemptOutcome.CONNECT_FAILED),
                          LoadReport.NONE)));
    }
  }

  private boolean hasRespondedAfterRead(Attempt attempt) {
    if (!attempt.hasResponded()) {
      readPending(attempt);
    }
    return attempt.hasResponded();
  }

  /** Ends an attempt and reports its end; does nothing if the attempt has already ended. */
  void end(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
    if (!attempt.ended) {
      attempt.ended(outcome, clock.now());
      attempt.request.attemptsInFlight--;
      listener.ended(attempt, outcome, report);
    }
  }

  /** Tracks the progress of one attempt. */
  private final class ProgressListener implements WorkerTransport.Listener {
    private final Attempt attempt;

    ProgressListener(Attempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean mayStart() {
      // While the connection was being opened, the client may have disconnected or another attempt
      // may have succeeded.
      if (attempt.ended) {
        return false;
      }
      if (attempt.request.completed()) {
        return withhold(attempt, WithheldReason.REQUEST_COMPLETED);
      }
      if (!endpoints.isCurrent(attempt.endpoint)) {
        return withhold(attempt, WithheldReason.WORKER_UNAVAILABLE);
      }
      return attempt.request.clientPresent() || withhold(attempt, WithheldReason.CLIENT_GONE);
    }

    @Override
    public void written() {
      attempt.written = true;
      attempt.writtenAt = clock.now();
      metrics.attempt(attempt.number);
    }

    @Override
    public void accepted() {
      attempt.acceptedAt = clock.now();
      attempt.acceptanceTimer.cancel();
    }

    @Override
    public void ended(AttemptOutcome outcome, LoadReport report) {
      attempt.endReported = true;
      turns.event(() -> end(attempt, outcome, report));
    }
  }
}
