package ferngrade.membership;

/** How a member seems to be; at one incarnation the later of these counts. */
public enum MemberStatus {
  /** It answers. */
  ALIVE,
  /** It has not answered somebody, and has not been heard to deny that yet. */
  SUSPECT,
  /** It has been suspected for too long. */
  FAILED,
  /** It has said that it leaves. */
  LEFT
}
