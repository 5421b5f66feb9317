package ferngrade.jobstore;

/** The reason for which {@link JobTable} rejected a change. */
public enum RejectionReason {
  /** A job with this id was accepted before; the client is answered with its state. */
  DUPLICATE_ID,
  /** The job was never accepted, or its result has been discarded. */
  UNKNOWN_ID,
  /** The state of the job does not allow the change. */
  INVALID_STATE,
  /** The fencing token is not the newest of the job. */
  STALE_TOKEN
}
