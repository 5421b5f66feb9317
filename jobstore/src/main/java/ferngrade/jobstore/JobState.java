package ferngrade.jobstore;

/**
 * Where a durable job stands. Each state says what is known of its work; a job leaves {@link #DONE}
 * and {@link #FAILED} no more.
 */
public enum JobState {
  /** Taken from its client; no worker has it, and it has not run. */
  ACCEPTED(false),
  /** A worker holds a lease on it; whether it has begun is not known. */
  LEASED(true),
  /** The worker of its lease has said that it began. */
  STARTED(true),
  /**
   * Its lease ran out, or a node died with it: it may have run, may run still, and must not start
   * again.
   */
  IN_DOUBT(true),
  /** Done; its result is kept for a while. */
  DONE(true),
  /** Ended without a result; whether it had an effect is what its reason says. */
  FAILED(true);

  /** True if the work may have begun. */
  public final boolean mayHaveRun;

  JobState(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** True for the states that end a job. */
  public boolean ended() {
    return this == DONE || this == FAILED;
  }
}
