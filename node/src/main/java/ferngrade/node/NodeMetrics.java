package ferngrade.node;

import ferngrade.dispatch.RejectionCause;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts what a node has done since it started: final answers by job class, attempts fully written
 * to workers, retries, and withheld, rejected and abandoned requests by reason. Values that exist
 * elsewhere, such as the number of requests in flight or of listed workers, are passed in when a
 * snapshot is taken instead of being counted a second time. Confined to the event loop's thread.
 */
public final class NodeMetrics {
  private long[] served = new long[0];
  private long[] refused = new long[0];
  private long[] failed = new long[0];
  private long attempts;
  private long retries;
  private long abandoned;
  private final Map<WithheldReason, Long> withheld = new EnumMap<>(WithheldReason.class);
  private final Map<RejectionReason, Long> rejected = new EnumMap<>(RejectionReason.class);
  private final Map<RejectionCause, Long> rejectedFor = new EnumMap<>(RejectionCause.class);

  /**
   * The metrics at one moment. {@code inFlight} is the number of accepted jobs without a final
   * answer, {@code known} the number of listed workers, {@code excluded} the number of listed
   * workers that the dispatcher avoids at present, {@code retries} the number of attempts that were
   * not the first of their request, and {@code abandoned} the number of requests whose client
   * disconnected. Reasons that have not occurred have no entry.
   */
  public record Snapshot(
      long[] served,
      long[] refused,
      long[] failed,
      long attempts,
      int inFlight,
      int known,
      int excluded,
      long retries,
      long abandoned,
      Map<WithheldReason, Long> withheld,
      Map<RejectionReason, Long> rejected,
      Map<RejectionCause, Long> rejectedFor) {
    /** Returns the number of final answers of any type. */
    long answered() {
      return Arrays.stream(served).sum()
          + Arrays.stream(refused).sum()
          + Arrays.stream(failed).sum();
    }
  }

  void served(int jobClass) {
    served = incremented(served, jobClass);
  }

  void rejected(int jobClass, RejectionReason reason) {
    refused = incremented(refused, jobClass);
    rejected.merge(reason, 1L, Long::sum);
  }

  void failed(int jobClass) {
    failed = incremented(failed, jobClass);
  }

  /** Counts a request that the dispatcher rejects for this cause. */
  void rejectedFor(RejectionCause cause) {
    rejectedFor.merge(cause, 1L, Long::sum);
  }

  /**
   * Counts an attempt that was fully written; {@code number} is its index among the attempts of its
   * request, from 0.
   */
  void attempt(int number) {
    attempts++;
    retries += number > 0 ? 1 : 0;
  }

  void withheld(WithheldReason reason) {
    withheld.merge(reason, 1L, Long::sum);
  }

  void abandoned() {
    abandoned++;
  }

  private static long[] incremented(long[] counts, int jobClass) {
    long[] grown = jobClass < counts.length ? counts : Arrays.copyOf(counts, jobClass + 1);
    grown[jobClass]++;
    return grown;
  }

  Snapshot snapshot(int inFlight, int known, int excluded) {
    return new Snapshot(
        served.clone(),
        refused.clone(),
        failed.clone(),
        attempts,
        inFlight,
        known,
        excluded,
        retries,
        abandoned,
        Map.copyOf(withheld),
        Map.copyOf(rejected),
        Map.copyOf(rejectedFor));
  }
}
