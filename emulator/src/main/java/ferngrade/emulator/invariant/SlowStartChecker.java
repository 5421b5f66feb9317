package ferngrade.emulator.invariant;

import ferngrade.emulator.EmulatedWorker;

/** No cold worker is pushed over by work from nodes that knew it was cold. */
public final class SlowStartChecker extends InvariantChecker {
  private static final double BLAMED = 2.0 / 3;

  private long fallen;

  /** A judge that has seen nothing yet. */
  public SlowStartChecker() {
    super("cold-start");
  }

  @Override
  public void fell(double now, EmulatedWorker worker, double informedShare) {
    fallen++;
    if (informedShare >= BLAMED) {
      breach(
          now,
          worker
              + " was pushed over while cold, "
              + Math.round(100 * informedShare)
              + " % of it by nodes that knew");
    }
  }

  /** All workers that fell, whoever was to blame. */
  public long fallen() {
    return fallen;
  }
}
