package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.util.Arrays;
import java.util.Objects;

/**
 * An event in the life of a job as the log stores it. Records replayed in order reproduce the state
 * of the jobs. Times are milliseconds since 1970 on the wall clock of the node that wrote them.
 */
public sealed interface LogRecord {
  /** The id of the job; empty if the record concerns no single job. */
  String id();

  /**
   * A client's job was accepted. {@code attempts} is the number of leases that the job had before
   * this record, as a snapshot records it.
   */
  record Accepted(
      String id,
      Idempotency idempotency,
      String idempotencyKey,
      double windowMillis,
      int attempts,
      double atMillis,
      byte[] payload)
      implements LogRecord {
    @Override
    public boolean equals(Object other) {
      return other instanceof Accepted that
          && id.equals(that.id)
          && idempotency == that.idempotency
          && idempotencyKey.equals(that.idempotencyKey)
          && windowMillis == that.windowMillis
          && attempts == that.attempts
          && atMillis == that.atMillis
          && Arrays.equals(payload, that.payload);
    }

    @Override
    public int hashCode() {
      return Objects.hash(id, idempotency, idempotencyKey, atMillis);
    }
  }

  /** A worker was granted a lease; the token is larger than all earlier ones. */
  record Leased(String id, String worker, long token, double atMillis) implements LogRecord {}

  /**
   * The worker that holds the token has started the job; {@code sinceMillis} is the earliest time
   * at which the job may have run.
   */
  record Started(String id, long token, double sinceMillis) implements LogRecord {}

  /**
   * The job is back in the queue and must not be leased before {@code notBeforeMillis}; {@code
   * unstarted} is true if its worker reported that it never started the job.
   */
  record Returned(String id, long token, boolean unstarted, double notBeforeMillis)
      implements LogRecord {}

  /**
   * It is unknown whether the job has run; {@code sinceMillis} is the earliest time at which it may
   * have run.
   */
  record Doubted(String id, long token, double sinceMillis) implements LogRecord {}

  /** The job has ended with a result, or with the reason of its failure. */
  record Ended(String id, long token, boolean done, String result, double atMillis)
      implements LogRecord {}

  /** The job and its result were discarded. */
  record Forgotten(String id) implements LogRecord {}

  /** Tokens up to {@code highest} must not be granted again. */
  record Tokens(long highest) implements LogRecord {
    @Override
    public String id() {
      return "";
    }
  }
}
