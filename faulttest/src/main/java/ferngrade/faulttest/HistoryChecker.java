package ferngrade.faulttest;

import ferngrade.faulttest.History.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads a trial's history for what must never be. */
public final class HistoryChecker {
  private HistoryChecker() {}

  static List<Violation> judge(List<Event> events) {
    List<Violation> breaches = new ArrayList<>();
    Map<String, Long> highest = new HashMap<>();
    Set<String> landed = new HashSet<>();
    Map<String, String> owners = new HashMap<>();
    for (Event each : events) {
      if (each.what().equals("landed")) {
        String shard = each.detail("shard");
        long epoch = Long.parseLong(each.detail("epoch"));
        long before = highest.merge(shard, epoch, Math::max);
        if (epoch < before) {
          breaches.add(
              new Violation(
                  each.at(), "fenced", shard + " under " + epoch + " landed after " + before));
        }
        if (!landed.add(shard + "@" + each.detail("due"))) {
          breaches.add(
              new Violation(each.at(), "once", shard + " landed twice for " + each.detail("due")));
        }
      } else if (each.what().equals("gained")) {
        String before =
            owners.putIfAbsent(each.detail("shard") + " " + each.detail("epoch"), each.who());
        if (before != null && !before.equals(each.who())) {
          breaches.add(
              new Violation(
                  each.at(),
                  "one owner",
                  before
                      + " and "
                      + each.who()
                      + " had "
                      + each.detail("shard")
                      + " under "
                      + each.detail("epoch")));
        }
      } else if (each.what().equals("fault:")) {
        breaches.add(new Violation(each.at(), "no fault", each.detail("line")));
      }
    }
    return breaches;
  }

  /** Nobody may lose a duty from this time on. */
  static List<Violation> kept(List<Event> events, double from) {
    return events.stream()
        .filter(each -> each.at() > from && each.what().equals("lost"))
        .map(each -> new Violation(each.at(), "kept", each.who() + " lost " + each.detail("shard")))
        .toList();
  }

  /**
   * From this time on, each of the first texts must be in some line of a member's log, and none of
   * the others in any.
   */
  static List<Violation> said(
      List<Event> events, double from, List<String> must, List<String> never) {
    List<Event> lines =
        events.stream().filter(each -> each.at() > from && !each.detail("line").isEmpty()).toList();
    List<Violation> breaches = new ArrayList<>();
    for (String text : must) {
      if (lines.stream().noneMatch(each -> each.detail("line").contains(text))) {
        breaches.add(new Violation(from, "said", "nobody has said \"" + text + "\""));
      }
    }
    for (Event each : lines) {
      if (never.stream().anyMatch(each.detail("line")::contains)) {
        breaches.add(
            new Violation(each.at(), "never", each.who() + " says " + each.detail("line")));
      }
    }
    return breaches;
  }

  /** The longest time, ms, in which nothing of a shard landed, from the first that did. */
  public static double longestGap(List<Event> events, String shard) {
    double last = Double.NaN;
    double longest = 0;
    for (Event each : events) {
      if (each.what().equals("landed") && each.detail("shard").equals(shard)) {
        longest = Double.isNaN(last) ? 0 : Math.max(longest, each.at() - last);
        last = each.at();
      }
    }
    return longest;
  }
}
