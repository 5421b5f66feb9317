package ferngrade.dispatch;

/**
 * A worker's load report. A value is NaN if it is not reported.
 *
 * @param freeSlots number of free slots
 * @param freeMemory free memory
 * @param queued number of requests that wait, from all dispatchers
 * @param jobs number of requests that wait or run, from all dispatchers
 */
public record LoadReport(double freeSlots, double freeMemory, double queued, double jobs) {
  /** Stands for an event without a report. */
  public static final LoadReport NONE =
      new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

  /**
   * Upper bound of valid values, which exceeds the size of any worker. A larger or negative value
   * counts as not reported.
   */
  private static final double MAX_VALID_VALUE = 1e6;

  public LoadReport {
    freeSlots = validOrNaN(freeSlots);
    freeMemory = validOrNaN(freeMemory);
    queued = validOrNaN(queued);
    jobs = validOrNaN(jobs);
  }

  private static double validOrNaN(double reported) {
    return reported >= 0 && reported <= MAX_VALID_VALUE ? reported : Double.NaN;
  }
}
