package ferngrade.emulator.judge;

import ferngrade.emulator.Clients;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;

/** Each request that a node has taken gets exactly one final answer, before its client gives up. */
public final class AnswerJudge extends Judge {
    /** A longer way than this from the client into the node's hands is not the network's, ms. */
    private static final double HELD_UP = 500;

    private final Map<Request, State> owed = new IdentityHashMap<>();

    private final Set<Integer> still = new HashSet<>();

    private enum State {
        OWED,
        /** It lay so long before a process that stood still that the node cannot know its deadline. */
        HELD_UP,
        /** The client gave up: it wants no answer, and it has had none in its time. */
        OVERDUE
    }

    /** A judge that has seen nothing yet. */
    public AnswerJudge() {
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
        } else if (state != State.HELD_UP && now > request.deadline + Clients.ANSWER_SLACK) {
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
            // It left early, by its own choice, or waited for a process that stood still: nothing is owed any more.
            owed.remove(request);
        } else if (owed.containsKey(request)) {
            owed.put(request, State.OVERDUE);
            breach(now, request + " had no answer when its client gave up");
        }
    }

    @Override
    public void finish(double now) {
        owed.forEach((request, state) -> {
            if (state == State.OWED) {
                breach(now, request + " never had an answer");
            }
        });
    }
}
