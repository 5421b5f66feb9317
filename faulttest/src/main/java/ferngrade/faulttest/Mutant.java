package ferngrade.faulttest;

/**
 * The program broken on purpose, one guard at a time: trials that cannot find these prove nothing.
 */
public enum Mutant {
  /** The program as it is. */
  NONE,
  /** Whoever takes effects looks at no epoch. */
  NO_EPOCH_CHECK,
  /** A hold is counted from the answer, not from before the asking. */
  HOLD_FROM_ANSWER,
  /** A vote is told before it is synced. */
  UNSYNCED_VOTE,
  /** A voter that has lost its disk comes back under its name and votes. */
  FORGOTTEN_VOTES,
  /** Clocks are taken to run alike. */
  NO_DRIFT_BOUND,
  /** Members do not hear what is said of them, and so deny nothing. */
  NO_DENIAL
}
