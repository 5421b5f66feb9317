package ferngrade.server;

import ferngrade.node.Clock;
import ferngrade.node.Timers;

/**
 * Knows when the process was last held up, by the machine or by a long turn of its own: a timer
 * that runs at short intervals leaves a gap then. A signal that is noticed behind a gap may have
 * come at its beginning, since a process that does not run notices nothing. Belongs to the event
 * loop.
 */
final class PauseDetector {
  /** The interval of the timer, ms: what a signal's time may be wrong by. */
  static final double INTERVAL = 100;

  /** How late the timer may be without the process having been held up, ms. */
  private static final double TOLERANCE = 20;

  /**
   * How long behind the end of a gap a signal may be noticed that came within it, ms: the runtime
   * starts threads for that, which wait for a processor like the loop.
   */
  private static final double SIGNAL_DELAY = 250;

  /** The most by which a signal may be taken to have come before it was noticed, ms. */
  private static final double MAX_UNCERTAINTY = 1000;

  private final Clock clock;
  private final Timers timers;
  private double lastRun;
  private double pauseBegan = Double.NaN;
  private double pauseEnded = Double.NEGATIVE_INFINITY;

  PauseDetector(Clock clock, Timers timers) {
    this.clock = clock;
    this.timers = timers;
    this.lastRun = clock.now();
  }

  /** Begins to look for gaps; it goes on from there by itself. */
  void start() {
    look();
    timers.after(INTERVAL, this::start);
  }

  /** The earliest time at which a signal that was noticed at {@code noticed} may have come, ms. */
  double earliestSignal(double noticed) {
    look();
    boolean behindPause = noticed - pauseEnded <= SIGNAL_DELAY && pauseBegan < noticed;
    return behindPause ? Math.max(pauseBegan, noticed - MAX_UNCERTAINTY) : noticed;
  }

  private void look() {
    double now = clock.now();
    if (now - lastRun > INTERVAL + TOLERANCE) {
      // Of two gaps with hardly any time to run between them, a signal may wait for the second's
      // end.
      pauseBegan = lastRun - pauseEnded <= TOLERANCE ? pauseBegan : lastRun;
      pauseEnded = now;
    }
    lastRun = now;
  }
}
