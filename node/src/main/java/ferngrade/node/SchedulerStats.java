package ferngrade.node;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * What the system's scheduler says of the calling thread since its start, ms: how long it ran, and
 * how long it was runnable without a processor. Source: {@code /proc/thread-self/schedstat}.
 */
record SchedulerStats(double ran, double waitedForProcessor) {
  /** Where the system tells nothing. */
  static final SchedulerStats UNKNOWN = new SchedulerStats(Double.NaN, Double.NaN);

  private static final String FILE = "/proc/thread-self/schedstat";
  private static final int MAX_BYTES = 128;
  private static final double NANOS_PER_MS = 1e6;

  /** Reads the present values for the calling thread; {@link #UNKNOWN} if there are none. */
  static SchedulerStats read() {
    try (FileInputStream file = new FileInputStream(FILE)) {
      String[] words =
          new String(file.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII).strip().split(" ", -1);
      return words.length < 2
          ? UNKNOWN
          : new SchedulerStats(
              Long.parseLong(words[0]) / NANOS_PER_MS, Long.parseLong(words[1]) / NANOS_PER_MS);
    } catch (IOException | NumberFormatException absent) {
      return UNKNOWN;
    }
  }
}
