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
 * Checks that a request is rejected promptly: a rejection must follow soon after the last event of
 * its request, which is its arrival or the start or end of an attempt.
 */
public final class RejectionChecker extends InvariantChecker {
  /** The time allowed for a turn of the event loop and a short load peak, in ms. */
  private static final double PROMPT_MILLIS = 100;

  private final double allowedMillis;
  private final IdentityHashMap<Request, Double> lastEvent = new IdentityHashMap<>();
  private final Map<Integer, Double> resumedAt = new HashMap<>();

  /** Creates a checker for nodes that decide once per round of the scenario. */
  public RejectionChecker(Scenario scenario) {
    super("prompt-refusal");
    this.allowedMillis = PROMPT_MILLIS + scenario.roundMs;
  }

  @Override
  public void requestAccepted(double now, int node, Request request) {
    lastEvent.put(request, now);
  }

  @Override
  public void attemptSent(double now, int node, EmulatedWorker worker, Request request) {
    lastEvent.computeIfPresent(request, (key, before) -> now);
  }

  @Override
  public void attemptEnded(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    lastEvent.computeIfPresent(request, (key, before) -> now);
  }

  @Override
  public void nodePauseChanged(double now, int node, boolean begins) {
    if (!begins) {
      resumedAt.put(node, now);
    }
  }

  @Override
  public void requestAnswered(
      double now, int node, Request request, Answer answer, double retryAfter) {
    Double last = lastEvent.remove(request);
    if (answer != Answer.REFUSED || last == null) {
      return;
    }
    double eventAt = Math.max(last, resumedAt.getOrDefault(node, Double.NEGATIVE_INFINITY));
    if (now > eventAt + allowedMillis) {
      reportViolation(
          now, request + " was rejected " + (now - eventAt) + " ms after its last event");
    }
  }

  @Override
  public void requestLost(double now, Request request, String reason) {
    lastEvent.remove(request);
  }

  @Override
  public void requestEnded(double now, Request request, Answer answer) {
    if (answer == Answer.LEFT) {
      lastEvent.remove(request);
    }
  }
}
