package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts the start times of workers, which the endpoint list gives as wall clock times of the
 * workers' machines, to this process's monotonic clock. Wall clocks may be stepped, on the worker's
 * machine, on this machine or on both at once, and a start may have been recorded before or after a
 * step. The offset between this machine's two clocks is therefore measured with each list, and
 * every measured offset is a candidate for the conversion. The monotonic clock bounds the result: a
 * worker started no later than the list that contains it was received, and a worker that an earlier
 * list did not contain started no earlier than the maximum lag of a list before that list was
 * received.
 *
 * <p>The two possible errors differ in their consequences. A cold worker that is taken for a warm
 * one is overloaded and crashes, which cannot be undone; a warm worker that is taken for a cold one
 * only gets less load than it could carry for one slow start. The latest possible start is
 * therefore assumed. One error remains: a process that starts after its machine's clock was set
 * forward assumes too high an age for the cold workers of its first list.
 *
 * <p>Each start time is converted once. An incarnation of a worker is identified by its start time
 * as listed, and keeps its converted start time whatever steps follow, even while the list does not
 * contain the worker.
 *
 * <p>Reads no clock other than the one that it is given. Confined to the node's thread.
 */
final class StartTimes {
  /**
   * The minimum change of the offset between the two clocks that counts as a step, ms. The real
   * offset changes only when a clock is stepped. The measured offset also varies by the time
   * between the readings of the two clocks, which is shorter than this.
   */
  private static final double MIN_STEP_MILLIS = 200;

  /**
   * The maximum number of offsets to keep. A machine whose clock is stepped more often than that is
   * considered faulty.
   */
  private static final int MAX_OFFSETS = 8;

  /**
   * The maximum time by which a start may appear to be later than the receipt of its list, ms,
   * because the clocks of two machines differ slightly.
   */
  private static final double MAX_CLOCK_SKEW_MILLIS = 1000;

  /**
   * The maximum delay of a list change on its way to this process, ms. A worker that is missing
   * from a list and appears later has therefore started at most this long before that list was
   * received.
   */
  private static final double MAX_LIST_LAG_MILLIS = 6000;

  /**
   * The minimum number of incarnations to remember, so that workers that are temporarily missing
   * from the list keep their start time.
   */
  private static final int MIN_INCARNATIONS = 4096;

  private final Clock clock;

  /** The measured offsets, wall clock time minus monotonic time, ms; the latest first. */
  private final Deque<Double> wallOffsets = new ArrayDeque<>();

  private final Map<Long, Incarnation> incarnations = new LinkedHashMap<>(16, 0.75f, true);

  /** When discovery last sent or confirmed a list, ms on the monotonic clock; NaN before that. */
  private double lastListAt = Double.NaN;

  /**
   * A process of a worker: its start time as listed, on a wall clock, and its start time on this
   * process's monotonic clock.
   */
  private record Incarnation(double listedStart, double startedAt) {}

  StartTimes(Clock clock) {
    this.clock = clock;
    // The monotonic clock of a process starts at the wall clock time.
    wallOffsets.addFirst(0.0);
    measureOffset();
  }

  /**
   * Returns the entries of a list received now, with their start times converted to the monotonic
   * clock.
   */
  List<Endpoint> translate(EndpointListUpdate updateType, List<Endpoint> entries) {
    double now = clock.now();
    measureOffset();
    List<Endpoint> translated = new ArrayList<>(entries.size());
    for (Endpoint entry : entries) {
      translated.add(translate(entry, now));
    }
    evictOldest(Math.max(MIN_INCARNATIONS, 2 * entries.size()));
    if (updateType != EndpointListUpdate.STORED) {
      lastListAt = now;
    }
    return translated;
  }

  /** Records that discovery has just confirmed the current list. */
  void listConfirmed() {
    if (!Double.isNaN(lastListAt)) {
      lastListAt = clock.now();
    }
  }

  /**
   * Converts a time of the monotonic clock to the current wall clock, for a later process to read.
   */
  double toWall(double monotonic) {
    measureOffset();
    return monotonic + wallOffsets.peekFirst();
  }

  /**
   * Converts a wall clock time that an earlier process on this machine recorded to the monotonic
   * clock. The result is not later than now.
   */
  double toMonotonic(double wall) {
    measureOffset();
    return Math.min(clock.now(), wall - wallOffsets.peekFirst());
  }

  private void measureOffset() {
    double offset = clock.wall() - clock.now();
    if (Math.abs(offset - wallOffsets.peekFirst()) < MIN_STEP_MILLIS) {
      return;
    }
    wallOffsets.removeIf(earlier -> Math.abs(offset - earlier) < MIN_STEP_MILLIS);
    wallOffsets.addFirst(offset);
    if (wallOffsets.size() > MAX_OFFSETS) {
      wallOffsets.removeLast();
    }
  }

  private Endpoint translate(Endpoint entry, double now) {
    Worker worker = entry.worker();
    double listedStart = worker.startedAt();
    if (listedStart <= 0) {
      // The start is long past on any clock.
      return entry;
    }
    Incarnation incarnation = incarnations.get(worker.id());
    if (incarnation == null || incarnation.listedStart() != listedStart) {
      incarnation =
          new Incarnation(listedStart, distinctStart(startedAt(listedStart, now), incarnation));
      if (worker.state() != WorkerState.GONE) {
        incarnations.put(worker.id(), incarnation);
      }
    }
    return incarnation.startedAt() == listedStart
        ? entry
        : entry.startedAt(incarnation.startedAt());
  }

  /** Returns the latest start time that is consistent with the measured offsets and the bounds. */
  private double startedAt(double listedStart, double now) {
    double latestStart = Double.NEGATIVE_INFINITY;
    for (double offset : wallOffsets) {
      double start = listedStart - offset;
      if (start <= now + MAX_CLOCK_SKEW_MILLIS) {
        latestStart = Math.max(latestStart, start);
      }
    }
    if (latestStart == Double.NEGATIVE_INFINITY) {
      // The clock of the worker's machine was stepped; all that is known is that the worker is
      // running now.
      return now;
    }
    double earliestStart =
        Double.isNaN(lastListAt) ? latestStart : lastListAt - MAX_LIST_LAG_MILLIS;
    return Math.min(now, Math.max(earliestStart, latestStart));
  }

  /**
   * Returns a start time that differs from the one of the previous incarnation. Two incarnations
   * must be distinguishable even if the bounds yield the same start time for both.
   */
  private static double distinctStart(double startedAt, Incarnation previous) {
    return previous != null && previous.startedAt() == startedAt
        ? Math.nextUp(startedAt)
        : startedAt;
  }

  private void evictOldest(int maxIncarnations) {
    var oldest = incarnations.keySet().iterator();
    for (int excess = incarnations.size() - maxIncarnations; excess > 0; excess--) {
      oldest.next();
      oldest.remove();
    }
  }
}
