package ferngrade.emulator;

import ferngrade.node.Clock;

/**
 * Time as a model knows it: it can be read, and a task can be put off. The emulated parties know
 * nothing else of time, so that the same model runs in virtual time and on a machine's clock.
 */
public interface Scheduler extends Clock {
  /**
   * Runs the task {@code millis} from now, at once in the order of the calls if that is 0 or less.
   */
  Handle after(double millis, Runnable task);

  /** One task put off. */
  interface Handle {
    /** Calls the task off; no effect once it has run. */
    void cancel();
  }
}
