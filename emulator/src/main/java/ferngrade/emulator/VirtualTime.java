package ferngrade.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A virtual clock that advances from event to event. Events at the same time run in the order in
 * which they were scheduled, so that a run is deterministic.
 *
 * <p>Most events are deadlines, which are scheduled far ahead and usually cancelled before they are
 * due. They are kept unsorted in buckets, and a bucket is sorted only when the clock reaches it.
 * This is a simple calendar queue (Brown, 1988).
 */
public final class VirtualTime implements Scheduler {
  private static final double BUCKET_MILLIS = 16;
  private static final int BUCKET_COUNT = 2048;

  private final PriorityQueue<Event> near = new PriorityQueue<>(256);
  private final List<List<Event>> far = new ArrayList<>(BUCKET_COUNT);
  private int farEventCount;

  /**
   * The index, counted from time 0, of the first bucket that has not been moved to the near queue.
   */
  private long firstFarBucket;

  private double now;
  private long order;
  private long eventCount;

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
      // A cancelled event stays in its queue until it is due, because its removal would cost more
      // time than the saved memory is worth.
      task = null;
    }
  }

  /** Creates a clock that starts at {@code start} ms. */
  public VirtualTime(double start) {
    this.now = start;
    this.firstFarBucket = (long) Math.floor(start / BUCKET_MILLIS) + 1;
    for (int i = 0; i < BUCKET_COUNT; i++) {
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
      throw new IllegalArgumentException("the delay is NaN");
    }
    Event event = new Event(now + Math.max(0, millis), order++, task);
    long bucket = (long) Math.floor(event.at / BUCKET_MILLIS);
    if (bucket < firstFarBucket || bucket >= firstFarBucket + BUCKET_COUNT) {
      near.add(event);
    } else {
      far.get((int) (bucket % BUCKET_COUNT)).add(event);
      farEventCount++;
    }
    return event;
  }

  /** Runs all events up to and including time {@code until}, and sets the clock to it. */
  public void run(double until) {
    while (true) {
      while (farEventCount > 0
          && (near.isEmpty() || near.peek().at >= firstFarBucket * BUCKET_MILLIS)) {
        moveNextBucketToNear();
      }
      if (near.isEmpty() || near.peek().at > until) {
        break;
      }
      Event event = near.poll();
      now = event.at;
      if (event.task != null) {
        Runnable task = event.task;
        event.task = null;
        eventCount++;
        task.run();
      }
    }
    now = Math.max(now, until);
  }

  private void moveNextBucketToNear() {
    List<Event> bucket = far.get((int) (firstFarBucket++ % BUCKET_COUNT));
    farEventCount -= bucket.size();
    for (Event event : bucket) {
      if (event.task != null) {
        near.add(event);
      }
    }
    bucket.clear();
  }

  /** Returns the number of events that have run. */
  public long eventCount() {
    return eventCount;
  }
}
