package ferngrade.http;

import ferngrade.http.ForcedCloses.Reason;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import ferngrade.transport.PendingReads;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * Tracks the open connections of one listener and alone decides which of them to close when there
 * are too many or when a peer exceeds its timeout.
 *
 * <p>No more connections are accepted than the limit allows; the others wait in the listener's
 * backlog and are not lost. Before a connection is evicted, it is read once more in the same turn
 * of the event loop, so that a connection with a complete request in its socket is served and not
 * closed. Connections without a request are evicted first: the oldest before newer ones, and
 * untrusted ones before trusted ones, because a client whose connection is closed has to send its
 * request again.
 *
 * <p>Confined to the event loop.
 */
final class ConnectionTable<C extends ManagedConnection> {
  /** The interval between two checks for connections that exceed their timeout, in ms. */
  private static final double SWEEP_INTERVAL_MILLIS = 250;

  /**
   * The share of the connection limit that is kept free for new connections. The reserve is at most
   * the number of connections that one read of the listener accepts. While less capacity is free,
   * idle untrusted connections have no grace period.
   */
  private static final double RESERVED_SHARE = 0.25;

  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private final AcceptSwitch acceptSwitch;
  private final ForcedCloses forcedCloses;

  /** The maximum time to wait for a peer's input, in ms. */
  private final double timeout;

  private Limits limits;
  private final Set<C> open = new LinkedHashSet<>();
  private final Set<C> idle = new LinkedHashSet<>();
  private final AwaitedConnections<C> awaited;

  private boolean limitCheckScheduled;
  private long accepted;

  /**
   * Limits on the number of connections.
   *
   * @param open the maximum number of open connections
   * @param awaited the maximum number of open connections that have sent no request or only a part
   *     of one
   */
  record Limits(int open, int awaited) {}

  /**
   * The services that a table uses; {@code loop} runs tasks at the end of the current turn of the
   * event loop.
   */
  record Dependencies(Clock clock, Timers timers, Executor loop, ForcedCloses forcedCloses) {}

  /**
   * Creates a table of the connections that {@code acceptSwitch} accepts. The table waits for the
   * input of a peer for at most {@code timeout} ms.
   */
  ConnectionTable(
      Limits limits, double timeout, AcceptSwitch acceptSwitch, Dependencies dependencies) {
    this.limits = limits;
    this.timeout = timeout;
    this.acceptSwitch = acceptSwitch;
    this.clock = dependencies.clock();
    this.awaited = new AwaitedConnections<>(clock);
    this.timers = dependencies.timers();
    this.loop = dependencies.loop();
    this.forcedCloses = dependencies.forcedCloses();
    acceptSwitch.setCapacity(limits.open());
  }

  /** Starts the periodic check for timeouts. */
  void startSweeping() {
    timers.after(SWEEP_INTERVAL_MILLIS, this::sweep);
  }

  boolean isEmpty() {
    return open.isEmpty();
  }

  /** Returns a snapshot of the open connections, which may be iterated while connections close. */
  List<C> open() {
    return new ArrayList<>(open);
  }

  /** Returns a snapshot of the idle connections. */
  List<C> idle() {
    return new ArrayList<>(idle);
  }

  /** Returns the number of connections accepted so far. */
  long accepted() {
    return accepted;
  }

  /** Returns true while another connection fits without closing others. */
  boolean hasCapacity() {
    return freeCapacity() > 0;
  }

  private int freeCapacity() {
    return limits.open() - open.size();
  }

  /**
   * Changes the limits. If they are exceeded, connections without a request in progress are closed.
   */
  void setLimits(Limits changed) {
    limits = changed;
    acceptSwitch.setCapacity(freeCapacity());
    scheduleLimitCheck();
  }

  // ---- Notifications from connections ----

  /** Adds an accepted connection. */
  void opened(C connection) {
    accepted++;
    open.add(connection);
    awaitPeer(connection);
    acceptSwitch.setCapacity(freeCapacity());
  }

  /** Removes a connection that has ended, closed by either side. */
  void closed(C connection) {
    open.remove(connection);
    idle.remove(connection);
    awaited.remove(connection);
    acceptSwitch.setCapacity(freeCapacity());
  }

  /**
   * Starts to wait for the peer of a connection; if the table already waits for it, the timeout
   * restarts.
   */
  void awaitPeer(C connection) {
    idle.remove(connection);
    if (open.contains(connection)) {
      awaited.add(connection);
      scheduleLimitCheck();
    }
  }

  /** Handles the arrival of the first bytes of a request. */
  void receiving(C connection) {
    if (!awaited.contains(connection)) {
      awaitPeer(connection);
    }
    scheduleLimitCheck();
  }

  /** Handles the arrival of a complete request, which is handled from now on. */
  void busy(C connection) {
    idle.remove(connection);
    awaited.remove(connection);
  }

  /**
   * Handles the end of a request: a trusted connection becomes idle, for an untrusted one the wait
   * for its next request begins.
   */
  void betweenRequests(C connection) {
    if (!connection.trusted()) {
      awaitPeer(connection);
      return;
    }
    awaited.remove(connection);
    if (open.contains(connection)) {
      idle.add(connection);
      scheduleLimitCheck();
    }
  }

  /**
   * Accepts the connections and reads the bytes that have arrived but that the event loop has not
   * read yet. Connections that are handling a request or closing are skipped, since their further
   * input has to wait in any case.
   */
  void readPending() {
    acceptSwitch.acceptWaiting(this::accepted, this::hasCapacity);
    for (C connection : open()) {
      if (open.contains(connection) && awaitsRequest(connection)) {
        read(connection);
      }
    }
  }

  private static boolean awaitsRequest(ManagedConnection connection) {
    return switch (connection.state()) {
      case UNREAD, RESTING, RECEIVING -> true;
      case BUSY, RESPONDING, CLOSING -> false;
    };
  }

  // ---- Eviction ----

  private boolean limitReached() {
    return awaited.size() > limits.awaited() || !hasCapacity();
  }

  private void scheduleLimitCheck() {
    if (limitReached() && !limitCheckScheduled) {
      limitCheckScheduled = true;
      loop.execute(this::checkLimits);
    }
  }

  /**
   * Reads the connections that were accepted and not read yet, and then evicts connections if a
   * limit is exceeded.
   */
  private void checkLimits() {
    limitCheckScheduled = false;
    if (limitReached()) {
      awaited.unread().forEach(this::read);
      enforceLimits();
    }
    acceptSwitch.setCapacity(freeCapacity());
  }

  private void enforceLimits() {
    enforceReceivingLimit();
    enforceAwaitedLimit();
    evictForNextConnection();
  }

  /**
   * Limits the connections that are receiving a request at once, because the bodies take memory.
   */
  private void enforceReceivingLimit() {
    int excess = awaited.receiving().size() - limits.awaited();
    if (excess > 0) {
      evictCandidates(awaited.receivingUntrusted().stream(), excess, Reason.AWAITED_LIMIT);
    }
  }

  private void enforceAwaitedLimit() {
    List<C> idleUntrusted = awaited.idleUntrusted();
    int excess = idleUntrusted.size() + awaited.receivingUntrusted().size() - limits.awaited();
    if (excess > 0) {
      boolean capacityScarce =
          freeCapacity() < Math.min(PendingReads.MAX_ACCEPTS, RESERVED_SHARE * limits.open());
      Stream<C> candidates =
          idleUntrusted.stream()
              .filter(connection -> capacityScarce || awaited.gracePeriodExpired(connection));
      evictCandidates(candidates, excess, Reason.AWAITED_LIMIT);
    }
  }

  /** Frees capacity for the next connection, which may carry a callback that a job needs. */
  private void evictForNextConnection() {
    if (!hasCapacity()) {
      Stream<C> candidates =
          Stream.of(
                  awaited.idleUntrusted().stream().filter(awaited::gracePeriodExpired),
                  awaited.closing().stream(),
                  awaited.respondingUntrusted().stream().filter(awaited::gracePeriodExpired),
                  awaited.idleUntrusted().stream(),
                  idle.stream(),
                  awaited.receivingUntrusted().stream().filter(awaited::gracePeriodExpired),
                  awaited.responding().stream().filter(awaited::gracePeriodExpired))
              .flatMap(group -> group)
              .distinct();
      evictCandidates(candidates, 1 - freeCapacity(), Reason.CONNECTION_LIMIT);
    }
  }

  /**
   * Evicts connections until {@code enough} returns true, to free the memory of partial requests
   * and of unread responses; {@code limit} is the exceeded limit in bytes. The candidates are not
   * read once more, since that would take more memory.
   */
  void evictForMemory(BooleanSupplier enough, double limit) {
    List<C> candidates =
        Stream.of(
                awaited.receivingUntrusted().stream(),
                awaited.receiving().stream(),
                awaited.respondingUntrusted().stream().filter(awaited::gracePeriodExpired),
                awaited.responding().stream().filter(awaited::gracePeriodExpired),
                awaited.respondingUntrusted().stream(),
                awaited.responding().stream())
            .flatMap(group -> group)
            .distinct()
            .toList();
    for (C connection : candidates) {
      if (enough.getAsBoolean()) {
        return;
      }
      evict(connection, Reason.MEMORY_LIMIT, limit);
    }
  }

  /**
   * Evicts up to {@code count} of the candidates, but none whose state changes when it is read once
   * more.
   */
  private void evictCandidates(Stream<C> candidates, int count, Reason reason) {
    int remaining = count;
    for (C connection : candidates.toList()) {
      if (remaining <= 0) {
        return;
      }
      if (stillWaiting(connection)) {
        evict(connection, reason);
        remaining--;
      } else if (reason == Reason.AWAITED_LIMIT || !open.contains(connection)) {
        remaining--;
      }
    }
  }

  private void evict(C connection, Reason reason) {
    evict(connection, reason, reason == Reason.AWAITED_LIMIT ? limits.awaited() : limits.open());
  }

  private void evict(C connection, Reason reason, double limit) {
    forcedCloses.record(reason, limit, connection.snapshot(clock.now()));
    idle.remove(connection);
    awaited.remove(connection);
    if (connection.state() != ConnectionState.RECEIVING) {
      open.remove(connection);
    }
    connection.evict();
  }

  /** Returns false if new bytes have arrived on the connection or its peer has closed it. */
  private boolean stillWaiting(C connection) {
    ConnectionState before = connection.state();
    return open.contains(connection)
        && read(connection)
        && connection.state() == before
        && (awaited.contains(connection) || idle.contains(connection));
  }

  /**
   * Reads the pending bytes of the connection. Returns false if the peer has closed it, which frees
   * its capacity.
   */
  private boolean read(C connection) {
    boolean present = connection.readPending();
    if (!present) {
      // Netty reports the close only at the end of the turn; until then other connections would be
      // evicted needlessly.
      closed(connection);
    }
    return present;
  }

  private void sweep() {
    for (C connection : awaited.expired(timeout)) {
      if (stillWaiting(connection) && awaited.awaitedFor(connection, timeout)) {
        forcedCloses.record(Reason.TIMEOUT, timeout, connection.snapshot(clock.now()));
        connection.timedOut();
      }
    }
    checkLimits();
    timers.after(SWEEP_INTERVAL_MILLIS, this::sweep);
  }
}
