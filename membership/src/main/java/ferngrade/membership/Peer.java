package ferngrade.membership;

/**
 * Another member as one member knows it.
 *
 * @param news the update that is in effect
 * @param since when the update took effect here, ms of this member's own clock
 */
public record Peer(MembershipUpdate news, double since) {
  /** Returns the member's name. */
  public String name() {
    return news.name();
  }

  /** Returns the member's status. */
  public MemberStatus standing() {
    return news.standing();
  }

  /** Returns whether the member is probed and counted: it is alive or suspected. */
  boolean present() {
    return standing() == MemberStatus.ALIVE || standing() == MemberStatus.SUSPECT;
  }
}
