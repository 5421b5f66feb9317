package ferngrade.emulator.invariant;

import ferngrade.emulator.Clients;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Set;

/** Each request that a node has taken gets exactly one final answer, before its client gives up. */
public final class FinalAnswerChecker extends InvariantChecker {
  /**
   * After a longer way than this into the hands of the node it cannot keep the deadline as its
   * client counts it, ms.
   */
  private static final double HELD_UP = Clients.ANSWER_SLACK / 2;

  private final IdentityHashMap<Request, State> owed = new IdentityHashMap<>();

  private final Set<Integer> still = new HashSet<>();

  private enum State {
    OWED,
    /** It lay so long before a process that stood still that the node cannot know its deadline. */
    HELD_UP,
    /**
     * Its client has left by its own choice, or waited for a process that stood still: no answer is
     * owed.
     */
    LEFT,
    /** The client gave up: it wants no answer, and it has had none in its time. */
    OVERDUE
  }

  /** A judge that has seen nothing yet. */
  public FinalAnswerChecker() {
    super("one-answer");
  }

  @Override
  public void taken(double now, int node, Request request) {
    if (owed.put(request, now - request.due > HELD_UP ? State.HELD_UP : State.OWED) != null) {
      breach(now, request + " was taken twice");
    }
  }

  @Override
  public void lost(double now, Request request, String why) {
    // The emulator itself lost it: whatever is missing from here on is not the program's doing.
    owed.remove(request);
  }

  @Override
  public void answered(double now, int node, Request request, Answer answer, double retryAfter) {
    State state = owed.remove(request);
    if (state == null) {
      breach(now, request + " was answered " + answer + " although no answer was owed");
    } else if (state == State.OWED && now > request.deadline + Clients.ANSWER_SLACK) {
      breach(now, request + " was answered " + (now - request.deadline) + " ms after its deadline");
    }
  }

  @Override
  public void paused(double now, int node, boolean begins) {
    if (begins) {
      still.add(node);
    } else {
      still.remove(node);
    }
  }

  @Override
  public void ended(double now, Request request, Answer answer) {
    if (answer != Answer.LEFT) {
      return;
    }
    boolean heldUp = owed.get(request) == State.HELD_UP || still.contains(request.node());
    if (now < request.deadline || heldUp) {
      // A node that has not heard of it yet may answer all the same, once.
      owed.computeIfPresent(request, (key, before) -> State.LEFT);
    } else if (owed.containsKey(request)) {
      owed.put(request, State.OVERDUE);
      breach(now, request + " had no answer when its client gave up");
    }
  }

  @Override
  public void finish(double now) {
    owed.forEach(
        (request, state) -> {
          if (state == State.OWED) {
            breach(now, request + " never had an answer");
          }
        });
  }
}
