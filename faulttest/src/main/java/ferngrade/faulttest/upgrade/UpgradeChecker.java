package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.Fault;
import ferngrade.faulttest.upgrade.Observations.JobResult;
import ferngrade.faulttest.upgrade.Observations.OperatorCall;
import ferngrade.faulttest.upgrade.Observations.Outcome;
import ferngrade.faulttest.upgrade.Observations.ResourceSample;
import ferngrade.faulttest.upgrade.Observations.Send;
import ferngrade.faulttest.upgrade.Observations.Verb;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges what was observed of a run from outside, without knowledge of how the processes agree.
 * Stateless.
 */
public final class UpgradeChecker {
  /** A worker may get work for so long after it is out, ms: the drain rule's 250 and 50 for it. */
  static final double DRAIN_GRACE = 300;

  /** A call binds after so long even if it was answered no or not at all, ms. */
  static final double BINDS_AFTER = 1000;

  /** How long after a fault connections may still break of it, ms. */
  private static final double FAULT_MARGIN = 100;

  private UpgradeChecker() {}

  /**
   * All violations, by rule. Where a {@code crowd} fills the node's descriptors, it may shut new
   * connections unread.
   */
  public static List<Violation> check(Observations observations, boolean crowd) {
    List<Violation> found = new ArrayList<>();
    found.addAll(sendsToWorkersOut(observations));
    found.addAll(repeatedJobs(observations));
    found.addAll(unansweredJobs(observations, crowd));
    found.addAll(lostCallbacks(observations));
    return found;
  }

  /** The processes of the node together keep the limits of its configuration. */
  public static List<Violation> limits(Observations observations, NodeLimits limits) {
    List<Violation> found = new ArrayList<>();
    for (ResourceSample sample : observations.samples()) {
      if (sample.descriptors() > limits.descriptors()) {
        found.add(
            new Violation(
                sample.at(),
                "descriptors",
                sample.processes() + " processes hold " + sample.descriptors()));
      }
      if (sample.memoryBytes() > (long) limits.memoryMb() << 20) {
        found.add(
            new Violation(
                sample.at(),
                "memory",
                sample.processes() + " processes hold " + (sample.memoryBytes() >> 20) + " MB"));
      }
    }
    return found;
  }

  /**
   * Jobs that were in work while the harness killed or stopped a process: any of them may have been
   * that process's.
   */
  private static Set<String> excusedJobs(Observations observations) {
    Set<String> excused = new HashSet<>();
    List<Fault> faults = observations.faults();
    for (int i = 0; i + 1 < faults.size(); i += 2) {
      double from = faults.get(i).at() - FAULT_MARGIN;
      double to = faults.get(i + 1).at() + FAULT_MARGIN;
      for (JobResult result : observations.results()) {
        if (result.sentAt() <= to && result.endedAt() >= from) {
          excused.add(result.job());
        }
      }
    }
    return excused;
  }

  /** A worker's callback is answered, in the end, by the process that has the job. */
  static List<Violation> lostCallbacks(Observations observations) {
    Set<String> excused = excusedJobs(observations);
    return observations.lostCallbacks().stream()
        .filter(job -> !excused.contains(job))
        .map(job -> new Violation(observations.now(), "callback", "never answered for job " + job))
        .toList();
  }

  /**
   * From the yes, or {@link #BINDS_AFTER} after a call that was not answered so, until the call
   * back a worker gets nothing new.
   */
  static List<Violation> sendsToWorkersOut(Observations observations) {
    List<Violation> found = new ArrayList<>();
    List<OperatorCall> calls = observations.calls();
    for (Send send : observations.sends()) {
      OperatorCall last = lastBinding(calls, send);
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
    Set<String> excused = excusedJobs(observations);
    Map<String, Send> first = new HashMap<>();
    List<Violation> found = new ArrayList<>();
    for (Send send : observations.sends()) {
      if (excused.contains(send.job())) {
        continue;
      }
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

  /** Each request that the node has read gets an answer. */
  static List<Violation> unansweredJobs(Observations observations, boolean crowd) {
    Set<String> excused = excusedJobs(observations);
    if (crowd) {
      Set<String> sent = new HashSet<>();
      observations.sends().forEach(each -> sent.add(each.job()));
      observations.results().stream()
          .filter(each -> each.outcome() == Outcome.CLOSED && !sent.contains(each.job()))
          .forEach(each -> excused.add(each.job()));
    }
    List<Violation> found = new ArrayList<>();
    for (JobResult result : observations.results()) {
      boolean lost = result.outcome() == Outcome.CLOSED || result.outcome() == Outcome.UNANSWERED;
      if (lost && !excused.contains(result.job())) {
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
