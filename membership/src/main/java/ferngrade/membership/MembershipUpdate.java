package ferngrade.membership;

/**
 * What one member says of one, itself or another.
 *
 * @param name the member's name
 * @param address where it takes datagrams, as {@code host:port}
 * @param run the process: a member that is started again under its name has another
 * @param incarnation counted up by the member alone, whenever it denies what is said of it
 * @param standing how it seems to be
 * @param by who says so
 */
public record MembershipUpdate(
    String name, String address, long run, long incarnation, MemberStatus standing, String by) {
  private static final int MOST_TEXT = 64;
  private static final int FIXED_BYTES = 28;

  /**
   * Whether this goes before what is known: a later incarnation, or at the same one what is worse.
   */
  boolean over(MembershipUpdate known) {
    return incarnation != known.incarnation
        ? incarnation > known.incarnation
        : standing.compareTo(known.standing) > 0;
  }

  /** The same with another standing. */
  MembershipUpdate as(MemberStatus other, String who) {
    return new MembershipUpdate(name, address, run, incarnation, other, who);
  }

  /** Whether all of it is there and within bounds: what strangers send may be anything. */
  boolean usable() {
    return bounded(name) && bounded(address) && bounded(by) && standing != null && incarnation >= 0;
  }

  private static boolean bounded(String text) {
    return text != null && !text.isEmpty() && text.length() <= MOST_TEXT;
  }

  /** How many bytes it takes at the most. */
  int bytes() {
    return FIXED_BYTES + name.length() + address.length() + by.length();
  }
}
