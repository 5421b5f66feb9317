package ferngrade.server;

import ferngrade.http.HttpFrontend;
import ferngrade.http.ShutdownBudget;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import java.util.Locale;

/**
 * Stops a node in order, on its event loop: drains its connections, answers all jobs within the
 * {@link ShutdownBudget}, and then lets the frontend finish.
 */
final class GracefulShutdown {
  private final HttpFrontend front;
  private final RequestCoordinator coordinator;
  private final Clock clock;
  private final Timers timers;
  private final RateLimitedLog log;
  private final Runnable handOver;
  private final Runnable finishing;

  /**
   * {@code handOver} leaves what only one process of the node can have to the others, {@code
   * finishing} tells them that this one accepts no more jobs.
   */
  GracefulShutdown(
      HttpFrontend front,
      RequestCoordinator coordinator,
      Clock clock,
      Timers timers,
      RateLimitedLog log,
      Runnable handOver,
      Runnable finishing) {
    this.front = front;
    this.coordinator = coordinator;
    this.clock = clock;
    this.timers = timers;
    this.log = log;
    this.handOver = handOver;
    this.finishing = finishing;
  }

  /**
   * Begins a shutdown.
   *
   * @param requested the times of its phases
   * @param acceptUntil when the node stops accepting jobs at the latest, ms on the clock
   * @param uncertainty by how much earlier the signal may have come than it was noticed, ms
   * @param whenDone runs once everything accepted has been answered
   */
  void begin(ShutdownBudget requested, double acceptUntil, double uncertainty, Runnable whenDone) {
    log.line(
        "stopping"
            + (uncertainty > 0
                ? String.format(
                    Locale.ROOT, "; the signal may have come %.0f ms before", uncertainty)
                : ""));
    ShutdownBudget budget = front.drain(requested);
    handOver.run();
    coordinator.answerAllBy(budget.answersBy());
    timers.after(
        Math.min(acceptUntil, budget.acceptUntil()) - clock.now(),
        () -> {
          log.line("no more jobs are accepted");
          finishing.run();
          front.finish(
              () -> {
                logEnd(budget);
                whenDone.run();
              });
        });
  }

  /** What was still open when the shutdown ended, by state and age. */
  private void logEnd(ShutdownBudget budget) {
    StringBuilder open = new StringBuilder();
    coordinator
        .openByState()
        .forEach(
            (state, requests) ->
                open.append(
                    String.format(
                        Locale.ROOT,
                        ", %d requests %s, the oldest %.0f ms",
                        requests.count(),
                        state,
                        requests.oldest())));
    front
        .openConnections()
        .forEach(
            (state, count) ->
                open.append(
                    String.format(Locale.ROOT, ", %d client connections %s", count, state)));
    log.line(
        String.format(
            Locale.ROOT,
            "shutdown ends %.0f ms before its budget%s",
            budget.end() - clock.now(),
            open.isEmpty()
                ? ", all accepted jobs are answered"
                : ", still open: " + open.substring(2)));
  }
}
