package ferngrade.node;

/** Why a request was rejected. A rejection guarantees that the request has not run. */
public enum RejectionReason {
  /**
   * The dispatcher rejected the request, without attempts or after attempts that cannot have run.
   */
  DISPATCHER,
  /** This process has no capacity for the request. */
  CAPACITY,
  /** Another process, which may have a request with the same id, has not answered. */
  ID_UNCONFIRMED,
  /** This process is shutting down. */
  SHUTDOWN
}
