package ferngrade.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Collects events for the dispatcher, processes them together in one turn of the event loop, and
 * then runs the actions that the dispatcher requested while it processed them. Confined to the
 * event loop's thread.
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

  /** Adds an event, which the next turn processes. */
  void event(Runnable event) {
    events.add(event);
    schedule();
  }

  /** Adds an action, which runs after all events of the turn. */
  void action(Runnable action) {
    actions.add(action);
  }

  /** Schedules a turn, even if there is no event. */
  void schedule() {
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::turn);
    }
  }

  private void turn() {
    scheduled = false;
    List<Runnable> turnEvents = events;
    events = new ArrayList<>();
    turnEvents.forEach(this::runSafely);
    List<Runnable> turnActions = actions;
    actions = new ArrayList<>();
    turnActions.forEach(this::runSafely);
  }

  /**
   * Runs one event or action. If it throws, the others still run, and the request still gets its
   * final answer.
   */
  private void runSafely(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException failure) {
      StackTraceElement[] trace = failure.getStackTrace();
      log.line(
          "dispatcher event failed",
          "dispatcher event failed: " + failure + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
