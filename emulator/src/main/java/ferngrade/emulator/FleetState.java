package ferngrade.emulator;

/**
 * The true state of the fleet, which no real dispatcher sees: for the policy that others are
 * measured against.
 */
public interface FleetState {
  /**
   * When a job of this work would be done if it were sent to this worker now, ms from now; infinite
   * for never.
   */
  double finishIn(long worker, double work);

  /** The work that the job truly brings, ms on a standard core. */
  double work(String id);
}
