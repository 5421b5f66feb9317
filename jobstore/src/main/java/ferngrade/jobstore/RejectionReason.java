package ferngrade.jobstore;

/** Why {@link JobTable} rejected a change. */
public enum RejectionReason {
  /** A job of this id was accepted before; its state is the answer to the client. */
  DUPLICATE_ID,
  /** No such job: it was never accepted, or its result has been discarded. */
  UNKNOWN_ID,
  /** The job is not in a state that allows the change. */
  INVALID_STATE,
  /** The fencing token is not the job's newest. */
  STALE_TOKEN
}
