package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.util.Optional;

/**
 * A durable job and its state. Only {@link JobTable} and {@link JobStates} change it, on the
 * table's thread.
 */
public final class Job {
  /**
   * The earliest lease that may have led to a run. A lease whose job was returned unstarted does
   * not count.
   *
   * @param sinceMillis the time at which the lease was granted, ms since 1970
   * @param token the fencing token of that lease
   */
  record PossibleRun(double sinceMillis, long token) {}

  private final LogRecord.Accepted accepted;
  JobState state = JobState.ACCEPTED;
  String worker = "";
  long token;
  int leases;

  /**
   * The time of the monotonic clock at which the lease expires, or at which a job in doubt fails.
   * This time is not stored, because the clock is valid in this process only.
   */
  double expiresAtMonotonic = Double.POSITIVE_INFINITY;

  double notBeforeMillis = Double.NEGATIVE_INFINITY;

  /** The time at which the last lease was granted; undefined before the first lease. */
  double leasedAtMillis;

  Optional<PossibleRun> possibleRun = Optional.empty();
  String result = "";
  double endedAtMillis;

  Job(LogRecord.Accepted accepted) {
    this.accepted = accepted;
    this.leases = accepted.attempts();
  }

  /** The identifier chosen by the client. */
  public String id() {
    return accepted.id();
  }

  /** Whether the job may run again. */
  public Idempotency idempotency() {
    return accepted.idempotency();
  }

  LogRecord.Accepted accepted() {
    return accepted;
  }

  /** Returns a copy of the request for the worker. */
  public byte[] payload() {
    return accepted.payload().clone();
  }

  /** The current state. */
  public JobState state() {
    return state;
  }

  /** The worker of the last lease; empty before the first lease. */
  public String worker() {
    return worker;
  }

  /** The fencing token of the last lease; 0 before the first lease. */
  public long token() {
    return token;
  }

  /** The number of leases granted so far. */
  public int leases() {
    return leases;
  }

  /** The time before which the job must not be leased, ms since 1970. */
  public double notBeforeMillis() {
    return notBeforeMillis;
  }

  /** The result, or the reason of the failure; empty until the job has ended. */
  public String result() {
    return result;
  }

  /** The time at which the job ended, ms since 1970; 0 until then. */
  public double endedAtMillis() {
    return endedAtMillis;
  }

  /** Returns true while a worker holds a lease that has not expired. */
  boolean leased() {
    return state == JobState.LEASED || state == JobState.STARTED;
  }

  /**
   * Returns the earliest time at which the job may have run, ms since 1970, on the assumption that
   * its last lease may have led to a run.
   */
  double possiblyRunSinceMillis() {
    return possibleRun.map(PossibleRun::sinceMillis).orElse(leasedAtMillis);
  }
}
