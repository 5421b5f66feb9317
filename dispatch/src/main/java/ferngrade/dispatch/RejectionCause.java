package ferngrade.dispatch;

/** The reason for which the dispatcher rejected a request. */
public enum RejectionCause {
  /** The tenant's quota of the dispatcher's slot budget was exhausted. */
  QUOTA,
  /** No ready worker may run the request. */
  NO_WORKER,
  /** The request would start too late even at the worker with the lowest cost. */
  START_TOO_LATE,
  /** The retry policy allows no further attempt. */
  NO_RETRY,
  /** The request's deadline was reached. */
  DEADLINE
}
