package ferngrade.membership;

/**
 * The state of another member as known to this member.
 *
 * @param update the update that is in effect
 * @param since when the update took effect at this member, ms of this member's own clock
 */
public record Peer(MembershipUpdate update, double since) {
  /** Returns the member's name. */
  public String name() {
    return update.name();
  }

  /** Returns the member's status. */
  public MemberStatus status() {
    return update.standing();
  }

  /** Returns whether the member is probed and counted: it is alive or suspected. */
  boolean present() {
    return status() == MemberStatus.ALIVE || status() == MemberStatus.SUSPECT;
  }
}
