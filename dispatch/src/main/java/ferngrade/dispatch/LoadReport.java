package ferngrade.dispatch;

/**
 * A worker's load report, NaN where a value is not reported: {@code queued} requests wait, {@code
 * held} wait or run, from all dispatchers.
 */
public record LoadReport(double freeSlots, double freeMemory, double queued, double held) {
  /** No report came with the event. */
  public static final LoadReport NONE =
      new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

  /** No worker is so large; a figure beyond it, or below 0, is none. */
  private static final double MOST = 1e6;

  public LoadReport {
    freeSlots = figure(freeSlots);
    freeMemory = figure(freeMemory);
    queued = figure(queued);
    held = figure(held);
  }

  private static double figure(double told) {
    return told >= 0 && told <= MOST ? told : Double.NaN;
  }
}
