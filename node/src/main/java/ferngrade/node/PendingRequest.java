package ferngrade.node;

import ferngrade.dispatch.Job;
import java.util.ArrayList;
import java.util.List;

/** Tracks one client's request: its attempts and its final answer. */
final class PendingRequest {
  /**
   * The lateness of an answer, ms, above which the request is traced. Up to five times this
   * lateness, a late answer still counts as an answer.
   */
  private static final double MIN_TRACED_LATENESS_MILLIS = 100;

  final Job job;
  final JobRequest call;
  final List<Attempt> attempts = new ArrayList<>(2);

  /** True once the dispatcher decides on the request, which may then be sent. */
  boolean admitted;

  /** The number of attempts that have not ended. */
  int attemptsInFlight;

  /** Fires when the request must have its final answer. */
  Timers.Timer overdueTimer;

  private final ResponseHandler reply;
  private final NodeMetrics metrics;
  private final Clock clock;

  /** When the request was fully read, ms on the monotonic clock. */
  final double readAt;

  /** When the request was answered, ms on the monotonic clock; NaN until then. */
  private double answeredAt = Double.NaN;

  /** The final answer; null until the request is answered. */
  private FinalAnswer answer;

  /**
   * Creates a request whose final answer is passed to {@code reply} and counted in {@code metrics}.
   */
  PendingRequest(
      Job job, JobRequest call, ResponseHandler reply, NodeMetrics metrics, Clock clock) {
    this.job = job;
    this.call = call;
    this.reply = reply;
    this.metrics = metrics;
    this.clock = clock;
    this.readAt = clock.now();
  }

  /** Returns the final answer; null until there is one. */
  FinalAnswer answer() {
    return answer;
  }

  /** Returns when the request was answered, ms on the monotonic clock; NaN until then. */
  double answeredAt() {
    return answeredAt;
  }

  /**
   * Returns true if the answer came so long after the client's deadline that a trace should be
   * written.
   */
  boolean answeredLate() {
    return answer != FinalAnswer.ABANDONED
        && answeredAt > job.deadline() + MIN_TRACED_LATENESS_MILLIS;
  }

  boolean completed() {
    return answer != null;
  }

  /**
   * Completes the request. Returns true for the first call only; that caller must send the final
   * answer.
   */
  private boolean complete(FinalAnswer finalAnswer) {
    if (answer != null) {
      return false;
    }
    answer = finalAnswer;
    answeredAt = clock.now();
    return true;
  }

  void served(String result) {
    if (complete(FinalAnswer.SERVED)) {
      metrics.served(job.jobClass());
      reply.served(result);
    }
  }

  void rejected(double retryAfter, RejectionReason reason) {
    if (complete(FinalAnswer.REJECTED)) {
      metrics.rejected(job.jobClass(), reason);
      reply.rejected(retryAfter);
    }
  }

  /**
   * Answers that the request has failed, unless it is already answered. Returns true if this was
   * the final answer.
   */
  boolean failed() {
    boolean first = complete(FinalAnswer.FAILED);
    if (first) {
      metrics.failed(job.jobClass());
      reply.failed();
    }
    return first;
  }

  /** Answers that the id of the request belongs to a request of another process. */
  void idInUse() {
    if (complete(FinalAnswer.ID_IN_USE)) {
      reply.idInUse();
    }
  }

  /**
   * Answers a request that a shutdown cancels: failed if an attempt may have run, rejected
   * otherwise.
   */
  void cancelledByShutdown() {
    if (attempts.stream().anyMatch(Attempt::mayHaveRun)) {
      failed();
    } else {
      rejected(0, RejectionReason.SHUTDOWN);
    }
  }

  /**
   * Returns false if the client has disconnected, even if the event loop has not read the close
   * yet.
   */
  boolean clientPresent() {
    return reply.clientPresent();
  }

  /** Completes the request without an answer, because its client has disconnected. */
  void abandoned() {
    metrics.abandoned();
    complete(FinalAnswer.ABANDONED);
  }

  /** Returns the attempt to which a callback of this worker can refer; null if there is none. */
  Attempt runningAttemptOn(String worker) {
    for (Attempt attempt : attempts) {
      if (attempt.running() && attempt.endpoint.name().equals(worker)) {
        return attempt;
      }
    }
    return null;
  }

  /** Returns true if the request must not be sent to this worker again. */
  boolean excludesWorker(long worker) {
    return attempts.stream()
        .anyMatch(attempt -> attempt.worker == worker && attempt.excludesWorker());
  }
}
