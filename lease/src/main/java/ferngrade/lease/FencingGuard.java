package ferngrade.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Rejects effects whose epoch is older than the highest epoch seen for the same shard (fencing).
 * Each receiver of effects keeps a guard for as long as a former owner could still send.
 */
public final class FencingGuard {
  private final Map<String, Long> highestEpochs = new HashMap<>();

  /**
   * Returns whether an effect under this epoch is admitted; from then on, older epochs of the shard
   * are rejected.
   */
  public boolean admits(String shard, long epoch) {
    return highestEpochs.merge(shard, epoch, Math::max) == epoch;
  }
}
