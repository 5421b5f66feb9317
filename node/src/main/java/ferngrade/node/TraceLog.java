package ferngrade.node;

/**
 * Writes traces of requests to the log at a limited rate. After a second in which traces were
 * dropped, the next trace is preceded by a line with their number. Confined to the event loop's
 * thread.
 */
final class TraceLog {
  private static final int MAX_TRACES_PER_SECOND = 4;
  private static final double SECOND_MILLIS = 1000;

  private final Clock clock;
  private final RateLimitedLog log;
  private double secondStart = Double.NEGATIVE_INFINITY;
  private int traces;
  private int dropped;

  TraceLog(Clock clock, RateLimitedLog log) {
    this.clock = clock;
    this.log = log;
  }

  /** Writes the trace of a request, unless the limit of the current second is reached. */
  void write(PendingRequest request, String occasion) {
    double now = clock.now();
    if (now - secondStart >= SECOND_MILLIS) {
      startSecond(now);
    }
    if (traces++ < MAX_TRACES_PER_SECOND) {
      log.line(RequestTrace.describe(request, occasion, now));
    } else {
      dropped++;
    }
  }

  private void startSecond(double now) {
    if (dropped > 0) {
      log.line(dropped + " request traces dropped by the rate limit");
    }
    secondStart = now;
    traces = 0;
    dropped = 0;
  }
}
