package ferngrade.dispatch;

/**
 * A worker's load report, NaN where a value is not reported: {@code queued} requests wait, {@code
 * held} wait or run, from all dispatchers.
 */
public record LoadReport(double freeSlots, double freeMemory, double queued, double held) {
  /** No report came with the event. */
  public static final LoadReport NONE =
      new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

  /** No worker is so large; a figure beyond it, or below 0, counts as not reported. */
  private static final double MAX_FIGURE = 1e6;

  public LoadReport {
    freeSlots = figure(freeSlots);
    freeMemory = figure(freeMemory);
    queued = figure(queued);
    held = figure(held);
  }

  private static double figure(double reported) {
    return reported >= 0 && reported <= MAX_FIGURE ? reported : Double.NaN;
  }
}
