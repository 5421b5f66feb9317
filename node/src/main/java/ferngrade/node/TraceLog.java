package ferngrade.node;

/**
 * Writes traces of requests to the log, a few a second at most; the next second tells how many were
 * withheld. Belongs to the loop's thread.
 */
final class TraceLog {
  private static final int LINES_A_SECOND = 4;
  private static final double SECOND = 1000;

  private final Clock clock;
  private final RateLimitedLog log;
  private double begun = Double.NEGATIVE_INFINITY;
  private int lines;
  private int withheld;

  TraceLog(Clock clock, RateLimitedLog log) {
    this.clock = clock;
    this.log = log;
  }

  /** Writes the trace of a request, unless this second has had its share of them. */
  void write(PendingRequest request, String occasion) {
    double now = clock.now();
    if (now - begun >= SECOND) {
      startSecond(now);
    }
    if (lines++ < LINES_A_SECOND) {
      log.line(RequestTrace.describe(request, occasion, now));
    } else {
      withheld++;
    }
  }

  private void startSecond(double now) {
    if (withheld > 0) {
      log.line(withheld + " request traces withheld");
    }
    begun = now;
    lines = 0;
    withheld = 0;
  }
}
