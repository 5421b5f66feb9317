package ferngrade.http;

/** The state of a connection that a peer has opened to this process. */
public enum ConnectionState {
  /** Accepted and not read yet; a complete request may be in the socket. */
  UNREAD,
  /** Between requests; the last read found no bytes of the next request. */
  RESTING,
  /** A part of a request has been read. */
  RECEIVING,
  /** A request is being handled. */
  BUSY,
  /** The response waits for the peer to read it, because the send buffer of the socket is full. */
  RESPONDING,
  /**
   * This side has closed its direction; incoming bytes are dropped, as they could not be answered.
   */
  CLOSING
}
