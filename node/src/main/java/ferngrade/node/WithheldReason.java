package ferngrade.node;

/** Why an attempt that the dispatcher requested ended before its first byte was written. */
public enum WithheldReason {
  /** The request already has its final answer. */
  REQUEST_COMPLETED,
  /** The client has closed its connection. */
  CLIENT_GONE,
  /**
   * The worker is draining, has been removed from the list, has moved or has restarted since it was
   * selected.
   */
  WORKER_UNAVAILABLE,
  /** The worker is running an earlier attempt of the same request, or may still be running it. */
  EARLIER_ATTEMPT,
  /** The deadline of the request has passed. */
  DEADLINE_PASSED
}
