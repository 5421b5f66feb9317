package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.JobResult;
import ferngrade.faulttest.upgrade.Observations.Outcome;
import ferngrade.faulttest.upgrade.Observations.Utilisation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks that idle capacity is used. Workers count as idle while fewer than a third of their slots
 * hold a job in progress, as counted by the workers. A series of rejections while workers are idle
 * is a violation if it lasts longer than {@link #MAX_REJECTING_MILLIS} without a break. Stateless.
 */
public final class IdleCapacityChecker {
  /** The maximum duration of rejections while workers are idle, ms. */
  static final double MAX_REJECTING_MILLIS = 1000;

  /** The share of the slots below which workers count as idle. */
  static final double IDLE_SHARE = 1.0 / 3;

  /** The maximum time between two rejections of the same series, ms. */
  static final double MAX_GAP_MILLIS = 250;

  private IdleCapacityChecker() {}

  /**
   * Returns a violation for each series of rejections that lasted too long while workers were idle.
   */
  public static List<Violation> check(Observations observations) {
    List<Violation> violations = new ArrayList<>();
    List<Utilisation> utilisations = observations.utilisations();
    double seriesStart = Double.NaN;
    double last = Double.NaN;
    int count = 0;
    for (JobResult rejected : rejections(observations)) {
      double at = rejected.endedAt();
      boolean continues = at - last <= MAX_GAP_MILLIS && idleBetween(utilisations, last, at);
      if (!continues) {
        addIfTooLong(violations, seriesStart, last, count);
        seriesStart = at;
        count = 0;
      }
      last = at;
      count++;
    }
    addIfTooLong(violations, seriesStart, last, count);
    return violations;
  }

  private static List<JobResult> rejections(Observations observations) {
    return observations.results().stream()
        .filter(result -> result.outcome() == Outcome.REFUSED)
        .sorted(Comparator.comparingDouble(JobResult::endedAt))
        .toList();
  }

  /** Returns whether no sample in this interval shows the workers busy. */
  private static boolean idleBetween(List<Utilisation> utilisations, double from, double to) {
    return utilisations.stream()
        .filter(sample -> sample.at() >= from && sample.at() <= to)
        .allMatch(sample -> sample.jobsInProgress() < IDLE_SHARE * sample.slots());
  }

  private static void addIfTooLong(List<Violation> violations, double from, double to, int count) {
    if (to - from > MAX_REJECTING_MILLIS) {
      violations.add(
          new Violation(
              from,
              "rejected beside idle workers",
              String.format("%d requests in %.0f ms without a break", count, to - from)));
    }
  }
}
