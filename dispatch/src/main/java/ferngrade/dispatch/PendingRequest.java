package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * A client's request and its attempts. It is kept until it is completed and has no attempt in
 * flight.
 */
final class PendingRequest {
  final Job job;
  final JobClass jobClass;
  final List<Attempt> attempts = new ArrayList<>(2);

  /** Number of attempts that have not ended. */
  int inFlight;

  /** True once the request needs no answer. */
  boolean completed;

  PendingRequest(Job job, JobClass jobClass) {
    this.job = job;
    this.jobClass = jobClass;
  }

  /** Returns the first attempt that may have run the job, or null if there is none. */
  Attempt firstAttemptThatMayHaveRun() {
    return attempts.stream().filter(Attempt::mayHaveRun).findFirst().orElse(null);
  }

  /** Returns true if an attempt of this request was sent to the worker. */
  boolean wasSentTo(WorkerStats worker) {
    return attempts.stream().anyMatch(attempt -> attempt.worker == worker);
  }

  Attempt newestAttempt() {
    return attempts.get(attempts.size() - 1);
  }
}
