package ferngrade.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Writes the operators' log at a limited rate, so that a flood of bad input cannot fill the log:
 * one line per second for each category of message that clients or peers can trigger, and a limit
 * on all lines together. Lines that report a loss have a separate limit, so that other lines cannot
 * displace them.
 */
public final class RateLimitedLog {
  private static final int MAX_LINES_PER_SECOND = 20;
  private static final int MAX_LOSSES_PER_SECOND = 50;

  private final Clock clock;
  private final Consumer<String> sink;

  /** The number of lines requested in the current second, by category. */
  private final Map<String, Integer> linesByCategory = new HashMap<>();

  private double secondStart = Double.NEGATIVE_INFINITY;
  private int lines;
  private int dropped;
  private int losses;

  /** Creates a log that passes its lines to {@code sink}. */
  public RateLimitedLog(Clock clock, Consumer<String> sink) {
    this.clock = clock;
    this.sink = sink;
  }

  /** Writes one line, unless the limit of the current second is reached. */
  public void line(String text) {
    startSecondIfDue();
    if (lines++ < MAX_LINES_PER_SECOND) {
      sink.accept(text);
    } else {
      dropped++;
    }
  }

  /**
   * Writes one line, unless the current second has already had a line of this category. {@code
   * category} must be a short constant name.
   */
  public void line(String category, String text) {
    startSecondIfDue();
    if (linesByCategory.merge(category, 1, Integer::sum) == 1) {
      line(text);
    } else {
      dropped++;
    }
  }

  /** Writes one line that reports a loss; only the limit on losses applies to it. */
  public void lossLine(String text) {
    startSecondIfDue();
    if (losses++ < MAX_LOSSES_PER_SECOND) {
      sink.accept(text);
    }
  }

  private void startSecondIfDue() {
    double now = clock.now();
    if (now - secondStart >= 1000) {
      if (dropped > 0) {
        sink.accept(dropped + " log lines dropped by the rate limit");
      }
      if (losses > MAX_LOSSES_PER_SECOND) {
        sink.accept(
            (losses - MAX_LOSSES_PER_SECOND) + " log lines about losses dropped by the rate limit");
      }
      secondStart = now;
      linesByCategory.clear();
      lines = 0;
      dropped = 0;
      losses = 0;
    }
  }
}
