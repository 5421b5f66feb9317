package ferngrade.server;

import ferngrade.http.HttpFrontend;
import ferngrade.http.ShutdownBudget;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import java.util.Locale;

/**
 * Shuts a node down gracefully on its event loop: drains its connections, answers all jobs within
 * the {@link ShutdownBudget}, and then closes the frontend.
 */
final class GracefulShutdown {
  private final HttpFrontend frontend;
  private final RequestCoordinator coordinator;
  private final Clock clock;
  private final Timers timers;
  private final RateLimitedLog log;
  private final Runnable handOver;
  private final Runnable stopAccepting;

  /**
   * Creates the shutdown of one node.
   *
   * @param handOver hands over to the other processes the resources that only one process of the
   *     node can hold
   * @param stopAccepting notifies the other processes that this one has stopped accepting jobs
   */
  GracefulShutdown(
      HttpFrontend frontend,
      RequestCoordinator coordinator,
      Clock clock,
      Timers timers,
      RateLimitedLog log,
      Runnable handOver,
      Runnable stopAccepting) {
    this.frontend = frontend;
    this.coordinator = coordinator;
    this.clock = clock;
    this.timers = timers;
    this.log = log;
    this.handOver = handOver;
    this.stopAccepting = stopAccepting;
  }

  /**
   * Begins the shutdown.
   *
   * @param requested the end times of its phases
   * @param acceptUntil the latest time at which the node stops accepting jobs, in ms on the clock
   * @param uncertainty the maximum time between the signal and its detection, in ms
   * @param whenDone runs once all accepted jobs are answered
   */
  void begin(ShutdownBudget requested, double acceptUntil, double uncertainty, Runnable whenDone) {
    log.line(
        "stopping"
            + (uncertainty > 0
                ? String.format(
                    Locale.ROOT, "; the signal may have come %.0f ms before", uncertainty)
                : ""));
    ShutdownBudget budget = frontend.drain(requested);
    handOver.run();
    coordinator.answerAllBy(budget.answersBy());
    timers.after(
        Math.min(acceptUntil, budget.acceptUntil()) - clock.now(),
        () -> {
          log.line("no more jobs are accepted");
          stopAccepting.run();
          frontend.finish(
              () -> {
                logEnd(budget);
                whenDone.run();
              });
        });
  }

  /** Logs the requests and connections that are still open at the end, by state and age. */
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
    frontend
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
