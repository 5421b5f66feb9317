package ferngrade.http;

/** What a connection that others have opened is doing. */
public enum ConnectionState {
  /** Accepted, and not read yet: a whole request may lie there. */
  UNREAD,
  /** Between requests; when it was last read, nothing of the next one had come. */
  RESTING,
  /** A part of a request has been read. */
  RECEIVING,
  /** A request is being handled. */
  BUSY,
  /** Its response waits for the peer to read: the socket takes no more of it. */
  RESPONDING,
  /** This side has closed; what still arrives is dropped, as it could not be answered. */
  CLOSING
}
