package ferngrade.dispatch;

/**
 * The outcome of an attempt. UNUSABLE: the worker reports that the request itself is invalid, so a
 * retry at another worker would fail as well.
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

  /** True if an attempt with this outcome is known not to have run. */
  public final boolean neverRan;

  AttemptOutcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
