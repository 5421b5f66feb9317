package ferngrade.http;

import ferngrade.http.ForcedCloses.Reason;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import ferngrade.transport.PendingReads;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The open connections of clients, and which of them are closed when they take too long or become
 * too many. A connection that is awaited, for the rest of a request or for its close, has a short
 * timeout and a small share of the limit, so that connections which never send a request evict no
 * others. A trusted one may stay idle for as long as there is capacity: a client that finds its
 * connection closed has lost its request. Belongs to the event loop.
 */
final class ClientConnections {
  /** How long a connection may be awaited, ms: with the response on top it ends well within 3 s. */
  private static final double INPUT_TIMEOUT = 1500;

  /** The interval between two checks of that timeout, ms. */
  private static final double SWEEP_INTERVAL = 250;

  private ConnectionLimits limits;
  private final Clock clock;
  private final Timers timers;
  private final AcceptSwitch acceptSwitch;
  private final ForcedCloses closes;
  private final Set<ClientConnectionHandler> open = new LinkedHashSet<>();
  private final Set<ClientConnectionHandler> idle = new LinkedHashSet<>();

  /** The connections that are awaited, and since when; the oldest comes first. */
  private final Map<ClientConnectionHandler, Double> awaited = new LinkedHashMap<>();

  private long accepted;

  ClientConnections(
      ConnectionLimits limits,
      Clock clock,
      Timers timers,
      AcceptSwitch acceptSwitch,
      ForcedCloses closes) {
    this.limits = limits;
    this.clock = clock;
    this.timers = timers;
    this.acceptSwitch = acceptSwitch;
    this.closes = closes;
  }

  /** Begins to check timeouts; it goes on from there by itself. */
  void startSweeping() {
    timers.after(SWEEP_INTERVAL, this::sweep);
  }

  boolean isEmpty() {
    return open.isEmpty();
  }

  /** The open connections as of now: those that close meanwhile do not disturb a loop over it. */
  List<ClientConnectionHandler> open() {
    return new ArrayList<>(open);
  }

  /** The idle connections as of now. */
  List<ClientConnectionHandler> idle() {
    return new ArrayList<>(idle);
  }

  /** Changes the limits; connections that carry nothing close where there are too many now. */
  void limitTo(ConnectionLimits changed) {
    limits = changed;
    int excess = open.size() - limits.clients() + 1;
    if (excess > 0) {
      Stream.concat(
              awaited.keySet().stream().filter(each -> each.closing() || each.resting()),
              idle.stream())
          .limit(excess)
          .toList()
          .forEach(each -> evict(each, Reason.CONNECTION_LIMIT, limits.clients()));
    }
    acceptSwitch.pause(AcceptSwitch.Reason.FULL, open.size() >= limits.clients());
  }

  /** How many connections have been accepted so far. */
  long accepted() {
    return accepted;
  }

  /** True while as many connections as one accept may bring fit without closing others. */
  boolean hasCapacity() {
    return open.size() + PendingReads.MAX_ACCEPTS < limits.clients();
  }

  /** A connection has been accepted. */
  void opened(ClientConnectionHandler connection) {
    accepted++;
    open.add(connection);
    await(connection);
    enforceLimit();
  }

  /** A connection has ended, from whichever side. */
  void closed(ClientConnectionHandler connection) {
    open.remove(connection);
    idle.remove(connection);
    awaited.remove(connection);
    enforceLimit();
  }

  /** From now on the connection is awaited; for one that was before, the timeout starts anew. */
  void await(ClientConnectionHandler connection) {
    idle.remove(connection);
    awaited.remove(connection);
    if (open.contains(connection)) {
      awaited.put(connection, clock.now());
      enforceAwaitedLimit();
    }
  }

  /** The first bytes of a request have arrived. */
  void receiving(ClientConnectionHandler connection) {
    if (!awaited.containsKey(connection)) {
      await(connection);
    }
  }

  /** A complete request has arrived, which is being handled from here on. */
  void busy(ClientConnectionHandler connection) {
    idle.remove(connection);
    awaited.remove(connection);
  }

  /** The connection is between two requests; one that has not been trusted yet is awaited. */
  void rest(ClientConnectionHandler connection) {
    if (connection.trusted()) {
      idle.add(connection);
    } else {
      await(connection);
    }
  }

  private void enforceAwaitedLimit() {
    // One that is closing holds nothing but its descriptor.
    long holding = awaited.keySet().stream().filter(each -> !each.closing()).count();
    if (holding > limits.awaited()) {
      // Trusted ones are spared: a flood of strangers must not cost them anything.
      awaited.keySet().stream()
          .filter(each -> !each.trusted() && !each.closing())
          .findFirst()
          .ifPresent(each -> evict(each, Reason.AWAITED_LIMIT, limits.awaited()));
    }
  }

  private void enforceLimit() {
    if (open.size() >= limits.clients()) {
      Stream.of(
              awaited.keySet().stream().filter(each -> each.closing() || each.resting()),
              idle.stream(),
              awaited.keySet().stream())
          .flatMap(each -> each)
          .findFirst()
          .ifPresent(each -> evict(each, Reason.CONNECTION_LIMIT, limits.clients()));
    }
    acceptSwitch.pause(AcceptSwitch.Reason.FULL, open.size() >= limits.clients());
  }

  private void evict(ClientConnectionHandler connection, Reason reason, double limit) {
    closes.record(reason, limit, connection.asClosed(clock.now()));
    idle.remove(connection);
    awaited.remove(connection);
    connection.evict();
  }

  private void sweep() {
    double limit = clock.now() - INPUT_TIMEOUT;
    List<ClientConnectionHandler> late = new ArrayList<>();
    for (Map.Entry<ClientConnectionHandler, Double> each : awaited.entrySet()) {
      if (each.getValue() > limit) {
        break;
      }
      late.add(each.getKey());
    }
    for (ClientConnectionHandler each : late) {
      closes.record(Reason.TIMEOUT, INPUT_TIMEOUT, each.asClosed(clock.now()));
      each.timedOut();
    }
    timers.after(SWEEP_INTERVAL, this::sweep);
  }
}
