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
 * Checks the observations of a run from outside, without knowledge of the protocol between the
 * processes. Stateless.
 */
public final class UpgradeChecker {
  /**
   * The time, ms, for which a worker may still receive jobs after it was disabled: the 250 ms that
   * the drain rule permits, plus a margin of 50 ms.
   */
  static final double DRAIN_GRACE_MILLIS = 300;

  /**
   * The time, ms, after which a call is considered to be in effect even if it was rejected or not
   * answered.
   */
  static final double BINDS_AFTER_MILLIS = 1000;

  /** The time before and after a fault within which connections may break because of it, ms. */
  private static final double FAULT_MARGIN_MILLIS = 100;

  private UpgradeChecker() {}

  /**
   * Returns the violations of all rules. If {@code idleConnections} is true, idle connections may
   * exhaust the node's descriptors. The node may then close new connections without reading the
   * request.
   */
  public static List<Violation> check(Observations observations, boolean idleConnections) {
    List<Violation> violations = new ArrayList<>();
    violations.addAll(sendsToDisabledWorkers(observations));
    violations.addAll(repeatedJobs(observations));
    violations.addAll(unansweredJobs(observations, idleConnections));
    violations.addAll(lostCallbacks(observations));
    return violations;
  }

  /**
   * Returns a violation for each sample in which the processes of the node together exceed the
   * limits of the configuration.
   */
  public static List<Violation> limits(Observations observations, NodeLimits limits) {
    List<Violation> violations = new ArrayList<>();
    for (ResourceSample sample : observations.samples()) {
      if (sample.descriptors() > limits.descriptors()) {
        violations.add(
            new Violation(
                sample.at(),
                "descriptors",
                sample.processes() + " processes hold " + sample.descriptors()));
      }
      if (sample.memoryBytes() > (long) limits.memoryMb() << 20) {
        violations.add(
            new Violation(
                sample.at(),
                "memory",
                sample.processes() + " processes hold " + (sample.memoryBytes() >> 20) + " MB"));
      }
    }
    return violations;
  }

  /**
   * Returns the jobs that were in progress while the harness killed or stopped a process. That
   * process may have handled any of these jobs.
   */
  private static Set<String> excusedJobs(Observations observations) {
    Set<String> excused = new HashSet<>();
    List<Fault> faults = observations.faults();
    for (int i = 0; i + 1 < faults.size(); i += 2) {
      double from = faults.get(i).at() - FAULT_MARGIN_MILLIS;
      double to = faults.get(i + 1).at() + FAULT_MARGIN_MILLIS;
      for (JobResult result : observations.results()) {
        if (result.sentAt() <= to && result.endedAt() >= from) {
          excused.add(result.job());
        }
      }
    }
    return excused;
  }

  /** Returns a violation for each callback that was never answered. */
  static List<Violation> lostCallbacks(Observations observations) {
    Set<String> excused = excusedJobs(observations);
    return observations.lostCallbacks().stream()
        .filter(job -> !excused.contains(job))
        .map(job -> new Violation(observations.now(), "callback", "never answered for job " + job))
        .toList();
  }

  /**
   * Returns a violation for each job sent to a disabled worker. A worker counts as disabled from
   * the positive answer to a disable call until the enable call. If the disable call has no
   * positive answer, the worker counts as disabled from {@link #BINDS_AFTER_MILLIS} after the call.
   */
  static List<Violation> sendsToDisabledWorkers(Observations observations) {
    List<Violation> violations = new ArrayList<>();
    List<OperatorCall> calls = observations.calls();
    for (Send send : observations.sends()) {
      OperatorCall last = lastCallInForce(calls, send);
      if (last != null && last.verb() == Verb.DISABLE) {
        violations.add(
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
    return violations;
  }

  /**
   * Returns the call about this worker that was in force when the job arrived, null if there is
   * none.
   */
  private static OperatorCall lastCallInForce(List<OperatorCall> calls, Send send) {
    OperatorCall inForce = null;
    for (OperatorCall call : calls) {
      if (!send.worker().equals(call.worker()) || call.status() == 404) {
        continue;
      }
      boolean disables = call.verb() == Verb.DISABLE;
      // An enable call is in force from the time at which it is made.
      double since = disables ? inForceSince(call) + DRAIN_GRACE_MILLIS : call.calledAt();
      if (since <= send.at() && (inForce == null || call.calledAt() >= inForce.calledAt())) {
        inForce = call;
      }
    }
    return inForce;
  }

  private static double inForceSince(OperatorCall call) {
    return call.accepted() ? call.answeredAt() : call.calledAt() + BINDS_AFTER_MILLIS;
  }

  /**
   * Returns a violation for each job sent twice to the same worker, and for each job that must not
   * run twice and was sent to a second worker.
   */
  static List<Violation> repeatedJobs(Observations observations) {
    Map<String, JobKind> kinds = new HashMap<>();
    observations.results().forEach(result -> kinds.put(result.job(), result.kind()));
    Set<String> excused = excusedJobs(observations);
    Map<String, Send> first = new HashMap<>();
    List<Violation> violations = new ArrayList<>();
    for (Send send : observations.sends()) {
      if (excused.contains(send.job())) {
        continue;
      }
      Send earlier = first.putIfAbsent(send.job() + " at " + send.worker(), send);
      if (earlier != null) {
        violations.add(repeatedSend(send, earlier, "sent twice to one worker"));
      }
      if (kinds.get(send.job()) == JobKind.ORDER) {
        earlier = first.putIfAbsent(send.job(), send);
        if (earlier != null) {
          violations.add(repeatedSend(send, earlier, "run twice"));
        }
      }
    }
    return violations;
  }

  private static Violation repeatedSend(Send send, Send earlier, String rule) {
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

  /** Returns a violation for each request that the node has read and not answered. */
  static List<Violation> unansweredJobs(Observations observations, boolean idleConnections) {
    Set<String> excused = excusedJobs(observations);
    if (idleConnections) {
      Set<String> sent = new HashSet<>();
      observations.sends().forEach(send -> sent.add(send.job()));
      observations.results().stream()
          .filter(result -> result.outcome() == Outcome.CLOSED && !sent.contains(result.job()))
          .forEach(result -> excused.add(result.job()));
    }
    List<Violation> violations = new ArrayList<>();
    for (JobResult result : observations.results()) {
      boolean lost = result.outcome() == Outcome.CLOSED || result.outcome() == Outcome.UNANSWERED;
      if (lost && !excused.contains(result.job())) {
        violations.add(
            new Violation(
                result.endedAt(),
                "lost",
                String.format(
                    "job %s (%s) sent at %.0f ms: %s",
                    result.job(), result.kind().label, result.sentAt(), result.outcome())));
      }
    }
    return violations;
  }
}
