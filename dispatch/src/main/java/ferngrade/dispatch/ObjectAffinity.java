package ferngrade.dispatch;

import java.util.LinkedHashMap;
import java.util.SplittableRandom;

/**
 * Tracks the objects that a worker is expected to have cached, which are those used by the last
 * jobs from this dispatcher. If an object must be fetched, all dispatchers prefer the same worker,
 * so that jobs that need it share one copy.
 */
final class ObjectAffinity {
  /**
   * Number of objects cached per slot: each fetch adds one, and most workers cache no more objects
   * than they run jobs.
   */
  private static final double CACHED_OBJECTS_PER_SLOT = 0.85;

  /**
   * Maximum discount, as a fraction of the cost of a fetch, at the worker that all dispatchers
   * prefer; a larger discount would overload that worker.
   */
  private static final double MAX_PREFERENCE_DISCOUNT = 0.1;

  private final LinkedHashMap<Long, Boolean> cached = new LinkedHashMap<>(8, 0.75f, true);

  /**
   * Records that a job is sent to the worker, which has {@code slots} slots. {@code object} is the
   * object that the job needs, or 0 if it needs none.
   */
  void recordUse(long object, double slots) {
    if (object != 0) {
      cached.put(object, true);
      if (cached.size() > Math.max(1, Math.round(CACHED_OBJECTS_PER_SLOT * slots))) {
        cached.remove(cached.keySet().iterator().next());
      }
    }
  }

  /**
   * Returns the fraction of the cost of a fetch that applies at this worker: 0 if the object is
   * cached or none is needed, otherwise 1 minus a discount that all dispatchers compute alike.
   */
  double fetchFraction(long object, long workerId) {
    if (object == 0 || cached.containsKey(object)) {
      return 0;
    }
    return 1
        - MAX_PREFERENCE_DISCOUNT
            * new SplittableRandom(object ^ Long.rotateLeft(workerId, 32)).nextDouble();
  }
}
