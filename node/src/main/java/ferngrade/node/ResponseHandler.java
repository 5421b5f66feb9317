package ferngrade.node;

/** The way back to one client. The node calls exactly one of the methods, once. */
public interface ResponseHandler {
  /** Served: the result that a worker gave. */
  void served(String result);

  /** Refused: trying again is harmless; {@code retryAfter} ms is the wait asked for, 0 for none. */
  void refused(double retryAfter);

  /** Failed, which promises nothing about the effect. */
  void failed();

  /**
   * Asked right before an attempt begins: false if the client has gone, also if its close lies here
   * unread. Then the node has been told so by the time that this returns.
   */
  default boolean clientPresent() {
    return true;
  }
}
