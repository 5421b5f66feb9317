package ferngrade.node;

/** Answers one client. The node calls exactly one of the answering methods, once. */
public interface ResponseHandler {
  /** Served, with the result of a worker. */
  void served(String result);

  /** Rejected: a retry is harmless; {@code retryAfter} is the Retry-After in ms, 0 for none. */
  void refused(double retryAfter);

  /** Failed, which promises nothing about the effect. */
  void failed();

  /**
   * Asked right before an attempt begins: false if the client has gone, also if its close lies here
   * unread. Then the node has been notified by the time that this returns.
   */
  default boolean clientPresent() {
    return true;
  }
}
