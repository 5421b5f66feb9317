package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.util.Arrays;
import java.util.Objects;

/**
 * An event of a job, as the log stores it. Replayed in their order, records reproduce the state
 * that they were made from. Times are milliseconds since 1970 on the wall clock of the node that
 * wrote them.
 */
public sealed interface LogRecord {
  /** The job of the event; empty if it concerns none. */
  String id();

  /**
   * A client's job was accepted. {@code attempts} counts the leases that it had before, as a
   * snapshot states them.
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

  /** A worker was given a lease; the token is larger than all before it. */
  record Leased(String id, String worker, long token, double atMillis) implements LogRecord {}

  /**
   * The worker that holds the token has started; {@code sinceMillis} is when the job may have run
   * for the first time.
   */
  record Started(String id, long token, double sinceMillis) implements LogRecord {}

  /**
   * The job waits again until {@code notBeforeMillis}; {@code unstarted} if its worker reported
   * that it never started.
   */
  record Returned(String id, long token, boolean unstarted, double notBeforeMillis)
      implements LogRecord {}

  /**
   * It is unknown whether the job has run; {@code sinceMillis} is when it may have done so for the
   * first time.
   */
  record Doubted(String id, long token, double sinceMillis) implements LogRecord {}

  /** The job has ended with a result, or with the reason why there is none. */
  record Ended(String id, long token, boolean done, String result, double atMillis)
      implements LogRecord {}

  /** The job and its result have been discarded. */
  record Forgotten(String id) implements LogRecord {}

  /** No token up to this one may be granted again. */
  record Tokens(long highest) implements LogRecord {
    @Override
    public String id() {
      return "";
    }
  }
}
