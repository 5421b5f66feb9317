package ferngrade.node;

import java.util.Arrays;

/**
 * What a node has done since its start, as operators read it: final answers by class, and attempts
 * written whole to workers. Counted where the node does these things, once each; what is in work
 * and what is listed is not counted here but looked up when asked for, so that nothing is kept
 * twice. One thread owns it, the node's.
 */
public final class NodeMetrics {
  private long[] served = new long[0];
  private long[] refused = new long[0];
  private long[] failed = new long[0];
  private long attempts;

  /**
   * A snapshot; {@code inFlight} are jobs taken and not ended, {@code excluded} listed workers
   * avoided now.
   */
  public record Snapshot(
      long[] served,
      long[] refused,
      long[] failed,
      long attempts,
      int inFlight,
      int known,
      int excluded) {}

  void served(int jobClass) {
    served = counted(served, jobClass);
  }

  void refused(int jobClass) {
    refused = counted(refused, jobClass);
  }

  void failed(int jobClass) {
    failed = counted(failed, jobClass);
  }

  void attempt() {
    attempts++;
  }

  private static long[] counted(long[] counts, int jobClass) {
    long[] grown = jobClass < counts.length ? counts : Arrays.copyOf(counts, jobClass + 1);
    grown[jobClass]++;
    return grown;
  }

  Snapshot snapshot(int inFlight, int known, int excluded) {
    return new Snapshot(
        served.clone(), refused.clone(), failed.clone(), attempts, inFlight, known, excluded);
  }
}
