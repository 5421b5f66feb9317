package ferngrade.membership;

/**
 * A member's status as seen by another member. If two updates have the same incarnation, the one
 * with the later constant takes precedence.
 */
public enum MemberStatus {
  /** The member is considered reachable. */
  ALIVE,
  /** The member did not answer a probe and has not refuted the suspicion yet. */
  SUSPECT,
  /** The suspicion of the member has timed out. */
  FAILED,
  /** The member has announced that it leaves. */
  LEFT
}
