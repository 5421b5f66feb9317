package ferngrade.dispatch;

import java.util.LinkedHashMap;
import java.util.SplittableRandom;

/**
 * The objects that a worker is thought to have at hand: those that the last jobs from here needed.
 * Where an object must be fetched, all dispatchers lean to the same worker for it, so that their
 * jobs meet there.
 */
final class ObjectAffinity {
  /**
   * Objects kept for each slot: each fetch brings one, and few workers keep more than they run
   * jobs.
   */
  private static final double KEPT = 0.85;

  /** What is taken off a fetch at most at the worker that all lean to; more would crowd it. */
  private static final double LEANING = 0.1;

  private final LinkedHashMap<Long, Boolean> kept = new LinkedHashMap<>(8, 0.75f, true);

  /** A job goes to the worker, which has this many slots; {@code object} is 0 if it needs none. */
  void use(long object, double slots) {
    if (object != 0) {
      kept.put(object, true);
      if (kept.size() > Math.max(1, Math.round(KEPT * slots))) {
        kept.remove(kept.keySet().iterator().next());
      }
    }
  }

  /** The part of a fetch that a job has to wait for at this worker. */
  double missing(long object, long worker) {
    if (object == 0 || kept.containsKey(object)) {
      return 0;
    }
    return 1 - LEANING * new SplittableRandom(object ^ Long.rotateLeft(worker, 32)).nextDouble();
  }
}
