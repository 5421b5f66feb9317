package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Holds the states of all durable jobs and enforces the rules for their changes, without I/O, clock
 * or threads. An allowed change is applied at once and returned as log records, which the caller
 * must store before it reports the change to a client or worker. A rejected change leaves the table
 * unchanged.
 *
 * <p>The rules: a job that may have run never runs again unless its {@link Idempotency} allows it
 * (a keyed job within its window, a safe job always). Each lease has a fencing token larger than
 * all earlier ones, also across a crash, and only the holder of a job's newest token is accepted.
 * After a restart, every granted lease is assumed to have possibly led to a run.
 *
 * <p>Parameters named {@code atMillis} are wall-clock times, ms since 1970; {@code monotonic} is a
 * time of a monotonic clock, ms. Not thread-safe.
 */
public class JobTable {
  /** The maximum exponent of the backoff, which keeps the delay finite. */
  private static final int MAX_BACKOFF_EXPONENT = 30;

  private final JobTableSettings settings;
  private final JobStates states = new JobStates();

  /** Creates an empty table. */
  public JobTable(JobTableSettings settings) {
    this.settings = settings;
  }

  /** Accepts a job from a client; rejects it if a job with the same id was accepted before. */
  public JobChange accept(JobSubmission submission, double atMillis) {
    if (states.contains(submission.id())) {
      return JobChange.rejected(RejectionReason.DUPLICATE_ID);
    }
    return apply(
        new LogRecord.Accepted(
            submission.id(),
            submission.idempotency(),
            submission.idempotencyKey(),
            submission.windowMillis(),
            0,
            atMillis,
            submission.payload().clone()));
  }

  /** Grants a worker a lease on a job, with a new fencing token. */
  public JobChange lease(String id, String worker, double atMillis, double monotonic) {
    return ifKnown(
        id,
        job -> {
          boolean waiting = job.state == JobState.ACCEPTED && atMillis >= job.notBeforeMillis;
          if (!waiting || !mayRun(job, atMillis)) {
            return JobChange.rejected(RejectionReason.INVALID_STATE);
          }
          JobChange change =
              apply(new LogRecord.Leased(id, worker, states.highestToken() + 1, atMillis));
          job.expiresAtMonotonic = monotonic + settings.leaseMillis();
          return change;
        });
  }

  private static boolean mayRun(Job job, double atMillis) {
    if (job.possibleRun.isEmpty()) {
      return true;
    }
    double since = job.possibleRun.get().sinceMillis();
    return switch (job.idempotency()) {
      case SAFE -> true;
      case KEYED -> atMillis >= since && atMillis < since + job.accepted().windowMillis();
      case UNSAFE -> false;
    };
  }

  /** Records that the lease holder has started the job. */
  public JobChange started(String id, long token) {
    return ifHolder(
        id,
        token,
        job ->
            job.state == JobState.STARTED
                ? JobChange.of()
                : apply(new LogRecord.Started(id, job.token, job.possiblyRunSinceMillis())));
  }

  /**
   * Extends the lease after a heartbeat of its holder. Nothing is stored, because a restart extends
   * every lease by its full duration.
   */
  public JobChange heartbeat(String id, long token, double monotonic) {
    return ifHolder(
        id,
        token,
        job -> {
          if (job.state != JobState.IN_DOUBT) {
            job.expiresAtMonotonic = monotonic + settings.leaseMillis();
          }
          return JobChange.of();
        });
  }

  /**
   * Records that the lease holder has completed the job. The holder of the newest lease may still
   * complete a job that is in doubt.
   */
  public JobChange done(String id, long token, String result, double atMillis) {
    return ifHolder(
        id, token, job -> apply(new LogRecord.Ended(id, job.token, true, result, atMillis)));
  }

  /**
   * Records that the lease holder has failed. The job may have had an effect, so it is retried only
   * if its idempotency allows it. {@code jitter} is a uniform random number from 0 to 1.
   */
  public JobChange failed(String id, long token, String reason, double atMillis, double jitter) {
    return ifHolder(id, token, job -> retryOrFail(job, atMillis, jitter, reason));
  }

  /** Returns the job to the queue after its lease holder reported that it never started it. */
  public JobChange returned(String id, long token, double atMillis, double jitter) {
    return ifHolder(
        id,
        token,
        job -> {
          if (job.state == JobState.STARTED) {
            // The holder has already reported the start of the job.
            return JobChange.rejected(RejectionReason.INVALID_STATE);
          }
          if (job.leases >= settings.maxLeases()) {
            return apply(failure(job, "returned " + job.leases + " times", atMillis));
          }
          double next = atMillis + backoffMillis(job, jitter);
          return apply(new LogRecord.Returned(id, job.token, true, next));
        });
  }

  private JobChange ifKnown(String id, Function<Job, JobChange> change) {
    return states
        .find(id)
        .map(change)
        .orElseGet(() -> JobChange.rejected(RejectionReason.UNKNOWN_ID));
  }

  private JobChange ifHolder(String id, long token, Function<Job, JobChange> change) {
    return ifKnown(
        id,
        job -> {
          if (!isCurrentHolder(job, token)) {
            return JobChange.rejected(RejectionReason.STALE_TOKEN);
          }
          if (!job.leased() && job.state != JobState.IN_DOUBT) {
            return JobChange.rejected(RejectionReason.INVALID_STATE);
          }
          return change.apply(job);
        });
  }

  /**
   * Returns whether the token belongs to the newest lease; only the holder of the newest lease may
   * change the job.
   */
  boolean isCurrentHolder(Job job, long token) {
    return token == job.token && token > 0;
  }

  /**
   * Retries a job that may have run if its idempotency and its lease count allow it, or fails it.
   */
  private JobChange retryOrFail(Job job, double atMillis, double jitter, String reason) {
    double next = atMillis + backoffMillis(job, jitter);
    double since = job.possiblyRunSinceMillis();
    boolean repeatable =
        switch (job.idempotency()) {
          case SAFE -> true;
          case KEYED -> next < since + job.accepted().windowMillis();
          case UNSAFE -> false;
        };
    if (repeatable && job.leases < settings.maxLeases()) {
      return apply(
          new LogRecord.Doubted(job.id(), job.token, since),
          new LogRecord.Returned(job.id(), job.token, false, next));
    }
    return apply(failure(job, reason, atMillis));
  }

  private static LogRecord failure(Job job, String reason, double atMillis) {
    return new LogRecord.Ended(job.id(), job.token, false, reason, atMillis);
  }

  /** Returns the delay of the exponential backoff, ms; half of the delay is random. */
  private double backoffMillis(Job job, double jitter) {
    int exponent = Math.min(MAX_BACKOFF_EXPONENT, job.leases - 1);
    double full =
        Math.min(settings.maxBackoffMillis(), settings.backoffMillis() * Math.scalb(1, exponent));
    return full * (0.5 + 0.5 * jitter);
  }

  /**
   * Expires leases, fails jobs that have been in doubt for too long, and discards old results. A
   * job whose lease expires without a heartbeat enters the state {@link JobState#IN_DOUBT}, or
   * returns to the queue if its idempotency allows it. A result is discarded after its retention
   * time. Leases and the time limit for jobs in doubt use only the monotonic clock, so that a jump
   * of the wall clock cannot lead to two lease holders.
   */
  public JobChange expire(double atMillis, double monotonic, double jitter) {
    List<LogRecord> records = new ArrayList<>();
    for (Job job : List.copyOf(states.all())) {
      records.addAll(expire(job, atMillis, monotonic, jitter).records());
    }
    return new JobChange.Allowed(records);
  }

  private JobChange expire(Job job, double atMillis, double monotonic, double jitter) {
    boolean expired = monotonic >= job.expiresAtMonotonic;
    if (job.leased() && expired) {
      return expireLease(job, atMillis, monotonic, jitter);
    }
    if (job.state == JobState.IN_DOUBT && expired) {
      return apply(failure(job, "in doubt: it may have run, and was not started again", atMillis));
    }
    if (job.state == JobState.ACCEPTED && !mayRun(job, atMillis)) {
      return apply(
          failure(
              job,
              "it may have run, and the time in which a repeat is dropped has gone",
              atMillis));
    }
    if (job.state.ended() && atMillis - job.endedAtMillis >= settings.retainResultMillis()) {
      return apply(new LogRecord.Forgotten(job.id()));
    }
    return JobChange.of();
  }

  private JobChange expireLease(Job job, double atMillis, double monotonic, double jitter) {
    if (job.idempotency() != Idempotency.UNSAFE) {
      return retryOrFail(job, atMillis, jitter, "lease ran out");
    }
    JobChange change =
        apply(new LogRecord.Doubted(job.id(), job.token, job.possiblyRunSinceMillis()));
    job.expiresAtMonotonic = monotonic + settings.inDoubtMillis();
    return change;
  }

  /**
   * Completes a recovery after the last record was replayed. Every granted lease is extended by its
   * full duration, since its worker may still run the job, unaware of the restart; until then the
   * job is leased to no other worker.
   */
  public void recovered(double monotonic) {
    for (Job job : states.all()) {
      if (job.leased()) {
        job.expiresAtMonotonic = monotonic + settings.leaseMillis();
      } else if (job.state == JobState.IN_DOUBT) {
        job.expiresAtMonotonic = monotonic + settings.inDoubtMillis();
      }
    }
  }

  /** Puts a failed job back in the queue at an operator's request, if it may run again. */
  public JobChange requeue(String id, double atMillis) {
    return ifKnown(
        id,
        job -> {
          boolean repeatable = job.possibleRun.isEmpty() || job.idempotency() == Idempotency.SAFE;
          if (job.state != JobState.FAILED || !repeatable) {
            return JobChange.rejected(RejectionReason.INVALID_STATE);
          }
          LogRecord.Accepted original = job.accepted();
          return apply(
              new LogRecord.Forgotten(id),
              new LogRecord.Accepted(
                  id,
                  original.idempotency(),
                  original.idempotencyKey(),
                  original.windowMillis(),
                  0,
                  atMillis,
                  original.payload()));
        });
  }

  /** Discards a job that has ended. */
  public JobChange drop(String id) {
    return ifKnown(
        id,
        job ->
            job.state.ended()
                ? apply(new LogRecord.Forgotten(id))
                : JobChange.rejected(RejectionReason.INVALID_STATE));
  }

  private JobChange apply(LogRecord... records) {
    for (LogRecord logRecord : records) {
      states.replay(logRecord);
    }
    return JobChange.of(records);
  }

  /**
   * Applies a record that is replayed from the log.
   *
   * @throws IllegalStateException if the record is invalid after the records before it, which never
   *     happens with a log written by this program
   */
  public void replay(LogRecord logRecord) {
    states.replay(logRecord);
  }

  /** Returns records that reproduce this table when replayed into an empty one. */
  public List<LogRecord> snapshot() {
    return states.snapshot();
  }

  /** Returns the job of this id; empty if it is unknown. */
  public Optional<Job> job(String id) {
    return states.find(id);
  }

  /** Returns a view of all jobs in the order in which they were accepted. */
  public Collection<Job> jobs() {
    return states.all();
  }

  /** The largest fencing token granted so far. */
  public long highestToken() {
    return states.highestToken();
  }
}
