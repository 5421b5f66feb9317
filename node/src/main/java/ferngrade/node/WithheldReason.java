package ferngrade.node;

/** Why an attempt that the dispatcher asked for was ended before its first byte was written. */
public enum WithheldReason {
  /** The request has its final answer. */
  REQUEST_COMPLETED,
  /** The client has closed its connection. */
  CLIENT_GONE,
  /** The worker drains, is gone, has moved or has restarted since it was selected. */
  WORKER_UNAVAILABLE,
  /** The worker has, or may still have, an earlier attempt of the same request. */
  EARLIER_ATTEMPT,
  /** Nothing is left of the request's time. */
  DEADLINE_PASSED
}
