package ferngrade.emulator.invariant;

import ferngrade.emulator.Clients;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Set;

/**
 * Checks that each request that a node has accepted gets exactly one final answer, before the
 * client gives up.
 */
public final class FinalAnswerChecker extends InvariantChecker {
  /**
   * The maximum time between the due time of a request and its receipt by the node, in ms. If
   * delivery takes longer, the node is not expected to meet the client's deadline.
   */
  private static final double MAX_DELIVERY_MILLIS = Clients.ANSWER_SLACK_MILLIS / 2;

  private final IdentityHashMap<Request, State> openRequests = new IdentityHashMap<>();

  private final Set<Integer> pausedNodes = new HashSet<>();

  private enum State {
    /** The node has not answered yet and must answer. */
    OWED,
    /**
     * The request waited too long before the node read it, for example because the process was
     * paused, so the node does not know the client's actual deadline.
     */
    HELD_UP,
    /**
     * The client left before the deadline, or gave up on a paused process: an answer is permitted
     * but not required.
     */
    LEFT,
    /** The client gave up at the deadline without an answer. */
    OVERDUE
  }

  /** Creates a checker without open requests. */
  public FinalAnswerChecker() {
    super("one-answer");
  }

  @Override
  public void requestAccepted(double now, int node, Request request) {
    if (openRequests.put(
            request, now - request.due > MAX_DELIVERY_MILLIS ? State.HELD_UP : State.OWED)
        != null) {
      reportViolation(now, request + " was accepted twice");
    }
  }

  @Override
  public void requestLost(double now, Request request, String reason) {
    // The emulator lost the request or its answer: a missing answer is not the node's fault.
    openRequests.remove(request);
  }

  @Override
  public void requestAnswered(
      double now, int node, Request request, Answer answer, double retryAfter) {
    State state = openRequests.remove(request);
    if (state == null) {
      reportViolation(now, request + " was answered " + answer + " although no answer was owed");
    } else if (state == State.OWED && now > request.deadline + Clients.ANSWER_SLACK_MILLIS) {
      reportViolation(
          now, request + " was answered " + (now - request.deadline) + " ms after its deadline");
    }
  }

  @Override
  public void nodePauseChanged(double now, int node, boolean begins) {
    if (begins) {
      pausedNodes.add(node);
    } else {
      pausedNodes.remove(node);
    }
  }

  @Override
  public void requestEnded(double now, Request request, Answer answer) {
    if (answer != Answer.LEFT) {
      return;
    }
    boolean delayed =
        openRequests.get(request) == State.HELD_UP || pausedNodes.contains(request.node());
    if (now < request.deadline || delayed) {
      // A node that has not detected the disconnect yet may still answer once.
      openRequests.computeIfPresent(request, (key, before) -> State.LEFT);
    } else if (openRequests.containsKey(request)) {
      openRequests.put(request, State.OVERDUE);
      reportViolation(now, request + " was not answered before its client gave up");
    }
  }

  @Override
  public void finish(double now) {
    openRequests.forEach(
        (request, state) -> {
          if (state == State.OWED) {
            reportViolation(now, request + " was never answered");
          }
        });
  }
}
