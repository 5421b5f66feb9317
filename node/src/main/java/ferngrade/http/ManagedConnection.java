package ferngrade.http;

/**
 * A connection opened by a peer, as {@link ConnectionTable} manages it. Confined to the event loop.
 */
interface ManagedConnection {
  /** Returns the state of the connection. */
  ConnectionState state();

  /**
   * Returns true if the connection is to be kept in preference to untrusted ones. A client
   * connection is trusted once a job or a callback has arrived on it, a connection to the
   * operators' endpoint while another process of the node uses it.
   */
  boolean trusted();

  /**
   * Reads and handles the bytes that have arrived, and updates the state accordingly.
   *
   * @return false if the connection has ended
   */
  boolean readPending();

  /**
   * Returns the details to log when the node closes the connection at {@code now}, in ms on the
   * node's clock.
   */
  ForcedCloses.ConnectionSnapshot snapshot(double now);

  /**
   * Closes the connection because a complete request, or the peer's close, has not arrived in time.
   */
  void timedOut();

  /** Closes the connection to free its capacity. */
  void evict();
}
