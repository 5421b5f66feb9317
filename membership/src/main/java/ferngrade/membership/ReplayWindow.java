package ferngrade.membership;

/**
 * Which numbers of one sender have come: each counts once, and one far behind the highest counts no
 * more (RFC 4303, 3.4.3).
 */
final class ReplayWindow {
  private static final int WIDTH = 64;

  private long highest;
  private long seen;

  /** Whether this number, above 0, comes for the first time. */
  boolean first(long number) {
    if (number <= 0) {
      return false;
    }
    if (number > highest) {
      long shift = number - highest;
      seen = shift >= WIDTH ? 0 : seen << shift;
      seen |= 1;
      highest = number;
      return true;
    }
    long behind = highest - number;
    if (behind >= WIDTH || (seen >>> behind & 1) != 0) {
      return false;
    }
    seen |= 1L << behind;
    return true;
  }
}
