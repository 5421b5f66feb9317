package ferngrade.faulttest;

/**
 * A variant of the program in which one safety check is removed. A trial is meaningful only if it
 * detects these variants.
 */
public enum Mutant {
  /** The unmodified program. */
  NONE,
  /** The job receiver ignores epochs. */
  NO_EPOCH_CHECK,
  /**
   * The lease duration is counted from the arrival of the answer. The correct start is a time
   * before the request was sent.
   */
  HOLD_FROM_ANSWER,
  /** A vote is sent before it is synced to disk. */
  UNSYNCED_VOTE,
  /** A voter that has lost its disk rejoins under its old name and votes. */
  FORGOTTEN_VOTES,
  /** All clocks are assumed to run at the same rate. */
  NO_DRIFT_BOUND,
  /** Members ignore updates about themselves. They therefore never refute a suspicion. */
  NO_DENIAL
}
