package ferngrade.jobstore;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Builds the states of all jobs from log records. Replaying the same records in the same order
 * always gives the same states. Not thread-safe.
 */
final class JobStates {
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private long highestToken;

  Optional<Job> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  boolean contains(String id) {
    return jobs.containsKey(id);
  }

  /** All jobs, in the order in which they were accepted. */
  Collection<Job> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  long highestToken() {
    return highestToken;
  }

  /**
   * Applies a record.
   *
   * @throws IllegalStateException if the record is invalid after the records before it
   */
  void replay(LogRecord logRecord) {
    if (logRecord instanceof LogRecord.Tokens tokens) {
      highestToken = Math.max(highestToken, tokens.highest());
    } else if (logRecord instanceof LogRecord.Accepted accepted) {
      if (jobs.putIfAbsent(accepted.id(), new Job(accepted)) != null) {
        throw new IllegalStateException("accepted twice: " + accepted.id());
      }
    } else {
      Job job = jobs.get(logRecord.id());
      if (job == null) {
        throw new IllegalStateException("record of a job that was never accepted: " + logRecord);
      }
      replay(job, logRecord);
    }
  }

  private void replay(Job job, LogRecord logRecord) {
    if (logRecord instanceof LogRecord.Leased leased) {
      lease(job, leased);
    } else if (logRecord instanceof LogRecord.Started started) {
      require(!job.state.ended() && started.token() == job.token, started);
      job.state = JobState.STARTED;
      markPossibleRun(job, started.token(), started.sinceMillis());
    } else if (logRecord instanceof LogRecord.Doubted doubted) {
      require(!job.state.ended() && doubted.token() == job.token, doubted);
      job.state = JobState.IN_DOUBT;
      markPossibleRun(job, doubted.token(), doubted.sinceMillis());
    } else if (logRecord instanceof LogRecord.Returned returned) {
      giveBack(job, returned);
    } else if (logRecord instanceof LogRecord.Ended ended) {
      require(!job.state.ended() && ended.token() == job.token, ended);
      job.state = ended.done() ? JobState.DONE : JobState.FAILED;
      job.result = ended.result();
      job.endedAtMillis = ended.atMillis();
    } else if (logRecord instanceof LogRecord.Forgotten) {
      require(job.state.ended(), logRecord);
      jobs.remove(job.id());
    }
  }

  private void lease(Job job, LogRecord.Leased leased) {
    require(job.state == JobState.ACCEPTED && leased.token() > highestToken, leased);
    job.state = JobState.LEASED;
    job.worker = leased.worker();
    job.token = leased.token();
    job.leasedAtMillis = leased.atMillis();
    job.leases++;
    highestToken = leased.token();
  }

  private static void giveBack(Job job, LogRecord.Returned returned) {
    boolean pending = !job.state.ended() && job.state != JobState.ACCEPTED;
    require(pending && returned.token() == job.token, returned);
    job.state = JobState.ACCEPTED;
    job.notBeforeMillis = returned.notBeforeMillis();
    if (returned.unstarted()) {
      // A possible run under an earlier lease is kept, because a lease holder reports only on its
      // own lease.
      job.possibleRun = job.possibleRun.filter(run -> run.token() != job.token);
    }
  }

  private static void markPossibleRun(Job job, long token, double sinceMillis) {
    if (job.possibleRun.isEmpty()) {
      job.possibleRun = Optional.of(new Job.PossibleRun(sinceMillis, token));
    }
  }

  private static void require(boolean valid, LogRecord logRecord) {
    if (!valid) {
      throw new IllegalStateException("invalid after the preceding records: " + logRecord);
    }
  }

  /** Returns records that reproduce these states when replayed into an empty instance. */
  List<LogRecord> snapshot() {
    List<LogRecord> records = new ArrayList<>();
    jobs.values().forEach(job -> records.add(acceptedBeforeLastLease(job)));
    // Sorted by token, since tokens must increase in a log.
    jobs.values().stream()
        .filter(job -> job.state != JobState.ACCEPTED || job.token > 0)
        .sorted(Comparator.comparingLong(Job::token))
        .forEach(job -> addProgress(job, records));
    records.add(new LogRecord.Tokens(highestToken));
    return records;
  }

  private static LogRecord acceptedBeforeLastLease(Job job) {
    LogRecord.Accepted original = job.accepted();
    return new LogRecord.Accepted(
        original.id(),
        original.idempotency(),
        original.idempotencyKey(),
        original.windowMillis(),
        job.token == 0 ? job.leases : job.leases - 1,
        original.atMillis(),
        original.payload());
  }

  private static void addProgress(Job job, List<LogRecord> records) {
    if (job.token > 0) {
      records.add(new LogRecord.Leased(job.id(), job.worker, job.token, job.leasedAtMillis));
    }
    job.possibleRun.ifPresent(
        run ->
            records.add(
                job.state == JobState.STARTED
                    ? new LogRecord.Started(job.id(), job.token, run.sinceMillis())
                    : new LogRecord.Doubted(job.id(), job.token, run.sinceMillis())));
    if (job.state == JobState.ACCEPTED) {
      records.add(new LogRecord.Returned(job.id(), job.token, false, job.notBeforeMillis));
    } else if (job.state.ended()) {
      boolean done = job.state == JobState.DONE;
      records.add(new LogRecord.Ended(job.id(), job.token, done, job.result, job.endedAtMillis));
    }
  }
}
