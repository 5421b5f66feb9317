package ferngrade.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Gathers events for the dispatcher, hands them over together in one turn of the loop, and then
 * runs the actions that the dispatcher requested meanwhile. Belongs to the loop's thread.
 */
final class TurnQueue {
  private final Executor loop;
  private final RateLimitedLog log;
  private List<Runnable> events = new ArrayList<>();
  private List<Runnable> actions = new ArrayList<>();
  private boolean scheduled;

  TurnQueue(Executor loop, RateLimitedLog log) {
    this.loop = loop;
    this.log = log;
  }

  /** Adds an event, which is handed over in the next turn. */
  void event(Runnable event) {
    events.add(event);
    schedule();
  }

  /** Adds an action, which runs behind all events of the turn. */
  void action(Runnable action) {
    actions.add(action);
  }

  /** Sees to it that a turn comes, even if there is no event. */
  void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::turn);
    }
  }

  private void turn() {
    scheduled = false;
    List<Runnable> gathered = events;
    events = new ArrayList<>();
    gathered.forEach(this::guarded);
    List<Runnable> requested = actions;
    actions = new ArrayList<>();
    requested.forEach(this::guarded);
  }

  /** One event that fails must not affect the others; a request still has its final answer. */
  private void guarded(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException broken) {
      StackTraceElement[] trace = broken.getStackTrace();
      log.line(
          "module failed",
          "dispatcher event failed: " + broken + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
