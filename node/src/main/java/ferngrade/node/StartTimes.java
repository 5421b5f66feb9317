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
 * Translates the start times of workers, which the list gives by the wall clocks of their machines,
 * to this process's monotonic time. Wall clocks may be stepped, that of the worker's machine, of
 * this one, or of both together, and a start may have been noted before a step or after it. So the
 * relation of this machine's two clocks is measured with each list, every relation that was
 * measured is a candidate, and what the monotonic clock shows bounds the outcome: a worker started
 * no later than its list came, and one that an earlier list did not hold no longer before that list
 * than a list may lag.
 *
 * <p>The two possible errors are not alike. A cold worker taken for a warm one is overloaded and
 * falls over, which is not to be mended; a warm one taken for cold only gets less than it could
 * carry, for one slow start. So the latest start that is possible is assumed. What remains: a
 * process that starts after its machine's clock was set forward takes the cold workers of its first
 * list for older than they are.
 *
 * <p>Start times are translated once. An incarnation of a worker is known by the time in the list,
 * as it stands there, and keeps its translation whatever the clocks do later, also while the list
 * leaves it out for a time.
 *
 * <p>Reads only the clock that it is given; belongs to the node's thread.
 */
final class StartTimes {
  /**
   * The relation of the two clocks changes by steps only; less than this is the time between their
   * readings, ms.
   */
  private static final double SMALLEST_STEP = 200;

  /** How many relations are kept: a machine's clock that is stepped more often is out of order. */
  private static final int MAX_RELATIONS = 8;

  /**
   * How far a start may seem to lie ahead of its list, as the clocks of two machines differ a
   * little, ms.
   */
  private static final double CLOCK_SKEW = 1000;

  /**
   * How long a worker may have been up when a list still came without it, ms: so long a change may
   * take to arrive.
   */
  private static final double LIST_LAG = 6000;

  /**
   * Incarnations to remember at the least, so that those left out of the list for a time keep their
   * start.
   */
  private static final int MIN_REMEMBERED = 4096;

  private final Clock clock;

  /** Wall time less monotonic time, as measured; the latest first. */
  private final Deque<Double> relations = new ArrayDeque<>();

  private final Map<Long, Incarnation> known = new LinkedHashMap<>(16, 0.75f, true);

  /** When the source of the list told last what it holds, NaN before that. */
  private double lastTold = Double.NaN;

  /**
   * A worker's process: its start as listed, by a wall clock, and by this process's monotonic one.
   */
  private record Incarnation(double listedStart, double startedAt) {}

  StartTimes(Clock clock) {
    this.clock = clock;
    // The monotonic part of a process's clock begins with the wall's time.
    relations.addFirst(0.0);
    measure();
  }

  /** The entries of a list that came now, with start times by the monotonic clock. */
  List<Endpoint> translate(EndpointListUpdate news, List<Endpoint> entries) {
    double now = clock.now();
    measure();
    List<Endpoint> translated = new ArrayList<>(entries.size());
    for (Endpoint entry : entries) {
      translated.add(translate(entry, now));
    }
    forgetOldest(Math.max(MIN_REMEMBERED, 2 * entries.size()));
    if (news != EndpointListUpdate.STORED) {
      lastTold = now;
    }
    return translated;
  }

  /** The source of the list said now that nothing has changed. */
  void unchanged() {
    if (!Double.isNaN(lastTold)) {
      lastTold = clock.now();
    }
  }

  /** A time by the monotonic clock as the wall clock now shows it, for a later process to read. */
  double toWall(double monotonic) {
    measure();
    return monotonic + relations.peekFirst();
  }

  /**
   * A time by the wall clock, of an earlier process on this machine, by the monotonic clock: not
   * after now.
   */
  double toMonotonic(double wall) {
    measure();
    return Math.min(clock.now(), wall - relations.peekFirst());
  }

  private void measure() {
    double relation = clock.wall() - clock.now();
    if (Math.abs(relation - relations.peekFirst()) < SMALLEST_STEP) {
      return;
    }
    relations.removeIf(earlier -> Math.abs(relation - earlier) < SMALLEST_STEP);
    relations.addFirst(relation);
    if (relations.size() > MAX_RELATIONS) {
      relations.removeLast();
    }
  }

  private Endpoint translate(Endpoint entry, double now) {
    Worker worker = entry.worker();
    double listedStart = worker.startedAt();
    if (listedStart <= 0) {
      // Long ago, by any clock.
      return entry;
    }
    Incarnation incarnation = known.get(worker.id());
    if (incarnation == null || incarnation.listedStart() != listedStart) {
      incarnation = new Incarnation(listedStart, apart(startedAt(listedStart, now), incarnation));
      if (worker.state() != WorkerState.GONE) {
        known.put(worker.id(), incarnation);
      }
    }
    return incarnation.startedAt() == listedStart
        ? entry
        : entry.startedAt(incarnation.startedAt());
  }

  /** The latest start that the clocks allow. */
  private double startedAt(double listedStart, double now) {
    double latest = Double.NEGATIVE_INFINITY;
    for (double relation : relations) {
      double start = listedStart - relation;
      if (start <= now + CLOCK_SKEW) {
        latest = Math.max(latest, start);
      }
    }
    if (latest == Double.NEGATIVE_INFINITY) {
      // The worker's machine has stepped its clock: all that is known is that it runs by now.
      return now;
    }
    double earliest = Double.isNaN(lastTold) ? latest : lastTold - LIST_LAG;
    return Math.min(now, Math.max(earliest, latest));
  }

  /**
   * Two incarnations must not look like one, even if the bounds have put their starts on the same
   * moment.
   */
  private static double apart(double startedAt, Incarnation former) {
    return former != null && former.startedAt() == startedAt ? Math.nextUp(startedAt) : startedAt;
  }

  private void forgetOldest(int most) {
    var oldest = known.keySet().iterator();
    for (int excess = known.size() - most; excess > 0; excess--) {
      oldest.next();
      oldest.remove();
    }
  }
}
