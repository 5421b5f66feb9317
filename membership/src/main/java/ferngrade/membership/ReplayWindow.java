package ferngrade.membership;

/**
 * Tracks which sequence numbers of one sender have been received. Each number is accepted once;
 * numbers {@link #WIDTH} or more behind the highest are rejected (RFC 4303, section 3.4.3).
 */
final class ReplayWindow {
  private static final int WIDTH = 64;

  private long highest;
  private long receivedBits;

  /** Accepts a sequence number above 0; returns false if it was received before or is too old. */
  boolean accept(long number) {
    if (number <= 0) {
      return false;
    }
    if (number > highest) {
      long shift = number - highest;
      receivedBits = shift >= WIDTH ? 0 : receivedBits << shift;
      receivedBits |= 1;
      highest = number;
      return true;
    }
    long behind = highest - number;
    if (behind >= WIDTH || (receivedBits >>> behind & 1) != 0) {
      return false;
    }
    receivedBits |= 1L << behind;
    return true;
  }
}
