package ferngrade.emulator;

/**
 * Exposes the true state of the fleet, which no real dispatcher can observe. It is used by the
 * reference policy with which other policies are compared.
 */
public interface FleetState {
  /**
   * Estimates how many ms a job with this work would take if it were sent to the worker now;
   * infinite if the worker would not complete it.
   */
  double estimateCompletionTime(long worker, double work);

  /** Returns the actual work of the job, in ms on a standard core. */
  double work(String id);
}
