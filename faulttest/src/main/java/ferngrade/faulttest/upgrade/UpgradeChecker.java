package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.JobResult;
import ferngrade.faulttest.upgrade.Observations.OperatorCall;
import ferngrade.faulttest.upgrade.Observations.Outcome;
import ferngrade.faulttest.upgrade.Observations.Send;
import ferngrade.faulttest.upgrade.Observations.Verb;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges what was observed of a run from outside, without knowledge of how the processes agree.
 * Stateless.
 */
public final class UpgradeChecker {
  /** A worker may get work for so long after it is out, ms: the drain rule's 250 and 50 for it. */
  static final double DRAIN_GRACE = 300;

  /** A call binds after so long even if it was answered no or not at all, ms. */
  static final double BINDS_AFTER = 1000;

  private UpgradeChecker() {}

  /** All violations, by rule. */
  public static List<Violation> check(Observations observations) {
    List<Violation> found = new ArrayList<>();
    found.addAll(sendsToWorkersOut(observations));
    found.addAll(repeatedJobs(observations));
    found.addAll(unansweredJobs(observations));
    return found;
  }

  /**
   * From the yes, or {@link #BINDS_AFTER} after a call that was not answered so, until the call
   * back a worker gets nothing new.
   */
  static List<Violation> sendsToWorkersOut(Observations observations) {
    List<Violation> found = new ArrayList<>();
    for (Send send : observations.sends()) {
      OperatorCall last = lastBinding(observations.calls(), send);
      if (last != null && last.verb() == Verb.DISABLE) {
        found.add(
            new Violation(
                send.at(),
                "sent to a worker that is out",
                String.format(
                    "job %s to %s from %s, %.0f ms after the call at process %d was answered %d",
                    send.job(),
                    send.worker(),
                    send.process(),
                    send.at() - last.answeredAt(),
                    last.pid(),
                    last.status())));
      }
    }
    return found;
  }

  /** The call on this send's worker that was in force when it came; null if there is none. */
  private static OperatorCall lastBinding(List<OperatorCall> calls, Send send) {
    OperatorCall binding = null;
    for (OperatorCall call : calls) {
      if (!send.worker().equals(call.worker()) || call.status() == 404) {
        continue;
      }
      boolean out = call.verb() == Verb.DISABLE;
      // A call back ends the ban from the moment it is made.
      double since = out ? bindsAt(call) + DRAIN_GRACE : call.calledAt();
      if (since <= send.at() && (binding == null || call.calledAt() >= binding.calledAt())) {
        binding = call;
      }
    }
    return binding;
  }

  private static double bindsAt(OperatorCall call) {
    return call.accepted() ? call.answeredAt() : call.calledAt() + BINDS_AFTER;
  }

  /** No worker gets a job twice, and none gets one that may not run twice after another has. */
  static List<Violation> repeatedJobs(Observations observations) {
    Map<String, JobKind> kinds = new HashMap<>();
    observations.results().forEach(each -> kinds.put(each.job(), each.kind()));
    Map<String, Send> first = new HashMap<>();
    List<Violation> found = new ArrayList<>();
    for (Send send : observations.sends()) {
      Send earlier = first.putIfAbsent(send.job() + " at " + send.worker(), send);
      if (earlier != null) {
        found.add(repeated(send, earlier, "sent twice to one worker"));
      }
      if (kinds.get(send.job()) == JobKind.ORDER) {
        earlier = first.putIfAbsent(send.job(), send);
        if (earlier != null) {
          found.add(repeated(send, earlier, "run twice"));
        }
      }
    }
    return found;
  }

  private static Violation repeated(Send send, Send earlier, String rule) {
    return new Violation(
        send.at(),
        rule,
        String.format(
            "job %s to %s from %s, to %s from %s %.0f ms before",
            send.job(),
            send.worker(),
            send.process(),
            earlier.worker(),
            earlier.process(),
            send.at() - earlier.at()));
  }

  /** Each request gets an answer. */
  static List<Violation> unansweredJobs(Observations observations) {
    List<Violation> found = new ArrayList<>();
    for (JobResult result : observations.results()) {
      if (result.outcome() == Outcome.CLOSED || result.outcome() == Outcome.UNANSWERED) {
        found.add(
            new Violation(
                result.endedAt(),
                "lost",
                String.format(
                    "job %s (%s) sent at %.0f ms: %s",
                    result.job(), result.kind().label, result.sentAt(), result.outcome())));
      }
    }
    return found;
  }
}
