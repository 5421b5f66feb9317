package ferngrade.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * How long a suspicion lasts: long at first, and shorter with each further member that says the
 * same by itself (Lifeguard). One whose own messages are slow so has time to hear a denial.
 */
final class Suspicion {
  /** Members that must confirm it until it lasts shortest. */
  private static final int ENOUGH = 3;

  private final double began;
  private final double shortest;
  private final double longest;
  private final int enough;
  private final Set<String> by = new HashSet<>();

  /** A suspicion from this time on, ms, that lasts between these, among so many members. */
  Suspicion(double began, double shortest, double longest, int members, String first) {
    this.began = began;
    this.shortest = shortest;
    this.longest = longest;
    this.enough = Math.max(0, Math.min(ENOUGH, members - 3));
    by.add(first);
  }

  /** Another says the same; false if that is known, or enough have said so. */
  boolean confirm(String who) {
    return by.size() <= enough && by.add(who);
  }

  /** When it ends, ms. */
  double until() {
    double share = enough == 0 ? 1 : Math.min(1, Math.log(by.size()) / Math.log(enough + 1));
    return began + longest - (longest - shortest) * share;
  }
}
