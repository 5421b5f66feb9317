package ferngrade.dispatch;

/** Which limit had the dispatcher reject a request. */
public enum RejectionCause {
  /** The tenant's level within the dispatcher's slot budget was used up. */
  QUOTA,
  /** No ready worker may have the request. */
  NO_WORKER,
  /** The request would start too late at the best worker. */
  START_TOO_LATE,
  /** No further attempt is allowed after those that failed. */
  NO_RETRY,
  /** Its deadline was reached. */
  DEADLINE
}
