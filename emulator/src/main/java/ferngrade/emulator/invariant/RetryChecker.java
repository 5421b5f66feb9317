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
 * Nothing that may have run goes out again unless its class allows it; a worker has one attempt of
 * a request at a time; and what may have run is not called refused.
 */
public final class RetryChecker extends InvariantChecker {
  private final Scenario scenario;
  private final IdentityHashMap<Request, List<Sent>> sent = new IdentityHashMap<>();

  private static final class Sent {
    final EmulatedWorker worker;
    final double at;
    boolean out = true;
    boolean neverRan;

    Sent(EmulatedWorker worker, double at) {
      this.worker = worker;
      this.at = at;
    }
  }

  /** A judge for the classes of this scenario. */
  public RetryChecker(Scenario scenario) {
    super("no-repeat");
    this.scenario = scenario;
  }

  @Override
  public void sent(double now, int node, EmulatedWorker worker, Request request) {
    List<Sent> before = sent.computeIfAbsent(request, key -> new ArrayList<>(2));
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    Sent doubtful = null;
    int out = 0;
    for (Sent each : before) {
      out += each.out ? 1 : 0;
      if (each.out && each.worker == worker) {
        breach(now, request + " has two attempts at " + worker);
      }
      if (!each.neverRan && doubtful == null) {
        doubtful = each;
      }
    }
    if (out > 0 && !scenario.secondCopies) {
      breach(now, request + " has two copies out");
    }
    if (doubtful != null && !allows(spec, doubtful, worker, now)) {
      breach(
          now, request + " went to " + worker + " although it may have run at " + doubtful.worker);
    }
    before.add(new Sent(worker, now));
  }

  private static boolean allows(ClassSpec spec, Sent doubtful, EmulatedWorker worker, double now) {
    if (spec.effect == Idempotency.SAFE) {
      return true;
    }
    boolean group =
        spec.scope == IdempotencyScope.ALL
            || (spec.scope == IdempotencyScope.ZONE && doubtful.worker.zone == worker.zone)
            || (spec.scope == IdempotencyScope.CELL && doubtful.worker.cell == worker.cell);
    return spec.effect == Idempotency.KEYED && group && now <= doubtful.at + spec.window;
  }

  @Override
  public void attemptOver(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    for (Sent each : sent.getOrDefault(request, List.of())) {
      if (each.worker == worker && each.out) {
        each.out = false;
        each.neverRan = outcome == AttemptOutcome.FULL || outcome == AttemptOutcome.CONNECT_FAILED;
      }
    }
  }

  @Override
  public void answered(double now, int node, Request request, Answer answer, double retryAfter) {
    List<Sent> before = sent.remove(request);
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    boolean harmless =
        spec.effect == Idempotency.SAFE
            || (spec.effect == Idempotency.KEYED && spec.scope == IdempotencyScope.ALL);
    if (answer == Answer.REFUSED
        && before != null
        && !harmless
        && before.stream().anyMatch(each -> !each.neverRan)) {
      breach(now, request + " was called refused although it may have run");
    }
  }

  @Override
  public void lost(double now, Request request, String why) {
    sent.remove(request);
  }

  @Override
  public void ended(double now, Request request, Answer answer) {
    if (answer == Answer.LEFT) {
      sent.remove(request);
    }
  }
}
