package ferngrade.dispatch;

import java.util.LinkedHashMap;
import java.util.SplittableRandom;

/**
 * The objects that a worker is thought to have cached: those that the last jobs from here needed.
 * Where an object must be fetched, all dispatchers prefer the same worker for it, so that their
 * jobs meet there.
 */
final class ObjectAffinity {
  /**
   * Objects cached for each slot: each fetch brings one, and few workers cache more than they run
   * jobs.
   */
  private static final double CACHED_PER_SLOT = 0.85;

  /** What is taken off a fetch at most at the worker that all prefer; more would crowd it. */
  private static final double PREFERENCE = 0.1;

  private final LinkedHashMap<Long, Boolean> cached = new LinkedHashMap<>(8, 0.75f, true);

  /** A job goes to the worker, which has this many slots; {@code object} is 0 if it needs none. */
  void use(long object, double slots) {
    if (object != 0) {
      cached.put(object, true);
      if (cached.size() > Math.max(1, Math.round(CACHED_PER_SLOT * slots))) {
        cached.remove(cached.keySet().iterator().next());
      }
    }
  }

  /** The part of a fetch that a job has to wait for at this worker. */
  double missing(long object, long worker) {
    if (object == 0 || cached.containsKey(object)) {
      return 0;
    }
    return 1 - PREFERENCE * new SplittableRandom(object ^ Long.rotateLeft(worker, 32)).nextDouble();
  }
}
