package ferngrade.membership;

/**
 * The status of a member, as reported by the member itself or by another member.
 *
 * @param name the member's name
 * @param address where the member receives datagrams, as {@code host:port}
 * @param run a number that identifies the member's process and changes with each restart
 * @param incarnation incremented only by the member itself, whenever it refutes a wrong update
 * @param standing the member's status
 * @param by the name of the member that reported the status
 */
public record MembershipUpdate(
    String name, String address, long run, long incarnation, MemberStatus standing, String by) {
  private static final int MAX_TEXT_LENGTH = 64;
  private static final int FIXED_BYTES = 28;

  /**
   * Returns whether this update supersedes the known one: it has a higher incarnation, or the same
   * incarnation and a worse status.
   */
  boolean supersedes(MembershipUpdate known) {
    return incarnation != known.incarnation
        ? incarnation > known.incarnation
        : standing.compareTo(known.standing) > 0;
  }

  /** Returns this update with another status and reporter. */
  MembershipUpdate withStatus(MemberStatus status, String reporter) {
    return new MembershipUpdate(name, address, run, incarnation, status, reporter);
  }

  /**
   * Returns whether all components are present and within bounds; updates from the network may
   * contain anything.
   */
  boolean isValid() {
    return hasValidLength(name)
        && hasValidLength(address)
        && hasValidLength(by)
        && standing != null
        && incarnation >= 0;
  }

  private static boolean hasValidLength(String text) {
    return text != null && !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH;
  }

  /** Returns the maximum encoded size, bytes. */
  int maxEncodedBytes() {
    return FIXED_BYTES + name.length() + address.length() + by.length();
  }
}
