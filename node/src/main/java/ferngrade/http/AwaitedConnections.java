package ferngrade.http;

import ferngrade.node.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The connections of a {@link ConnectionTable} whose peer has to act next, by sending the rest of a
 * request, reading a response or closing, with the time since when. Lists are ordered by that time,
 * oldest first. Confined to the event loop.
 */
final class AwaitedConnections<C extends ManagedConnection> {
  /**
   * The time that a peer has between its connect and its first byte, or for reading a response,
   * before its connection may be evicted, in ms. The peer's machine may be busy, too.
   */
  static final double SENDING_GRACE = 500;

  private final Clock clock;
  private final Map<C, Double> since = new LinkedHashMap<>();

  AwaitedConnections(Clock clock) {
    this.clock = clock;
  }

  int size() {
    return since.size();
  }

  boolean contains(C connection) {
    return since.containsKey(connection);
  }

  /** Starts the wait for a connection, or restarts it for one already in this set. */
  void add(C connection) {
    since.remove(connection);
    since.put(connection, clock.now());
  }

  void remove(C connection) {
    since.remove(connection);
  }

  /** Returns the connections that have not been read since they were accepted. */
  List<C> unread() {
    return in(ConnectionState.UNREAD).toList();
  }

  /** Returns the connections that have sent a part of a request. */
  List<C> receiving() {
    return in(ConnectionState.RECEIVING).toList();
  }

  /** Returns the untrusted connections that have sent a part of a request. */
  List<C> receivingUntrusted() {
    return in(ConnectionState.RECEIVING).filter(each -> !each.trusted()).toList();
  }

  /** Returns the untrusted connections that have been read and hold no part of a request. */
  List<C> silent() {
    return in(ConnectionState.RESTING).filter(each -> !each.trusted()).toList();
  }

  /** Returns the connections whose peers have not read their responses. */
  List<C> responding() {
    return in(ConnectionState.RESPONDING).toList();
  }

  /** Returns the untrusted connections whose peers have not read their responses. */
  List<C> respondingUntrusted() {
    return in(ConnectionState.RESPONDING).filter(each -> !each.trusted()).toList();
  }

  /** Returns the connections that have sent their last response and wait for the peer's close. */
  List<C> closing() {
    return in(ConnectionState.CLOSING).toList();
  }

  /** Returns true if the {@link #SENDING_GRACE} of an awaited connection has expired. */
  boolean graceOver(C connection) {
    return awaitedFor(connection, SENDING_GRACE);
  }

  /**
   * Returns the connections whose peers have neither sent nor closed anything for {@code timeout}
   * ms. Reading a response has no timeout.
   */
  List<C> late(double timeout) {
    return since.keySet().stream()
        .takeWhile(each -> awaitedFor(each, timeout))
        .filter(each -> each.state() != ConnectionState.RESPONDING)
        .toList();
  }

  /** Returns true if the connection has been awaited for at least {@code millis} ms. */
  boolean awaitedFor(C connection, double millis) {
    Double from = since.get(connection);
    return from != null && clock.now() - from >= millis;
  }

  private Stream<C> in(ConnectionState state) {
    return since.keySet().stream().filter(each -> each.state() == state);
  }
}
