package ferngrade.node;

import ferngrade.dispatch.Job;
import java.util.ArrayList;
import java.util.List;

/** One client's request: its attempts, and whether its final answer has been given. */
final class PendingRequest {
  final Job job;
  final JobRequest call;
  final List<Attempt> attempts = new ArrayList<>(2);
  int out;
  Timers.Timer guard;
  private final ResponseHandler reply;
  private final NodeMetrics figures;
  private boolean over;

  /** The final answer goes to {@code reply}, and is counted in {@code figures}. */
  PendingRequest(Job job, JobRequest call, ResponseHandler reply, NodeMetrics figures) {
    this.job = job;
    this.call = call;
    this.reply = reply;
    this.figures = figures;
  }

  boolean over() {
    return over;
  }

  /** Ends the request for good: true for the first caller only, who owes the final answer. */
  private boolean close() {
    boolean first = !over;
    over = true;
    return first;
  }

  void served(String result) {
    if (close()) {
      figures.served(job.jobClass());
      reply.served(result);
    }
  }

  void refused(double retryAfter) {
    if (close()) {
      figures.refused(job.jobClass());
      reply.refused(retryAfter);
    }
  }

  /** True if this was the final answer. */
  boolean failed() {
    boolean first = close();
    if (first) {
      figures.failed(job.jobClass());
      reply.failed();
    }
    return first;
  }

  /** The final answer to a request that is given up, by what its attempts may have done. */
  void givenUp() {
    if (attempts.stream().anyMatch(Attempt::mayHaveRun)) {
      failed();
    } else {
      refused(0);
    }
  }

  /** False if the client has gone, whether or not that has been read yet. */
  boolean clientPresent() {
    return reply.clientPresent();
  }

  /** The client has gone; there is nobody to answer. */
  void abandoned() {
    over = true;
  }

  /** The attempt that this worker may be speaking of: the one that is out and fully written. */
  Attempt writtenTo(String worker) {
    for (Attempt attempt : attempts) {
      if (attempt.running() && attempt.member.name().equals(worker)) {
        return attempt;
      }
    }
    return null;
  }

  /** True if the worker must not get the request (again). */
  boolean barred(long worker) {
    return attempts.stream().anyMatch(each -> each.worker == worker && each.bars());
  }
}
