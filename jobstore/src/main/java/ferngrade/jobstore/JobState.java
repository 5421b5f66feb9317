package ferngrade.jobstore;

/**
 * The state of a durable job, which reflects what is known about its run. {@link #DONE} and {@link
 * #FAILED} are final.
 */
public enum JobState {
  /** The job was accepted from its client; no worker holds a lease on it. */
  ACCEPTED,
  /** A worker holds a lease on the job; it is unknown whether the job has started. */
  LEASED,
  /** The lease holder has reported the start of the job. */
  STARTED,
  /**
   * The lease expired, or the node failed while the job was leased. The job may have run, may still
   * be running, and must not start again.
   */
  IN_DOUBT,
  /** The job has completed; its result is retained for a limited time. */
  DONE,
  /** The job ended without a result; the reason states whether it may have had an effect. */
  FAILED;

  /** Returns true for the final states. */
  public boolean ended() {
    return this == DONE || this == FAILED;
  }
}
