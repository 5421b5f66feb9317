package ferngrade.emulator.invariant;

import ferngrade.emulator.EmulatedWorker;

/** Checks that nodes do not overload a worker that they know to be cold. */
public final class SlowStartChecker extends InvariantChecker {
  /**
   * A crash counts as a violation only if at least this share of the work came from informed nodes.
   */
  private static final double MIN_VIOLATING_SHARE = 2.0 / 3;

  private long crashedWorkers;

  /** Creates a checker without violations. */
  public SlowStartChecker() {
    super("cold-start");
  }

  @Override
  public void coldWorkerCrashed(double now, EmulatedWorker worker, double informedShare) {
    crashedWorkers++;
    if (informedShare >= MIN_VIOLATING_SHARE) {
      reportViolation(
          now,
          worker
              + " crashed from overload while cold, "
              + Math.round(100 * informedShare)
              + " % of the work came from nodes that knew it was cold");
    }
  }

  /**
   * Returns the number of all workers that crashed from overload while cold, including crashes that
   * are not violations.
   */
  public long crashedWorkers() {
    return crashedWorkers;
  }
}
