package ferngrade.http;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The connections to workers: how many there are, and which stand idle. One that has stood idle for
 * a good part of the limit is ended: a worker closes it at the limit, and a job written into that
 * close would be reset, with nobody knowing whether it ran. Some machines close them far sooner
 * than they are said to: when one has ended a connection of its own accord, its next ones are kept
 * for half as long as that one lasted.
 */
public final class ConnectionPool {
  /** Share of the workers' idle limit after which a connection is ended. */
  private static final double RETIRE = 0.5;

  private static final double SWEEP = 1000;

  /** The least that a learned limit becomes, ms, and the time in which it doubles again. */
  private static final double MIN_LEARNED_LIMIT = 20;

  private static final double RECOVERY = 10_000;

  /**
   * How long a connection stands idle before it is used again, ms. A worker's second answer may
   * come some milliseconds late; on a connection that carries the next request by then it would be
   * taken for that one's.
   */
  private static final double SETTLED = 50;

  /** Idle connections kept for one worker. */
  private static final int MAX_IDLE = 16;

  private final Clock clock;
  private final Timers timers;
  private final double maxIdleMs;
  private int maxOpen;
  private final Map<InetSocketAddress, Deque<WorkerConnection>> idle = new HashMap<>();
  private final Map<InetSocketAddress, Learned> learned = new HashMap<>();
  private int open;

  /** How long a worker's idle connections were found to last, and when. */
  private record Learned(double limit, double at) {}

  public ConnectionPool(Clock clock, Timers timers, double idleLimit, int maxOpen) {
    this.clock = clock;
    this.timers = timers;
    this.maxIdleMs = RETIRE * idleLimit;
    this.maxOpen = maxOpen;
    timers.after(SWEEP, this::sweep);
  }

  /**
   * The idle connection used last that is fit for use, or null if there is none. It is read first:
   * the event loop may not have come to notice that the worker has ended it, and a job written to
   * it would be reset.
   */
  WorkerConnection take(InetSocketAddress worker) {
    Deque<WorkerConnection> pooled = idle.get(worker);
    if (pooled == null) {
      return null;
    }
    for (WorkerConnection connection : new ArrayList<>(pooled)) {
      double idleFor = clock.now() - connection.idleSince;
      if (!connection.isActive() || idleFor >= limit(worker)) {
        connection.close();
      } else if (idleFor >= SETTLED && connection.activeAfterReading()) {
        pooled.remove(connection);
        connection.reusedAfter = idleFor;
        return connection;
      }
    }
    return null;
  }

  private double limit(InetSocketAddress worker) {
    Learned last = learned.get(worker);
    return last == null
        ? maxIdleMs
        : Math.min(maxIdleMs, last.limit * Math.pow(2, (clock.now() - last.at) / RECOVERY));
  }

  /** The worker's side has ended a connection that had stood idle for so many ms. */
  private void lasted(InetSocketAddress worker, double millis) {
    double limit = Math.max(MIN_LEARNED_LIMIT, Math.min(limit(worker), RETIRE * millis));
    learned.put(worker, new Learned(limit, clock.now()));
  }

  /** The connections that stand idle. */
  int idle() {
    return idle.values().stream().mapToInt(Deque::size).sum();
  }

  /** Changes how many connections there may be; idle ones close where there are too many now. */
  public void limitTo(int connections) {
    maxOpen = connections;
    for (int excess = open - maxOpen; excess > 0; excess--) {
      dropOldest();
    }
  }

  /** Books a place for a new connection; false if there is none. */
  boolean reserve() {
    if (open >= maxOpen && !dropOldest()) {
      return false;
    }
    open++;
    return true;
  }

  private boolean dropOldest() {
    for (Deque<WorkerConnection> pooled : idle.values()) {
      if (!pooled.isEmpty()) {
        pooled.pollLast().close();
        return open < maxOpen;
      }
    }
    return false;
  }

  /** The connection that was booked did not come up. */
  void unreserve() {
    open--;
  }

  void release(WorkerConnection connection) {
    Deque<WorkerConnection> pooled =
        idle.computeIfAbsent(connection.worker(), worker -> new ArrayDeque<>());
    if (!connection.isActive() || pooled.size() >= MAX_IDLE) {
      connection.close();
      return;
    }
    connection.idleSince = clock.now();
    connection.reusedAfter = -1;
    pooled.push(connection);
  }

  void ended(WorkerConnection connection) {
    open--;
    Deque<WorkerConnection> pooled = idle.get(connection.worker());
    boolean wasIdle = pooled != null && pooled.remove(connection);
    if (!connection.endedHere()) {
      if (wasIdle) {
        lasted(connection.worker(), clock.now() - connection.idleSince);
      } else if (connection.reusedAfter >= 0) {
        lasted(connection.worker(), connection.reusedAfter);
      }
    }
  }

  private void sweep() {
    double now = clock.now();
    for (Deque<WorkerConnection> pooled : idle.values()) {
      for (WorkerConnection connection : new ArrayList<>(pooled)) {
        if (now - connection.idleSince >= maxIdleMs) {
          connection.close();
        }
      }
    }
    idle.values().removeIf(Deque::isEmpty);
    learned.keySet().removeIf(worker -> limit(worker) >= maxIdleMs);
    timers.after(SWEEP, this::sweep);
  }
}
