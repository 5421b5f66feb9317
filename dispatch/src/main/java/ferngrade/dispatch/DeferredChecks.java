package ferngrade.dispatch;

import ferngrade.dispatch.Dispatcher.Actions;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleConsumer;

/** What is to be done with single requests when the host's timers expire. Event thread only. */
final class DeferredChecks {
  /** Lower tokens are left to the dispatcher's own timers. */
  private static final long FIRST_TOKEN = 16;

  private final Actions actions;
  private final Map<Long, DoubleConsumer> byToken = new HashMap<>();
  private long nextToken = FIRST_TOKEN;

  DeferredChecks(Actions actions) {
    this.actions = actions;
  }

  /** Calls {@code check} with the time at which the delay, in ms, has passed. */
  void schedule(double delay, DoubleConsumer check) {
    byToken.put(nextToken, check);
    actions.timer(delay, nextToken++);
  }

  /** Takes a timer's expiry; an unknown token is ignored. */
  void timerExpired(double now, long token) {
    DoubleConsumer check = byToken.remove(token);
    if (check != null) {
      check.accept(now);
    }
  }
}
