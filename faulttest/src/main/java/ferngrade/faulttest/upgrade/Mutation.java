package ferngrade.faulttest.upgrade;

/** A fault built into a node on purpose, which the checkers must detect. */
public enum Mutation {
  /** Failure and rejection responses are sent at least half a second late. */
  LATE_GUARD_TIMER,
  /** At regular intervals a response is cut off in the middle and never completed. */
  HALF_WRITTEN_ANSWER,
  /** The slot budget stays at its small initial value. */
  BUDGET_NEVER_GROWS,
  /** SIGTERM is noticed 0.6 s late, and all phases of the shutdown are timed from then on. */
  SIGNAL_NOTICED_LATE
}
