package ferngrade.faulttest.upgrade;

/** A fault that a node is given on purpose, which the checkers have to find. */
public enum Mutation {
  /** Answers of failure and rejection leave half a second late and more. */
  LATE_GUARD_TIMER,
  /** Each so-manieth answer is written to its half and then forgotten. */
  HALF_WRITTEN_ANSWER,
  /** The slot budget stays at its first, small value. */
  BUDGET_NEVER_GROWS,
  /** SIGTERM is noticed 0.6 s late, and all phases of the shutdown count from there. */
  SIGNAL_NOTICED_LATE
}
