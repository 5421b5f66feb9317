package ferngrade.node;

import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Manages all timers of a node on its {@link Clock}. {@link #run} runs the timers that are due; the
 * {@link Waker} schedules its calls.
 */
public final class Timers {
  private final Clock clock;
  private final Waker waker;
  private DelayListener delayListener = delay -> {};
  private final NavigableSet<Timer> queue = new TreeSet<>();
  private long sequence;
  private double wakeAt = Double.POSITIVE_INFINITY;

  /** Schedules wake-ups on the node's thread. */
  @FunctionalInterface
  public interface Waker {
    /**
     * Calls {@code run} after this many milliseconds. Earlier requests are not replaced; each one
     * runs when it is due.
     */
    void wakeAfter(double millis, Runnable run);
  }

  /** Receives the delays of timers. */
  @FunctionalInterface
  public interface DelayListener {
    /** Called before timers run; the earliest of them was due {@code millis} ms ago. */
    void delayed(double millis);
  }

  /** A timer that can be cancelled. */
  public final class Timer implements Comparable<Timer> {
    private final double due;
    private final long order = sequence++;
    private final Runnable task;

    private Timer(double due, Runnable task) {
      this.due = due;
      this.task = task;
    }

    /** Cancels the timer; has no effect once the timer has run. */
    public void cancel() {
      queue.remove(this);
    }

    @Override
    public int compareTo(Timer other) {
      int byDueTime = Double.compare(due, other.due);
      return byDueTime != 0 ? byDueTime : Long.compare(order, other.order);
    }
  }

  /** Creates timers on this clock, which {@code waker} wakes up. */
  public Timers(Clock clock, Waker waker) {
    this.clock = clock;
    this.waker = waker;
  }

  /** Sets the listener for the delays of timers. */
  public void onDelay(DelayListener listener) {
    delayListener = listener;
  }

  /**
   * Runs the task after this many milliseconds. If the number is not positive, the next call of
   * {@link #run} runs the task.
   */
  public Timer after(double millis, Runnable task) {
    Timer timer = new Timer(clock.now() + Math.max(0, millis), task);
    queue.add(timer);
    scheduleWakeUp();
    return timer;
  }

  /**
   * Runs all tasks that are due. A task that is scheduled meanwhile waits for the next call, so
   * that this call terminates.
   */
  public void run() {
    wakeAt = Double.POSITIVE_INFINITY;
    double now = clock.now();
    if (!queue.isEmpty() && queue.first().due <= now) {
      delayListener.delayed(now - queue.first().due);
    }
    long firstNewOrder = sequence;
    try {
      while (!queue.isEmpty() && queue.first().due <= now && queue.first().order < firstNewOrder) {
        queue.pollFirst().task.run();
      }
    } finally {
      // If a task throws, a wake-up for the remaining timers is still needed.
      scheduleWakeUp();
    }
  }

  private void scheduleWakeUp() {
    if (!queue.isEmpty() && queue.first().due < wakeAt) {
      double wakeTime = queue.first().due;
      wakeAt = wakeTime;
      waker.wakeAfter(Math.max(0, wakeTime - clock.now()), () -> onWakeUp(wakeTime));
    }
  }

  /**
   * Runs the timers unless an earlier wake-up has replaced this one. If every wake-up scheduled the
   * next one, their number would grow with every timer that is due before all others, and would
   * never decrease.
   */
  private void onWakeUp(double wakeTime) {
    if (wakeTime == wakeAt) {
      run();
    }
  }
}
