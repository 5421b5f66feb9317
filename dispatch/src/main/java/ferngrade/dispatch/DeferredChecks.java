package ferngrade.dispatch;

import ferngrade.dispatch.Dispatcher.Actions;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleConsumer;

/** Runs checks of single requests when the host's timers expire. Event thread only. */
final class DeferredChecks {
  /** First token of this class; lower tokens are reserved for the dispatcher's own timers. */
  private static final long FIRST_TOKEN = 16;

  private final Actions actions;
  private final Map<Long, DoubleConsumer> byToken = new HashMap<>();
  private long nextToken = FIRST_TOKEN;

  DeferredChecks(Actions actions) {
    this.actions = actions;
  }

  /** Calls {@code check} with the current time once {@code delay} ms have passed. */
  void schedule(double delay, DoubleConsumer check) {
    byToken.put(nextToken, check);
    actions.scheduleTimer(delay, nextToken++);
  }

  /** Runs the check of an expired timer; ignores an unknown token. */
  void timerExpired(double now, long token) {
    DoubleConsumer check = byToken.remove(token);
    if (check != null) {
      check.accept(now);
    }
  }
}
