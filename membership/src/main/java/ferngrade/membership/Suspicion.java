package ferngrade.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * Computes how long a suspicion lasts before the suspected member is marked as failed (Lifeguard).
 * The timeout is long at first. It becomes shorter each time another member independently suspects
 * the same member. A member that is itself slow therefore has more time to receive a refutation of
 * its suspicion.
 */
final class Suspicion {
  /** The number of confirmations after which the timeout is at its minimum. */
  private static final int MAX_CONFIRMATIONS = 3;

  private final double began;
  private final double minMillis;
  private final double maxMillis;
  private final int confirmationsNeeded;
  private final Set<String> reporters = new HashSet<>();

  /**
   * Creates a suspicion that begins at {@code began}, ms, and lasts between {@code minMillis} and
   * {@code maxMillis}, in a fleet of {@code members} members; {@code first} is the member that
   * reported it first.
   */
  Suspicion(double began, double minMillis, double maxMillis, int members, String first) {
    this.began = began;
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.confirmationsNeeded = Math.max(0, Math.min(MAX_CONFIRMATIONS, members - 3));
    reporters.add(first);
  }

  /**
   * Adds a confirmation; returns false if the reporter is already counted or no further
   * confirmation is needed.
   */
  boolean confirm(String reporter) {
    return reporters.size() <= confirmationsNeeded && reporters.add(reporter);
  }

  /** Returns when the suspicion ends, ms. */
  double endsAt() {
    double shortening =
        confirmationsNeeded == 0
            ? 1
            : Math.min(1, Math.log(reporters.size()) / Math.log(confirmationsNeeded + 1));
    return began + maxMillis - (maxMillis - minMillis) * shortening;
  }
}
