package ferngrade.faulttest;

import ferngrade.faulttest.History.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks a trial's history against the safety invariants. */
public final class HistoryChecker {
  private HistoryChecker() {}

  static List<Violation> checkSafety(List<Event> events) {
    List<Violation> violations = new ArrayList<>();
    Map<String, Long> highestEpochs = new HashMap<>();
    Set<String> executed = new HashSet<>();
    Map<String, String> owners = new HashMap<>();
    for (Event event : events) {
      if (event.what().equals("landed")) {
        String shard = event.detail("shard");
        long epoch = Long.parseLong(event.detail("epoch"));
        long previous = highestEpochs.merge(shard, epoch, Math::max);
        if (epoch < previous) {
          violations.add(
              new Violation(
                  event.at(),
                  "fenced",
                  shard + " under epoch " + epoch + " was executed after epoch " + previous));
        }
        if (!executed.add(shard + "@" + event.detail("due"))) {
          violations.add(
              new Violation(
                  event.at(), "once", shard + " was executed twice for " + event.detail("due")));
        }
      } else if (event.what().equals("gained")) {
        String previous =
            owners.putIfAbsent(event.detail("shard") + " " + event.detail("epoch"), event.who());
        if (previous != null && !previous.equals(event.who())) {
          violations.add(
              new Violation(
                  event.at(),
                  "one owner",
                  previous
                      + " and "
                      + event.who()
                      + " both gained "
                      + event.detail("shard")
                      + " under epoch "
                      + event.detail("epoch")));
        }
      } else if (event.what().equals("fault:")) {
        violations.add(new Violation(event.at(), "no fault", event.detail("line")));
      }
    }
    return violations;
  }

  /** Returns a violation for each shard that a member lost after {@code from}. */
  static List<Violation> checkNoShardLost(List<Event> events, double from) {
    return events.stream()
        .filter(event -> event.at() > from && event.what().equals("lost"))
        .map(
            event ->
                new Violation(event.at(), "kept", event.who() + " lost " + event.detail("shard")))
        .toList();
  }

  /**
   * Checks the log lines that members wrote after {@code from}. Each text in {@code required} must
   * occur in one of them. No text in {@code forbidden} may occur in any of them.
   */
  static List<Violation> checkLogLines(
      List<Event> events, double from, List<String> required, List<String> forbidden) {
    List<Event> lines =
        events.stream()
            .filter(event -> event.at() > from && !event.detail("line").isEmpty())
            .toList();
    List<Violation> violations = new ArrayList<>();
    for (String text : required) {
      if (lines.stream().noneMatch(event -> event.detail("line").contains(text))) {
        violations.add(new Violation(from, "said", "no log line contains \"" + text + "\""));
      }
    }
    for (Event event : lines) {
      if (forbidden.stream().anyMatch(event.detail("line")::contains)) {
        violations.add(
            new Violation(event.at(), "never", event.who() + " logged " + event.detail("line")));
      }
    }
    return violations;
  }

  /**
   * Returns the longest time between two consecutive executions of a shard's job, in ms; 0 if there
   * are fewer than two.
   */
  public static double longestGap(List<Event> events, String shard) {
    double last = Double.NaN;
    double longest = 0;
    for (Event event : events) {
      if (event.what().equals("landed") && event.detail("shard").equals(shard)) {
        longest = Double.isNaN(last) ? 0 : Math.max(longest, event.at() - last);
        last = event.at();
      }
    }
    return longest;
  }
}
