package ferngrade.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * The guard where effects land: it lets nothing through whose epoch is older than one that it has
 * seen for the same shard. Whoever takes effects keeps one, for as long as an old owner could still
 * send.
 */
public final class FencingGuard {
  private final Map<String, Long> highest = new HashMap<>();

  /** Whether an effect under this epoch may land; from then on no older one may. */
  public boolean admits(String shard, long epoch) {
    return highest.merge(shard, epoch, Math::max) == epoch;
  }
}
