package ferngrade.http;

import ferngrade.node.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The connections of a {@link ConnectionTable} that wait for their peers, which have to send the
 * rest of a request, to read a response or to close, and since when. The oldest comes first
 * wherever several are returned. Belongs to the event loop.
 */
final class AwaitedConnections<C extends ManagedConnection> {
  /**
   * How long a peer may need between its connect and its first byte, or to read a response, ms,
   * before its connection gives way to others: its machine may be busy, too.
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

  /** Counts from now on, also for a connection that was awaited before. */
  void add(C connection) {
    since.remove(connection);
    since.put(connection, clock.now());
  }

  void remove(C connection) {
    since.remove(connection);
  }

  /** Those that nobody has read since they were accepted. */
  List<C> unread() {
    return in(ConnectionState.UNREAD).toList();
  }

  /** Those that have sent a part of a request. */
  List<C> receiving() {
    return in(ConnectionState.RECEIVING).toList();
  }

  /** Those that have sent a part of a request, and none that was of use before. */
  List<C> receivingUntrusted() {
    return in(ConnectionState.RECEIVING).filter(each -> !each.trusted()).toList();
  }

  /** Those that have been read and hold nothing, and have sent nothing of use before. */
  List<C> silent() {
    return in(ConnectionState.RESTING).filter(each -> !each.trusted()).toList();
  }

  /** Those whose peers have not read their responses. */
  List<C> responding() {
    return in(ConnectionState.RESPONDING).toList();
  }

  /** Those of them that have sent nothing of use before. */
  List<C> respondingUntrusted() {
    return in(ConnectionState.RESPONDING).filter(each -> !each.trusted()).toList();
  }

  /** Those whose peers have been sent all that they get. */
  List<C> closing() {
    return in(ConnectionState.CLOSING).toList();
  }

  /** True if the peer of an awaited connection has had its {@link #SENDING_GRACE}. */
  boolean graceOver(C connection) {
    return awaitedFor(connection, SENDING_GRACE);
  }

  /** Those that have sent or closed nothing for {@code timeout} ms; a response has no timeout. */
  List<C> late(double timeout) {
    return since.keySet().stream()
        .takeWhile(each -> awaitedFor(each, timeout))
        .filter(each -> each.state() != ConnectionState.RESPONDING)
        .toList();
  }

  /** True if the connection is awaited, and for {@code millis} or longer. */
  boolean awaitedFor(C connection, double millis) {
    Double from = since.get(connection);
    return from != null && clock.now() - from >= millis;
  }

  private Stream<C> in(ConnectionState state) {
    return since.keySet().stream().filter(each -> each.state() == state);
  }
}
