package ferngrade.node;

import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * All timers of a node, on its {@link Clock}. Something outside calls {@link #run} when the next is
 * due.
 */
public final class Timers {
  private final Clock clock;
  private final Waker waker;
  private DelayListener delays = delay -> {};
  private final NavigableSet<Timer> queue = new TreeSet<>();
  private long sequence;
  private double wakeAt = Double.POSITIVE_INFINITY;

  /** Calls back later, on the node's thread. */
  @FunctionalInterface
  public interface Waker {
    /** Runs this after so many milliseconds; what was asked for before is run too, in its time. */
    void wakeAfter(double millis, Runnable run);
  }

  /** Is notified how late timers run. */
  @FunctionalInterface
  public interface DelayListener {
    /** The earliest of the timers that run now was due so many ms ago. */
    void delayed(double millis);
  }

  /** One timer, which can be called off. */
  public final class Timer implements Comparable<Timer> {
    private final double due;
    private final long order = sequence++;
    private final Runnable task;

    private Timer(double due, Runnable task) {
      this.due = due;
      this.task = task;
    }

    /** Calls the timer off; no effect once it has run. */
    public void cancel() {
      queue.remove(this);
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = Double.compare(due, other.due);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Timers on this clock, woken by {@code waker}. */
  public Timers(Clock clock, Waker waker) {
    this.clock = clock;
    this.waker = waker;
  }

  /** Sets who is notified of delays. */
  public void onDelay(DelayListener listener) {
    delays = listener;
  }

  /**
   * Runs the task after this many milliseconds, at once in the next {@link #run} if they are none.
   */
  public Timer after(double millis, Runnable task) {
    Timer timer = new Timer(clock.now() + Math.max(0, millis), task);
    queue.add(timer);
    wake();
    return timer;
  }

  /**
   * Runs everything that is due. A task set meanwhile waits for the next call, so that this one
   * ends.
   */
  public void run() {
    wakeAt = Double.POSITIVE_INFINITY;
    double now = clock.now();
    if (!queue.isEmpty() && queue.first().due <= now) {
      delays.delayed(now - queue.first().due);
    }
    long set = sequence;
    try {
      while (!queue.isEmpty() && queue.first().due <= now && queue.first().order < set) {
        queue.pollFirst().task.run();
      }
    } finally {
      // A task that throws must not leave the others without a wake-up.
      wake();
    }
  }

  private void wake() {
    if (!queue.isEmpty() && queue.first().due < wakeAt) {
      double at = queue.first().due;
      wakeAt = at;
      waker.wakeAfter(Math.max(0, at - clock.now()), () -> woken(at));
    }
  }

  /**
   * A wake-up that an earlier one has overtaken does nothing: if each of them set up the next,
   * their number would grow with every timer that is due before all others, and never fall.
   */
  private void woken(double at) {
    if (at == wakeAt) {
      run();
    }
  }
}
