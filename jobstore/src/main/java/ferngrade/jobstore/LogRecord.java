package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.util.Arrays;
import java.util.Objects;

/**
 * One thing that happened to a job, as the log keeps it. Replayed in their order, entries give the
 * state that they were made from. Times are milliseconds since 1970 on the clock of the node that
 * wrote them.
 */
public sealed interface LogRecord {
  /** The job that it is about; empty where it is about none. */
  String id();

  /**
   * A client's job was taken. {@code attempts} counts the leases that it had before, for one that
   * is requeued.
   */
  record Accepted(
      String id,
      Idempotency effect,
      String key,
      double window,
      int attempts,
      double at,
      byte[] payload)
      implements LogRecord {
    @Override
    public boolean equals(Object other) {
      return other instanceof Accepted that
          && id.equals(that.id)
          && effect == that.effect
          && key.equals(that.key)
          && window == that.window
          && attempts == that.attempts
          && at == that.at
          && Arrays.equals(payload, that.payload);
    }

    @Override
    public int hashCode() {
      return Objects.hash(id, effect, key, at);
    }
  }

  /** A worker was given a lease; the token is larger than all before it. */
  record Leased(String id, String worker, long token, double at) implements LogRecord {}

  /**
   * The worker that holds the token has begun; {@code since} is when it may have run for the first
   * time.
   */
  record Started(String id, long token, double since) implements LogRecord {}

  /**
   * The job waits again until {@code notBefore}; {@code unstarted}: its worker says that it never
   * began.
   */
  record Returned(String id, long token, boolean unstarted, double notBefore)
      implements LogRecord {}

  /**
   * Nobody knows whether the job has run; {@code since} is when it may have done so for the first
   * time.
   */
  record Doubted(String id, long token, double since) implements LogRecord {}

  /** The job has its final answer: a result, or the reason why there is none. */
  record Ended(String id, long token, boolean done, String result, double at)
      implements LogRecord {}

  /** The job's answer is kept no longer. */
  record Forgotten(String id) implements LogRecord {}

  /** No token up to this one may be given out again. */
  record Tokens(long highest) implements LogRecord {
    @Override
    public String id() {
      return "";
    }
  }
}
