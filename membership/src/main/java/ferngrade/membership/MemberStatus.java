package ferngrade.membership;

/**
 * A member's status as seen by another member. Among updates with the same incarnation, the later
 * constant takes precedence.
 */
public enum MemberStatus {
  /** The member answers. */
  ALIVE,
  /** The member did not answer a probe and has not refuted the suspicion yet. */
  SUSPECT,
  /** The suspicion of the member has timed out. */
  FAILED,
  /** The member has announced that it leaves. */
  LEFT
}
