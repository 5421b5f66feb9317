package ferngrade.server;

import ferngrade.node.Clock;
import ferngrade.node.Timers;

/**
 * Detects pauses of the process, caused by the machine or by a long turn of the event loop, as gaps
 * between the runs of a short periodic timer. A signal that is detected after a gap may have
 * arrived at the beginning of the gap, since a paused process detects nothing. Used on the event
 * loop only.
 */
final class PauseDetector {
  /** The interval of the timer, in ms, which bounds the error of a signal's estimated time. */
  static final double INTERVAL_MILLIS = 100;

  /** The maximum timer delay that does not count as a pause, in ms. */
  private static final double TOLERANCE_MILLIS = 20;

  /**
   * The maximum time between the end of a gap and the detection of a signal that arrived within the
   * gap, in ms. The runtime starts threads to handle a signal, and they wait for a processor like
   * the event loop.
   */
  private static final double MAX_SIGNAL_DELAY_MILLIS = 250;

  /** The maximum time by which a signal is assumed to precede its detection, in ms. */
  private static final double MAX_UNCERTAINTY_MILLIS = 1000;

  private final Clock clock;
  private final Timers timers;
  private double lastRunAt;
  private double pauseStart = Double.NaN;
  private double pauseEnd = Double.NEGATIVE_INFINITY;

  PauseDetector(Clock clock, Timers timers) {
    this.clock = clock;
    this.timers = timers;
    this.lastRunAt = clock.now();
  }

  /** Checks for a gap and schedules the next check. */
  void start() {
    checkForGap();
    timers.after(INTERVAL_MILLIS, this::start);
  }

  /**
   * Returns the earliest time at which a signal that was detected at {@code detected} may have
   * arrived, both in ms on the clock.
   */
  double earliestSignal(double detected) {
    checkForGap();
    boolean followsPause = detected - pauseEnd <= MAX_SIGNAL_DELAY_MILLIS && pauseStart < detected;
    return followsPause ? Math.max(pauseStart, detected - MAX_UNCERTAINTY_MILLIS) : detected;
  }

  private void checkForGap() {
    double now = clock.now();
    if (now - lastRunAt > INTERVAL_MILLIS + TOLERANCE_MILLIS) {
      // If the process hardly ran between two gaps, a signal that arrived in the first gap may be
      // detected only after the second gap, so the two gaps count as one.
      pauseStart = lastRunAt - pauseEnd <= TOLERANCE_MILLIS ? pauseStart : lastRunAt;
      pauseEnd = now;
    }
    lastRunAt = now;
  }
}
