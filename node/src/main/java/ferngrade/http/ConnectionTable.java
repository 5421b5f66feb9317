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
import java.util.stream.Stream;

/**
 * The open connections of one listener, and the one owner of the rule which of them gives way when
 * they are too many or take too long.
 *
 * <p>No more are accepted than there are places; the rest waits in the listener's backlog, and is
 * not lost. A connection is read before it may have to give way, in the same turn: one with a whole
 * request in its socket is served and not closed. Those that then hold nothing give way first, the
 * oldest before the others, and before those that are trusted: a client that finds its connection
 * closed has to send its request anew.
 *
 * <p>Belongs to the event loop.
 */
final class ConnectionTable<C extends ManagedConnection> {
  /** The interval between two checks for connections that take too long, ms. */
  private static final double SWEEP_INTERVAL = 250;

  /**
   * The share of all places, or one accept's worth of them, which is kept free: with less of them
   * free no silent connection has that grace.
   */
  private static final double SCARCE = 0.25;

  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private final AcceptSwitch acceptSwitch;
  private final ForcedCloses closes;

  /** How long a connection may be awaited, ms. */
  private final double timeout;

  private Limits limits;
  private final Set<C> open = new LinkedHashSet<>();
  private final Set<C> idle = new LinkedHashSet<>();
  private final AwaitedConnections<C> awaited;

  private boolean reviewScheduled;
  private long accepted;

  /**
   * How many connections there may be.
   *
   * @param open those that are open
   * @param awaited those of them that have sent a part of a request, or nothing
   */
  record Limits(int open, int awaited) {}

  /** What a table works with; {@code loop} runs tasks at the end of the present turn. */
  record Surroundings(Clock clock, Timers timers, Executor loop, ForcedCloses closes) {}

  /** Connections that {@code acceptSwitch} lets in; one may be awaited for {@code timeout} ms. */
  ConnectionTable(
      Limits limits, double timeout, AcceptSwitch acceptSwitch, Surroundings surroundings) {
    this.limits = limits;
    this.timeout = timeout;
    this.acceptSwitch = acceptSwitch;
    this.clock = surroundings.clock();
    this.awaited = new AwaitedConnections<>(clock);
    this.timers = surroundings.timers();
    this.loop = surroundings.loop();
    this.closes = surroundings.closes();
    acceptSwitch.places(limits.open());
  }

  /** Begins to check timeouts; it goes on from there by itself. */
  void startSweeping() {
    timers.after(SWEEP_INTERVAL, this::sweep);
  }

  boolean isEmpty() {
    return open.isEmpty();
  }

  /** The open connections as of now: those that close meanwhile do not disturb a loop over it. */
  List<C> open() {
    return new ArrayList<>(open);
  }

  /** The idle connections as of now. */
  List<C> idle() {
    return new ArrayList<>(idle);
  }

  /** How many connections have been accepted so far. */
  long accepted() {
    return accepted;
  }

  /** True while another connection fits without closing others. */
  boolean hasPlace() {
    return places() > 0;
  }

  private int places() {
    return limits.open() - open.size();
  }

  /** Changes the limits; connections that carry nothing close where there are too many now. */
  void limitTo(Limits changed) {
    limits = changed;
    acceptSwitch.places(places());
    reviewLater();
  }

  // ---- What connections report ----

  /** A connection has been accepted. */
  void opened(C connection) {
    accepted++;
    open.add(connection);
    await(connection);
    acceptSwitch.places(places());
  }

  /** A connection has ended, from whichever side. */
  void closed(C connection) {
    open.remove(connection);
    idle.remove(connection);
    awaited.remove(connection);
    acceptSwitch.places(places());
  }

  /** From now on its peer is awaited; for one that was before, the timeout starts anew. */
  void await(C connection) {
    idle.remove(connection);
    if (open.contains(connection)) {
      awaited.add(connection);
      reviewLater();
    }
  }

  /** The first bytes of a request have arrived. */
  void receiving(C connection) {
    if (!awaited.contains(connection)) {
      await(connection);
    }
    reviewLater();
  }

  /** A complete request has arrived, which is being handled from here on. */
  void busy(C connection) {
    idle.remove(connection);
    awaited.remove(connection);
  }

  /** The connection is between two requests; one that has not been trusted yet is awaited. */
  void rest(C connection) {
    if (!connection.trusted()) {
      await(connection);
      return;
    }
    awaited.remove(connection);
    if (open.contains(connection)) {
      idle.add(connection);
      reviewLater();
    }
  }

  /**
   * Accepts and reads what has come and the event loop has not come to read. Connections that carry
   * a request, or close, are left out: what follows on them has to wait in any case.
   */
  void readPending() {
    acceptSwitch.acceptWaiting(this::accepted, this::hasPlace);
    for (C each : open()) {
      if (open.contains(each) && awaitsRequest(each)) {
        read(each);
      }
    }
  }

  private static boolean awaitsRequest(ManagedConnection connection) {
    return switch (connection.state()) {
      case UNREAD, RESTING, RECEIVING -> true;
      case BUSY, RESPONDING, CLOSING -> false;
    };
  }

  // ---- Who gives way ----

  private boolean limitReached() {
    return awaited.size() > limits.awaited() || !hasPlace();
  }

  private void reviewLater() {
    if (limitReached() && !reviewScheduled) {
      reviewScheduled = true;
      loop.execute(this::review);
    }
  }

  /** Reads what has been accepted, and then has connections give way where a limit demands it. */
  private void review() {
    reviewScheduled = false;
    if (limitReached()) {
      awaited.unread().forEach(this::read);
      enforceLimits();
    }
    acceptSwitch.places(places());
  }

  private void enforceLimits() {
    limitReceiving();
    limitSilent();
    makePlace();
  }

  /** Bodies that are on their way take memory: these are bounded at once. */
  private void limitReceiving() {
    int excess = awaited.receiving().size() - limits.awaited();
    if (excess > 0) {
      giveWay(awaited.receivingUntrusted().stream(), excess, Reason.AWAITED_LIMIT);
    }
  }

  private void limitSilent() {
    List<C> silent = awaited.silent();
    int excess = silent.size() + awaited.receivingUntrusted().size() - limits.awaited();
    if (excess > 0) {
      boolean scarce = places() < Math.min(PendingReads.MAX_ACCEPTS, SCARCE * limits.open());
      Stream<C> candidates = silent.stream().filter(each -> scarce || awaited.graceOver(each));
      giveWay(candidates, excess, Reason.AWAITED_LIMIT);
    }
  }

  /** Frees a place for the next connection, which may be a callback that a job waits for. */
  private void makePlace() {
    if (!hasPlace()) {
      Stream<C> candidates =
          Stream.of(
                  awaited.silent().stream().filter(awaited::graceOver),
                  awaited.closing().stream(),
                  awaited.respondingUntrusted().stream().filter(awaited::graceOver),
                  awaited.silent().stream(),
                  idle.stream(),
                  awaited.receivingUntrusted().stream().filter(awaited::graceOver),
                  awaited.responding().stream().filter(awaited::graceOver))
              .flatMap(each -> each)
              .distinct();
      giveWay(candidates, 1 - places(), Reason.CONNECTION_LIMIT);
    }
  }

  /** Closes so many of the candidates, but none whose state changes when it is read once more. */
  private void giveWay(Stream<C> candidates, int count, Reason reason) {
    int left = count;
    for (C each : candidates.toList()) {
      if (left <= 0) {
        return;
      }
      if (stillWaits(each)) {
        evict(each, reason);
        left--;
      } else if (reason == Reason.AWAITED_LIMIT || !open.contains(each)) {
        left--;
      }
    }
  }

  private void evict(C connection, Reason reason) {
    double limit = reason == Reason.AWAITED_LIMIT ? limits.awaited() : limits.open();
    closes.record(reason, limit, connection.asClosed(clock.now()));
    idle.remove(connection);
    awaited.remove(connection);
    if (connection.state() != ConnectionState.RECEIVING) {
      open.remove(connection);
    }
    connection.evict();
  }

  /** False if something has come on the connection, or its peer has closed it. */
  private boolean stillWaits(C connection) {
    ConnectionState before = connection.state();
    return open.contains(connection)
        && read(connection)
        && connection.state() == before
        && (awaited.contains(connection) || idle.contains(connection));
  }

  /** Reads what waits on the connection; false if its peer has closed it: its place is free. */
  private boolean read(C connection) {
    boolean present = connection.readPending();
    if (!present) {
      // Netty tells of the close at the end of the turn only; others would give way until then.
      closed(connection);
    }
    return present;
  }

  private void sweep() {
    for (C each : awaited.late(timeout)) {
      if (stillWaits(each) && awaited.awaitedFor(each, timeout)) {
        closes.record(Reason.TIMEOUT, timeout, each.asClosed(clock.now()));
        each.timedOut();
      }
    }
    review();
    timers.after(SWEEP_INTERVAL, this::sweep);
  }
}
