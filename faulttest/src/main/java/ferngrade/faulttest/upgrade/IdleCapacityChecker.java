package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.JobResult;
import ferngrade.faulttest.upgrade.Observations.Outcome;
import ferngrade.faulttest.upgrade.Observations.Utilisation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Idle capacity is used: no requests are rejected for more than {@link #LONGEST} on end while the
 * workers' own count of work in hand stands under a third of their slots. Stateless.
 */
public final class IdleCapacityChecker {
  /** For how long requests may be rejected while workers are idle, ms. */
  static final double LONGEST = 1000;

  /** The part of the slots under which workers count as idle. */
  static final double IDLE_SHARE = 1.0 / 3;

  /** Two rejections with no more than this between them belong together, ms. */
  static final double GAP = 250;

  private IdleCapacityChecker() {}

  /** A violation for each stretch of rejections beside idle workers that lasted too long. */
  public static List<Violation> check(Observations observations) {
    List<Violation> found = new ArrayList<>();
    List<Utilisation> utilisations = observations.utilisations();
    double begun = Double.NaN;
    double last = Double.NaN;
    int count = 0;
    for (JobResult rejected : rejections(observations)) {
      double at = rejected.endedAt();
      boolean continues = at - last <= GAP && idleBetween(utilisations, last, at);
      if (!continues) {
        addIfTooLong(found, begun, last, count);
        begun = at;
        count = 0;
      }
      last = at;
      count++;
    }
    addIfTooLong(found, begun, last, count);
    return found;
  }

  private static List<JobResult> rejections(Observations observations) {
    return observations.results().stream()
        .filter(each -> each.outcome() == Outcome.REFUSED)
        .sorted(Comparator.comparingDouble(JobResult::endedAt))
        .toList();
  }

  /** True if no sample of this time shows the workers busy. */
  private static boolean idleBetween(List<Utilisation> utilisations, double from, double to) {
    return utilisations.stream()
        .filter(each -> each.at() >= from && each.at() <= to)
        .allMatch(each -> each.inWork() < IDLE_SHARE * each.slots());
  }

  private static void addIfTooLong(List<Violation> found, double from, double to, int count) {
    if (to - from > LONGEST) {
      found.add(
          new Violation(
              from,
              "rejected beside idle workers",
              String.format("%d requests in %.0f ms on end", count, to - from)));
    }
  }
}
