package ferngrade.http;

import ferngrade.node.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Tracks the connections of a {@link ConnectionTable} whose peers have to act next, by sending the
 * rest of a request, reading a response or closing. Records the start of each wait; lists are
 * ordered by that time, oldest first. Confined to the event loop.
 */
final class AwaitedConnections<C extends ManagedConnection> {
  /**
   * The time that a peer has between its connect and its first byte, or for reading a response,
   * before its connection may be evicted, in ms. The peer's machine may be busy, too.
   */
  static final double GRACE_PERIOD_MILLIS = 500;

  private final Clock clock;
  private final Map<C, Double> awaitedSince = new LinkedHashMap<>();

  AwaitedConnections(Clock clock) {
    this.clock = clock;
  }

  int size() {
    return awaitedSince.size();
  }

  boolean contains(C connection) {
    return awaitedSince.containsKey(connection);
  }

  /** Starts the wait for a connection, or restarts it for one already in this set. */
  void add(C connection) {
    awaitedSince.remove(connection);
    awaitedSince.put(connection, clock.now());
  }

  void remove(C connection) {
    awaitedSince.remove(connection);
  }

  /** Returns the connections that have not been read since they were accepted. */
  List<C> unread() {
    return inState(ConnectionState.UNREAD).toList();
  }

  /** Returns the connections that have sent a part of a request. */
  List<C> receiving() {
    return inState(ConnectionState.RECEIVING).toList();
  }

  /** Returns the untrusted connections that have sent a part of a request. */
  List<C> receivingUntrusted() {
    return inState(ConnectionState.RECEIVING).filter(connection -> !connection.trusted()).toList();
  }

  /** Returns the untrusted connections that have been read and hold no part of a request. */
  List<C> idleUntrusted() {
    return inState(ConnectionState.RESTING).filter(connection -> !connection.trusted()).toList();
  }

  /** Returns the connections whose peers have not read their responses. */
  List<C> responding() {
    return inState(ConnectionState.RESPONDING).toList();
  }

  /** Returns the untrusted connections whose peers have not read their responses. */
  List<C> respondingUntrusted() {
    return inState(ConnectionState.RESPONDING).filter(connection -> !connection.trusted()).toList();
  }

  /** Returns the connections that have sent their last response and wait for the peer's close. */
  List<C> closing() {
    return inState(ConnectionState.CLOSING).toList();
  }

  /** Returns true if the {@link #GRACE_PERIOD_MILLIS} of an awaited connection has expired. */
  boolean gracePeriodExpired(C connection) {
    return awaitedFor(connection, GRACE_PERIOD_MILLIS);
  }

  /**
   * Returns the connections whose peers have neither sent nor closed anything for {@code timeout}
   * ms. Reading a response has no timeout.
   */
  List<C> expired(double timeout) {
    return awaitedSince.keySet().stream()
        .takeWhile(connection -> awaitedFor(connection, timeout))
        .filter(connection -> connection.state() != ConnectionState.RESPONDING)
        .toList();
  }

  /** Returns true if the connection has been awaited for at least {@code millis} ms. */
  boolean awaitedFor(C connection, double millis) {
    Double start = awaitedSince.get(connection);
    return start != null && clock.now() - start >= millis;
  }

  private Stream<C> inState(ConnectionState state) {
    return awaitedSince.keySet().stream().filter(connection -> connection.state() == state);
  }
}
