package ferngrade.dispatch;

/**
 * How an attempt ended; the constant says whether that proves that the job never ran. UNUSABLE: the
 * worker says that the request itself is at fault, so that it would fare no better elsewhere.
 */
public enum AttemptOutcome {
  OK(false),
  ERROR(false),
  FULL(true),
  TIMEOUT(false),
  CONNECT_FAILED(true),
  RESET(false),
  CANCELLED(false),
  NEVER_SENT(true),
  UNUSABLE(false);

  /** True if an attempt that ended so is known not to have run. */
  public final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
