package ferngrade.emulator.invariant;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.IdempotencyScope;
import ferngrade.emulator.ClassSpec;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import ferngrade.emulator.Scenario;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;

/**
 * Checks that a job that may have run is retried only if its class allows it, that a worker has at
 * most one attempt of a request at a time, and that a job that may have run is not rejected unless
 * its class allows a repeat on every worker.
 */
public final class RetryChecker extends InvariantChecker {
  private final Scenario scenario;
  private final IdentityHashMap<Request, List<Attempt>> sent = new IdentityHashMap<>();

  private static final class Attempt {
    final EmulatedWorker worker;
    final double sentAt;
    boolean inFlight = true;
    boolean neverRan;

    Attempt(EmulatedWorker worker, double sentAt) {
      this.worker = worker;
      this.sentAt = sentAt;
    }
  }

  /** Creates a checker for the job classes of a scenario. */
  public RetryChecker(Scenario scenario) {
    super("no-repeat");
    this.scenario = scenario;
  }

  @Override
  public void attemptSent(double now, int node, EmulatedWorker worker, Request request) {
    List<Attempt> earlierAttempts = sent.computeIfAbsent(request, key -> new ArrayList<>(2));
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    Attempt possiblyRan = null;
    int inFlight = 0;
    for (Attempt attempt : earlierAttempts) {
      inFlight += attempt.inFlight ? 1 : 0;
      if (attempt.inFlight && attempt.worker == worker) {
        reportViolation(now, request + " has two attempts at " + worker);
      }
      if (!attempt.neverRan && possiblyRan == null) {
        possiblyRan = attempt;
      }
    }
    if (inFlight > 0 && !scenario.secondCopies) {
      reportViolation(now, request + " has two attempts in flight");
    }
    if (possiblyRan != null && !mayRetry(spec, possiblyRan, worker, now)) {
      reportViolation(
          now,
          request
              + " was sent to "
              + worker
              + " although it may have run at "
              + possiblyRan.worker);
    }
    earlierAttempts.add(new Attempt(worker, now));
  }

  private static boolean mayRetry(
      ClassSpec spec, Attempt possiblyRan, EmulatedWorker worker, double now) {
    if (spec.effect == Idempotency.SAFE) {
      return true;
    }
    boolean sameGroup =
        spec.scope == IdempotencyScope.ALL
            || (spec.scope == IdempotencyScope.ZONE && possiblyRan.worker.zone == worker.zone)
            || (spec.scope == IdempotencyScope.CELL && possiblyRan.worker.cell == worker.cell);
    return spec.effect == Idempotency.KEYED && sameGroup && now <= possiblyRan.sentAt + spec.window;
  }

  @Override
  public void attemptEnded(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    for (Attempt attempt : sent.getOrDefault(request, List.of())) {
      if (attempt.worker == worker && attempt.inFlight) {
        attempt.inFlight = false;
        attempt.neverRan =
            outcome == AttemptOutcome.FULL || outcome == AttemptOutcome.CONNECT_FAILED;
      }
    }
  }

  @Override
  public void requestAnswered(
      double now, int node, Request request, Answer answer, double retryAfter) {
    List<Attempt> earlierAttempts = sent.remove(request);
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    boolean mayRunAgain =
        spec.effect == Idempotency.SAFE
            || (spec.effect == Idempotency.KEYED && spec.scope == IdempotencyScope.ALL);
    if (answer == Answer.REFUSED
        && earlierAttempts != null
        && !mayRunAgain
        && earlierAttempts.stream().anyMatch(attempt -> !attempt.neverRan)) {
      reportViolation(now, request + " was rejected although it may have run");
    }
  }

  @Override
  public void requestLost(double now, Request request, String reason) {
    sent.remove(request);
  }

  @Override
  public void requestEnded(double now, Request request, Answer answer) {
    if (answer == Answer.LEFT) {
      sent.remove(request);
    }
  }
}
