package ferngrade.membership;

/**
 * What one member knows of another: the last news that counts, and since when here, ms of its own
 * clock.
 */
public record Peer(MembershipUpdate news, double since) {
  /** The name. */
  public String name() {
    return news.name();
  }

  /** How it seems to be. */
  public MemberStatus standing() {
    return news.standing();
  }

  /** Whether it is probed, and counted among those that live. */
  boolean present() {
    return standing() == MemberStatus.ALIVE || standing() == MemberStatus.SUSPECT;
  }
}
