package ferngrade.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Time that passes only by what happens in it: a queue of events, the earliest first. Events at the
 * same instant run in the order in which they were put off, so that a run depends on nothing but
 * its inputs.
 *
 * <p>Most events are far off and are called off before their time: deadlines. They lie unsorted in
 * buckets, and only those of the bucket whose time has come are sorted, a calendar queue in its
 * plainest form (Brown, 1988).
 */
public final class VirtualTime implements Scheduler {
  private static final double BUCKET = 16;
  private static final int BUCKETS = 2048;

  private final PriorityQueue<Event> near = new PriorityQueue<>(256);
  private final List<List<Event>> far = new ArrayList<>(BUCKETS);
  private int inFar;

  /** The first bucket, counted from time 0, that has not been moved to the near ones. */
  private long edge;

  private double now;
  private long order;
  private long ran;

  private static final class Event implements Handle, Comparable<Event> {
    final double at;
    final long order;
    Runnable task;

    Event(double at, long order, Runnable task) {
      this.at = at;
      this.order = order;
      this.task = task;
    }

    @Override
    public int compareTo(Event other) {
      return at < other.at ? -1 : at > other.at ? 1 : Long.compare(order, other.order);
    }

    @Override
    public void cancel() {
      // It stays where it lies until its time; taking it out of the middle would cost more than the
      // place.
      task = null;
    }
  }

  /** Time that begins at {@code start} ms. */
  public VirtualTime(double start) {
    this.now = start;
    this.edge = (long) Math.floor(start / BUCKET) + 1;
    for (int i = 0; i < BUCKETS; i++) {
      far.add(new ArrayList<>());
    }
  }

  @Override
  public double now() {
    return now;
  }

  @Override
  public Handle after(double millis, Runnable task) {
    if (Double.isNaN(millis)) {
      throw new IllegalArgumentException("a delay that is not a number");
    }
    Event event = new Event(now + Math.max(0, millis), order++, task);
    long bucket = (long) Math.floor(event.at / BUCKET);
    if (bucket < edge || bucket >= edge + BUCKETS) {
      near.add(event);
    } else {
      far.get((int) (bucket % BUCKETS)).add(event);
      inFar++;
    }
    return event;
  }

  /** Runs everything up to and including {@code until}, which is the time when this returns. */
  public void run(double until) {
    while (true) {
      while (inFar > 0 && (near.isEmpty() || near.peek().at >= edge * BUCKET)) {
        bringNear();
      }
      if (near.isEmpty() || near.peek().at > until) {
        break;
      }
      Event event = near.poll();
      now = event.at;
      if (event.task != null) {
        Runnable task = event.task;
        event.task = null;
        ran++;
        task.run();
      }
    }
    now = Math.max(now, until);
  }

  private void bringNear() {
    List<Event> bucket = far.get((int) (edge++ % BUCKETS));
    inFar -= bucket.size();
    for (Event event : bucket) {
      if (event.task != null) {
        near.add(event);
      }
    }
    bucket.clear();
  }

  /** The events that have run so far. */
  public long ran() {
    return ran;
  }
}
