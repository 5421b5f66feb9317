package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.List;

/** A client's request and its attempts, kept until it is completed and none is in flight. */
final class PendingRequest {
  final Job job;
  final JobClass jobClass;
  final List<Attempt> attempts = new ArrayList<>(2);

  /** Attempts that have not ended. */
  int inFlight;

  /** True once no answer is owed any more. */
  boolean completed;

  PendingRequest(Job job, JobClass jobClass) {
    this.job = job;
    this.jobClass = jobClass;
  }

  /** The first attempt that may have run the job, or null. */
  Attempt firstThatMayHaveRun() {
    return attempts.stream().filter(Attempt::mayHaveRun).findFirst().orElse(null);
  }

  /** True if an attempt of this request went to the worker. */
  boolean triedAt(WorkerStats worker) {
    return attempts.stream().anyMatch(attempt -> attempt.worker == worker);
  }

  Attempt newest() {
    return attempts.get(attempts.size() - 1);
  }
}
