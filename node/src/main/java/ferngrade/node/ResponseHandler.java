package ferngrade.node;

/**
 * Sends the answer to one client request. The node calls exactly one of the answering methods,
 * once.
 */
public interface ResponseHandler {
  /** Sends the result of a worker. */
  void served(String result);

  /**
   * Rejects the request, which guarantees that a retry is safe. {@code retryAfter} is the
   * Retry-After in ms, 0 for none.
   */
  void rejected(double retryAfter);

  /** Reports a failure. The client cannot conclude whether the request had an effect. */
  void failed();

  /**
   * Reports that the id of the request belongs to a request of another process; the request has not
   * been sent.
   */
  default void idInUse() {
    failed();
  }

  /**
   * Returns false if the client has disconnected, even if the event loop has not read the close
   * yet. Called immediately before an attempt is written. If this method returns false, the node
   * has already been notified that the client is gone.
   */
  default boolean clientPresent() {
    return true;
  }
}
