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
 * Pools the connections to workers and limits their number. A connection that has been idle for a
 * part of the workers' idle limit is closed: a worker closes the connection at the limit, and if a
 * job is written at that moment, the connection is reset and it is unknown whether the job ran.
 * Some workers' machines close idle connections much earlier than configured. When a worker closes
 * a connection, the pool keeps the next connections to that worker idle for at most half the time
 * that the closed connection was idle.
 */
public final class ConnectionPool {
  /** The share of the workers' idle limit after which an idle connection is closed. */
  private static final double MAX_IDLE_SHARE = 0.5;

  private static final double SWEEP_INTERVAL_MILLIS = 1000;

  /** The minimum of a learned idle limit, in ms. */
  private static final double MIN_LEARNED_LIMIT_MILLIS = 20;

  /** The time after which a learned idle limit doubles, in ms. */
  private static final double LEARNED_LIMIT_DOUBLING_MILLIS = 10_000;

  /**
   * The minimum idle time before a connection is used again, in ms. A worker may send a second
   * answer some milliseconds late; if the connection already carried the next request, that answer
   * would be mistaken for the response to that request.
   */
  private static final double MIN_IDLE_MILLIS = 50;

  /** The maximum number of idle connections kept for one worker. */
  private static final int MAX_IDLE_PER_WORKER = 16;

  private final Clock clock;
  private final Timers timers;
  private final double maxIdleMillis;
  private int maxOpen;
  private final Map<InetSocketAddress, Deque<WorkerConnection>> idle = new HashMap<>();
  private final Map<InetSocketAddress, LearnedLimit> learnedLimits = new HashMap<>();
  private int openConnections;

  /**
   * The time after which a worker closed its idle connections, and when the pool learned it, both
   * in ms.
   */
  private record LearnedLimit(double limit, double learnedAt) {}

  public ConnectionPool(Clock clock, Timers timers, double idleLimit, int maxOpen) {
    this.clock = clock;
    this.timers = timers;
    this.maxIdleMillis = MAX_IDLE_SHARE * idleLimit;
    this.maxOpen = maxOpen;
    timers.after(SWEEP_INTERVAL_MILLIS, this::sweep);
  }

  /**
   * Returns the most recently used idle connection that is usable, or null if there is none. The
   * connection is read first: the event loop may not have noticed yet that the worker has closed
   * it, and writing a job to a closed connection fails with a reset.
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
      } else if (idleFor >= MIN_IDLE_MILLIS && connection.activeAfterReading()) {
        pooled.remove(connection);
        connection.idleBeforeReuse = idleFor;
        return connection;
      }
    }
    return null;
  }

  private double limit(InetSocketAddress worker) {
    LearnedLimit learned = learnedLimits.get(worker);
    return learned == null
        ? maxIdleMillis
        : Math.min(
            maxIdleMillis,
            learned.limit
                * Math.pow(2, (clock.now() - learned.learnedAt) / LEARNED_LIMIT_DOUBLING_MILLIS));
  }

  /** Learns that the worker closed a connection that had been idle for {@code millis} ms. */
  private void learnLimit(InetSocketAddress worker, double millis) {
    double limit =
        Math.max(MIN_LEARNED_LIMIT_MILLIS, Math.min(limit(worker), MAX_IDLE_SHARE * millis));
    learnedLimits.put(worker, new LearnedLimit(limit, clock.now()));
  }

  /** Returns the number of idle connections. */
  int idle() {
    return idle.values().stream().mapToInt(Deque::size).sum();
  }

  /**
   * Changes the maximum number of connections. If more connections are open, idle ones are closed.
   */
  public void setMaxConnections(int connections) {
    maxOpen = connections;
    for (int excess = openConnections - maxOpen; excess > 0; excess--) {
      closeOldestIdle();
    }
  }

  /** Reserves capacity for a new connection. Returns false if there is none. */
  boolean reserve() {
    if (openConnections >= maxOpen && !closeOldestIdle()) {
      return false;
    }
    openConnections++;
    return true;
  }

  private boolean closeOldestIdle() {
    for (Deque<WorkerConnection> pooled : idle.values()) {
      if (!pooled.isEmpty()) {
        pooled.pollLast().close();
        return openConnections < maxOpen;
      }
    }
    return false;
  }

  /** Releases the reservation of a connection that could not be opened. */
  void unreserve() {
    openConnections--;
  }

  void release(WorkerConnection connection) {
    Deque<WorkerConnection> pooled =
        idle.computeIfAbsent(connection.worker(), worker -> new ArrayDeque<>());
    if (!connection.isActive() || pooled.size() >= MAX_IDLE_PER_WORKER) {
      connection.close();
      return;
    }
    connection.idleSince = clock.now();
    connection.idleBeforeReuse = -1;
    pooled.push(connection);
  }

  void ended(WorkerConnection connection) {
    openConnections--;
    Deque<WorkerConnection> pooled = idle.get(connection.worker());
    boolean wasIdle = pooled != null && pooled.remove(connection);
    if (!connection.closedLocally()) {
      if (wasIdle) {
        learnLimit(connection.worker(), clock.now() - connection.idleSince);
      } else if (connection.idleBeforeReuse >= 0) {
        learnLimit(connection.worker(), connection.idleBeforeReuse);
      }
    }
  }

  private void sweep() {
    double now = clock.now();
    for (Deque<WorkerConnection> pooled : idle.values()) {
      for (WorkerConnection connection : new ArrayList<>(pooled)) {
        if (now - connection.idleSince >= maxIdleMillis) {
          connection.close();
        }
      }
    }
    idle.values().removeIf(Deque::isEmpty);
    learnedLimits.keySet().removeIf(worker -> limit(worker) >= maxIdleMillis);
    timers.after(SWEEP_INTERVAL_MILLIS, this::sweep);
  }
}
