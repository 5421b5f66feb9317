package ferngrade.emulator;

import ferngrade.node.Clock;

/**
 * Provides the current time and delayed execution. The emulated components use no other source of
 * time, so that they run both in virtual time and on the machine's clock.
 */
public interface Scheduler extends Clock {
  /**
   * Runs the task in {@code millis} ms. Tasks with a delay of 0 or less run in the order of the
   * calls.
   */
  Handle after(double millis, Runnable task);

  /** A scheduled task. */
  interface Handle {
    /** Cancels the task; has no effect once it has run. */
    void cancel();
  }
}
