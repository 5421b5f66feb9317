package ferngrade.jobstore;

/**
 * The state of a durable job. Each state says what is known of its run; {@link #DONE} and {@link
 * #FAILED} are final.
 */
public enum JobState {
  /** Accepted from its client; no worker holds a lease on it. */
  ACCEPTED,
  /** A worker holds a lease on it; whether it has started is not known. */
  LEASED,
  /** The worker that holds its lease has reported its start. */
  STARTED,
  /**
   * Its lease expired, or a node failed with it: it may have run, may still run, and must not start
   * again.
   */
  IN_DOUBT,
  /** Completed; its result is retained for a while. */
  DONE,
  /** Ended without a result; its reason tells whether it may have had an effect. */
  FAILED;

  /** True for the final states. */
  public boolean ended() {
    return this == DONE || this == FAILED;
  }
}
