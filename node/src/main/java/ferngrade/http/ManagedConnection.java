package ferngrade.http;

/** A connection that others have opened, as {@link ConnectionTable} sees it. On the event loop. */
interface ManagedConnection {
  /** What the connection is doing. */
  ConnectionState state();

  /** True if it is kept over those that have brought nothing of use yet. */
  boolean trusted();

  /**
   * Reads and handles what has come, so that the state tells of it.
   *
   * @return false if the connection has ended
   */
  boolean readPending();

  /** What is logged of the connection when it is closed unasked, at {@code now} on the clock. */
  ForcedCloses.Closed asClosed(double now);

  /** Ends it since what is awaited, a whole request or the peer's close, has not come in time. */
  void timedOut();

  /** Ends it to free its place. */
  void evict();
}
