package ferngrade.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The operators' log, limited in rate so that no flood of bad input can fill it: one line a second
 * of each kind that others can bring about, and a bound on all lines together. Lines that tell of a
 * loss have a bound of their own, so that no others keep them out.
 */
public final class RateLimitedLog {
  private static final int LINES_A_SECOND = 20;
  private static final int LOSSES_A_SECOND = 50;

  private final Clock clock;
  private final Consumer<String> out;

  /** The lines asked for in this second, by kind. */
  private final Map<String, Integer> kinds = new HashMap<>();

  private double second = Double.NEGATIVE_INFINITY;
  private int lines;
  private int dropped;
  private int losses;

  /** A log that hands its lines to {@code out}. */
  public RateLimitedLog(Clock clock, Consumer<String> out) {
    this.clock = clock;
    this.out = out;
  }

  /** Writes one line, unless this second has had its share of them. */
  public void line(String text) {
    turn();
    if (lines++ < LINES_A_SECOND) {
      out.accept(text);
    } else {
      dropped++;
    }
  }

  /** Writes one line, unless this second has had one of that kind, a short fixed name. */
  public void line(String kind, String text) {
    turn();
    if (kinds.merge(kind, 1, Integer::sum) == 1) {
      line(text);
    } else {
      dropped++;
    }
  }

  /** Writes one line that tells of something lost, whatever other lines this second has had. */
  public void loss(String text) {
    turn();
    if (losses++ < LOSSES_A_SECOND) {
      out.accept(text);
    }
  }

  private void turn() {
    double now = clock.now();
    if (now - second >= 1000) {
      if (dropped > 0) {
        out.accept(dropped + " lines left out");
      }
      if (losses > LOSSES_A_SECOND) {
        out.accept((losses - LOSSES_A_SECOND) + " lines that tell of losses left out");
      }
      second = now;
      kinds.clear();
      lines = 0;
      dropped = 0;
      losses = 0;
    }
  }
}
