package ferngrade.consensus;

import ferngrade.node.Clock;
import java.util.SplittableRandom;

/**
 * When this member last had contact with a leader and last took part in an election, and the random
 * extension of election timeouts that follows from it.
 *
 * <p>The algorithm extends its election timeout by a tenth at most, which is less than a round trip
 * on a busy machine: two voters then request votes at the same time, and each votes for itself, for
 * as long as that lasts (36 s observed with real processes). Here the timeout is extended by more,
 * and by more again with each election since the last contact with a leader.
 */
final class ElectionMonitor {
  /** By how many times itself a timeout is extended at random: at first, and at most. */
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

  /** A message of a leader has arrived. */
  void leaderContact() {
    resetLeaderContact();
    extension = FIRST_EXTENSION;
  }

  /** Counts the time without a leader from now on, after a time in which none could be received. */
  void resetLeaderContact() {
    leaderContactAt = clock.now();
  }

  /** This member requests votes. */
  void campaigning() {
    campaignedAt = clock.now();
  }

  /** Extends an election timeout, ms, at random. */
  double extend(double timeoutMillis) {
    double extended = timeoutMillis * (1 + extension * random.nextDouble());
    extension = Math.min(MAX_EXTENSION, 2 * extension);
    // It waits for votes until then, so it is not stuck.
    campaignedAt = clock.now() + extended;
    return extended;
  }

  /** True if there was neither contact with a leader nor an election for longer than this, ms. */
  boolean idleLongerThan(double millis) {
    return clock.now() - Math.max(leaderContactAt, campaignedAt) > millis;
  }
}
