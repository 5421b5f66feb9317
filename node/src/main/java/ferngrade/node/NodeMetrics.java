package ferngrade.node;

import ferngrade.dispatch.RejectionCause;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/**
 * What a node has done since its start, as operators read it: final answers by class, and attempts
 * written whole to workers. Counted where the node does these things, once each; what is in work
 * and what is listed is not counted here but looked up when asked for, so that nothing is kept
 * twice. Retries, and what was withheld, rejected or abandoned, are counted by reason. One thread
 * owns it, the node's.
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
   * A snapshot; {@code inFlight} are jobs taken and not ended, {@code excluded} listed workers
   * avoided now, {@code retries} those of the attempts that were not their request's first, {@code
   * abandoned} requests whose client left. A reason without an entry has not occurred.
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
    /** All final answers of any kind. */
    long answered() {
      return Arrays.stream(served).sum()
          + Arrays.stream(refused).sum()
          + Arrays.stream(failed).sum();
    }
  }

  void served(int jobClass) {
    served = counted(served, jobClass);
  }

  void refused(int jobClass, RejectionReason reason) {
    refused = counted(refused, jobClass);
    rejected.merge(reason, 1L, Long::sum);
  }

  void failed(int jobClass) {
    failed = counted(failed, jobClass);
  }

  /** The dispatcher rejects a request for this cause. */
  void rejectedFor(RejectionCause cause) {
    rejectedFor.merge(cause, 1L, Long::sum);
  }

  /** An attempt was written; {@code number} counts those of its request from 0. */
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

  private static long[] counted(long[] counts, int jobClass) {
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
