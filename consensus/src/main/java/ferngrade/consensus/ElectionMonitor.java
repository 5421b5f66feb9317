package ferngrade.consensus;

import ferngrade.node.Clock;
import java.util.SplittableRandom;

/**
 * Tracks when this member last had contact with a leader and last took part in an election, and
 * extends election timeouts at random accordingly.
 *
 * <p>The algorithm itself extends its election timeout by at most a tenth, which is less than a
 * round trip on a busy machine. Two voters then request votes at the same time and each votes for
 * itself, as long as the load lasts (36 s observed with real processes). This class therefore
 * extends the timeout by more, and doubles the extension with each election since the last contact
 * with a leader.
 */
final class ElectionMonitor {
  /**
   * The maximum random extension of the timeout for the first election, as a multiple of the
   * timeout. This maximum doubles with each further election, up to {@link #MAX_EXTENSION}.
   */
  private static final double FIRST_EXTENSION = 2;

  private static final double MAX_EXTENSION = 16;

  private final Clock clock;
  private final SplittableRandom random;
  private double leaderContactAt;
  private double campaignedAt;
  private double extension = FIRST_EXTENSION;

  ElectionMonitor(Clock clock, long seed) {
    this.clock = clock;
    this.random = new SplittableRandom(seed);
  }

  /** Records that a message of a leader has arrived. */
  void leaderContact() {
    resetLeaderContact();
    extension = FIRST_EXTENSION;
  }

  /**
   * Restarts the measurement of the time without a leader, after a period in which no message could
   * be received.
   */
  void resetLeaderContact() {
    leaderContactAt = clock.now();
  }

  /** Records that this member requests votes. */
  void campaigning() {
    campaignedAt = clock.now();
  }

  /** Returns an election timeout, ms, with a random extension. */
  double extend(double timeoutMillis) {
    double extended = timeoutMillis * (1 + extension * random.nextDouble());
    extension = Math.min(MAX_EXTENSION, 2 * extension);
    // The member waits for votes until the extended timeout. Until then, the member does not count
    // as idle.
    campaignedAt = clock.now() + extended;
    return extended;
  }

  /**
   * Returns whether there was neither contact with a leader nor an election for longer than {@code
   * millis}.
   */
  boolean idleLongerThan(double millis) {
    return clock.now() - Math.max(leaderContactAt, campaignedAt) > millis;
  }
}
