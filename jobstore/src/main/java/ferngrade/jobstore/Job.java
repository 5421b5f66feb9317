package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.util.Optional;

/**
 * A durable job and its state. Only {@link JobTable} and {@link JobStates} change it, on the
 * table's thread.
 */
public final class Job {
  /**
   * The first lease that may have led to a run and has not been given back unstarted.
   *
   * @param sinceMillis when that lease was granted, ms since 1970
   * @param token the fencing token of that lease
   */
  record PossibleRun(double sinceMillis, long token) {}

  private final LogRecord.Accepted accepted;
  JobState state = JobState.ACCEPTED;
  String worker = "";
  long token;
  int leases;

  /**
   * When the lease or the doubt expires, by the monotonic clock of this process, so never stored.
   */
  double expiresAtMonotonic = Double.POSITIVE_INFINITY;

  double notBeforeMillis = Double.NEGATIVE_INFINITY;

  /** When the last lease was granted; meaningless before the first. */
  double leasedAtMillis;

  Optional<PossibleRun> possibleRun = Optional.empty();
  String result = "";
  double endedAtMillis;

  Job(LogRecord.Accepted accepted) {
    this.accepted = accepted;
    this.leases = accepted.attempts();
  }

  /** The identifier that its client gave it. */
  public String id() {
    return accepted.id();
  }

  /** Whether it may be run again. */
  public Idempotency idempotency() {
    return accepted.idempotency();
  }

  LogRecord.Accepted accepted() {
    return accepted;
  }

  /** A copy of the request for the worker. */
  public byte[] payload() {
    return accepted.payload().clone();
  }

  /** The present state. */
  public JobState state() {
    return state;
  }

  /** The worker of its last lease; empty before the first. */
  public String worker() {
    return worker;
  }

  /** The fencing token of its last lease; 0 before the first. */
  public long token() {
    return token;
  }

  /** How many leases it has had. */
  public int leases() {
    return leases;
  }

  /** The time before which it is not to be leased, ms since 1970. */
  public double notBeforeMillis() {
    return notBeforeMillis;
  }

  /** Its result, or the reason why it failed; empty before its end. */
  public String result() {
    return result;
  }

  /** When it ended, ms since 1970; 0 before its end. */
  public double endedAtMillis() {
    return endedAtMillis;
  }

  /** True while a worker holds a lease that has not expired. */
  boolean leased() {
    return state == JobState.LEASED || state == JobState.STARTED;
  }

  /** When it may have run for the first time, given that its last lease may have led to a run. */
  double possiblyRunSinceMillis() {
    return possibleRun.map(PossibleRun::sinceMillis).orElse(leasedAtMillis);
  }
}
