package ferngrade.emulator.invariant;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import ferngrade.emulator.Scenario;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * A request that is given up is answered at once: no refusal comes long after the last thing that
 * happened to its request, be that its arrival or the end of an attempt.
 */
public final class RejectionChecker extends InvariantChecker {
  /** What a loop and a busy moment may take, ms. */
  private static final double PROMPT = 100;

  private final double allowed;
  private final IdentityHashMap<Request, Double> lastEvent = new IdentityHashMap<>();
  private final Map<Integer, Double> resumed = new HashMap<>();

  /** A judge for nodes with the scenario's round. */
  public RejectionChecker(Scenario scenario) {
    super("prompt-refusal");
    this.allowed = PROMPT + scenario.roundMs;
  }

  @Override
  public void taken(double now, int node, Request request) {
    lastEvent.put(request, now);
  }

  @Override
  public void sent(double now, int node, EmulatedWorker worker, Request request) {
    lastEvent.computeIfPresent(request, (key, before) -> now);
  }

  @Override
  public void attemptOver(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    lastEvent.computeIfPresent(request, (key, before) -> now);
  }

  @Override
  public void paused(double now, int node, boolean begins) {
    if (!begins) {
      resumed.put(node, now);
    }
  }

  @Override
  public void answered(double now, int node, Request request, Answer answer, double retryAfter) {
    Double last = lastEvent.remove(request);
    if (answer != Answer.REFUSED || last == null) {
      return;
    }
    double from = Math.max(last, resumed.getOrDefault(node, Double.NEGATIVE_INFINITY));
    if (now > from + allowed) {
      breach(
          now, request + " was refused " + (now - from) + " ms after anything had happened to it");
    }
  }

  @Override
  public void lost(double now, Request request, String why) {
    lastEvent.remove(request);
  }

  @Override
  public void ended(double now, Request request, Answer answer) {
    if (answer == Answer.LEFT) {
      lastEvent.remove(request);
    }
  }
}
