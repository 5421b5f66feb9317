package ferngrade.node;

/** Why a request was rejected with a promise that it has not run. */
public enum RejectionReason {
  /** The dispatcher decided so, before or after attempts that cannot have run. */
  DISPATCHER,
  /** This process has no capacity for it. */
  CAPACITY,
  /** This process shuts down. */
  SHUTDOWN
}
