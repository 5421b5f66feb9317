package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;

/** A durable job as the ledger has it. Only {@link JobTable} changes it. */
public final class Job {
  private final LogRecord.Accepted accepted;
  JobState state = JobState.ACCEPTED;
  String worker = "";
  long token;
  int leases;

  /**
   * When its lease runs out unless a heartbeat comes; by the monotonic clock of this process, so
   * never stored.
   */
  double leaseEnds = Double.POSITIVE_INFINITY;

  double notBefore = Double.NEGATIVE_INFINITY;

  /** When its last lease was given. */
  double leasedAt = Double.NaN;

  /**
   * When the first lease was given that may have led to a run, NaN for none, and that lease's
   * token.
   */
  double firstDoubtfulAt = Double.NaN;

  long doubtfulToken;
  String result = "";
  double endedAt;

  Job(LogRecord.Accepted accepted) {
    this.accepted = accepted;
    this.leases = accepted.attempts();
  }

  public String id() {
    return accepted.id();
  }

  public Idempotency effect() {
    return accepted.effect();
  }

  LogRecord.Accepted accepted() {
    return accepted;
  }

  public byte[] payload() {
    return accepted.payload().clone();
  }

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

  /** The time before which it is not to be leased. */
  public double notBefore() {
    return notBefore;
  }

  /** Its result, or the reason why it failed; empty before its end. */
  public String result() {
    return result;
  }

  public double endedAt() {
    return endedAt;
  }
}
