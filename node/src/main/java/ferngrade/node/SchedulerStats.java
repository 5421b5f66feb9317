package ferngrade.node;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * The operating system's scheduler statistics for the calling thread since it started, in ms: how
 * long the thread ran, and how long it was runnable without a processor. Read from {@code
 * /proc/thread-self/schedstat}.
 */
record SchedulerStats(double ran, double waitedForProcessor) {
  /** The value used if the system provides no statistics. */
  static final SchedulerStats UNKNOWN = new SchedulerStats(Double.NaN, Double.NaN);

  private static final String PATH = "/proc/thread-self/schedstat";
  private static final int MAX_BYTES = 128;
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Reads the current values for the calling thread; returns {@link #UNKNOWN} if they are
   * unavailable.
   */
  static SchedulerStats read() {
    try (FileInputStream file = new FileInputStream(PATH)) {
      String[] fields =
          new String(file.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII).strip().split(" ", -1);
      return fields.length < 2
          ? UNKNOWN
          : new SchedulerStats(
              Long.parseLong(fields[0]) / NANOS_PER_MILLI,
              Long.parseLong(fields[1]) / NANOS_PER_MILLI);
    } catch (IOException | NumberFormatException unavailable) {
      return UNKNOWN;
    }
  }
}
