package ferngrade.node;

import ferngrade.dispatch.Job;
import java.util.ArrayList;
import java.util.List;

/** One client's request: its attempts, and whether its final answer has been given. */
final class PendingRequest {
  final Job job;
  final JobRequest call;
  final List<Attempt> attempts = new ArrayList<>(2);

  /** The number of attempts that have not ended. */
  int attemptsInFlight;

  Timers.Timer guard;
  private final ResponseHandler reply;
  private final NodeMetrics metrics;
  private boolean completed;

  /** The final answer goes to {@code reply}, and is counted in {@code metrics}. */
  PendingRequest(Job job, JobRequest call, ResponseHandler reply, NodeMetrics metrics) {
    this.job = job;
    this.call = call;
    this.reply = reply;
    this.metrics = metrics;
  }

  boolean completed() {
    return completed;
  }

  /** Completes the request: true for the first caller only, who owes the final answer. */
  private boolean complete() {
    boolean first = !completed;
    completed = true;
    return first;
  }

  void served(String result) {
    if (complete()) {
      metrics.served(job.jobClass());
      reply.served(result);
    }
  }

  void refused(double retryAfter, RejectionReason reason) {
    if (complete()) {
      metrics.refused(job.jobClass(), reason);
      reply.refused(retryAfter);
    }
  }

  /** True if this was the final answer. */
  boolean failed() {
    boolean first = complete();
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
    completed = true;
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
