package ferngrade.node;

import ferngrade.dispatch.Job;
import java.util.ArrayList;
import java.util.List;

/** One client's request: its attempts, and whether its final answer has been given. */
final class PendingRequest {
  /** A fifth of the time for which a late answer still counts as one. */
  private static final double REPORTED_LATENESS_MS = 100;

  final Job job;
  final JobRequest call;
  final List<Attempt> attempts = new ArrayList<>(2);

  /** The number of attempts that have not ended. */
  int attemptsInFlight;

  Timers.Timer guard;
  private final ResponseHandler reply;
  private final NodeMetrics metrics;
  private final Clock clock;

  /** When it was read whole, ms on the clock. */
  final double readAt;

  /** When it was answered; NaN before that. */
  private double answeredAt = Double.NaN;

  /** Null before it is answered. */
  private FinalAnswer answer;

  /** The final answer goes to {@code reply}, and is counted in {@code metrics}. */
  PendingRequest(
      Job job, JobRequest call, ResponseHandler reply, NodeMetrics metrics, Clock clock) {
    this.job = job;
    this.call = call;
    this.reply = reply;
    this.metrics = metrics;
    this.clock = clock;
    this.readAt = clock.now();
  }

  /** The final answer; null before there is one. */
  FinalAnswer answer() {
    return answer;
  }

  /** When it was answered, ms on the clock; NaN before that. */
  double answeredAt() {
    return answeredAt;
  }

  /** True if the answer came so long after the client's deadline that it is worth a trace. */
  boolean answeredLate() {
    return answer != FinalAnswer.ABANDONED && answeredAt > job.due() + REPORTED_LATENESS_MS;
  }

  boolean completed() {
    return answer != null;
  }

  /** Completes the request: true for the first caller only, who owes the final answer. */
  private boolean complete(FinalAnswer with) {
    if (answer != null) {
      return false;
    }
    answer = with;
    answeredAt = clock.now();
    return true;
  }

  void served(String result) {
    if (complete(FinalAnswer.SERVED)) {
      metrics.served(job.jobClass());
      reply.served(result);
    }
  }

  void refused(double retryAfter, RejectionReason reason) {
    if (complete(FinalAnswer.REJECTED)) {
      metrics.refused(job.jobClass(), reason);
      reply.refused(retryAfter);
    }
  }

  /** True if this was the final answer. */
  boolean failed() {
    boolean first = complete(FinalAnswer.FAILED);
    if (first) {
      metrics.failed(job.jobClass());
      reply.failed();
    }
    return first;
  }

  /** The final answer to a request that a shutdown cancels, by what its attempts may have done. */
  void givenUp() {
    if (attempts.stream().anyMatch(Attempt::mayHaveRun)) {
      failed();
    } else {
      refused(0, RejectionReason.SHUTDOWN);
    }
  }

  /** False if the client has gone, whether or not that has been read yet. */
  boolean clientPresent() {
    return reply.clientPresent();
  }

  /** The client has gone; there is nobody to answer. */
  void abandoned() {
    metrics.abandoned();
    complete(FinalAnswer.ABANDONED);
  }

  /** The attempt that a callback of this worker can be about; null if there is none. */
  Attempt writtenTo(String worker) {
    for (Attempt attempt : attempts) {
      if (attempt.running() && attempt.endpoint.name().equals(worker)) {
        return attempt;
      }
    }
    return null;
  }

  /** True if the worker must not get the request again. */
  boolean barred(long worker) {
    return attempts.stream().anyMatch(each -> each.worker == worker && each.bars());
  }
}
