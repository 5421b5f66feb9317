package ferngrade.server;

import ferngrade.http.HttpFrontend;
import ferngrade.http.RequestIdClaims;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;

/**
 * The start of a process beside other processes of its node: it joins them, and accepts clients
 * only then. Used on the event loop only.
 */
final class ProcessJoin {
  /**
   * The maximum time for which a starting process leaves new connections to its predecessor until
   * it is ready, in ms.
   */
  private static final double MAX_ACCEPT_PAUSE_MILLIS = 500;

  /**
   * The maximum time for which a starting process leaves new connections to a predecessor that does
   * not answer its call to join, in ms.
   */
  private static final double MAX_JOIN_WAIT_MILLIS = 500;

  private final RequestIdClaims requestIds;
  private final SharedState sharedState;
  private final HttpFrontend frontend;
  private final RequestCoordinator coordinator;
  private final Timers timers;

  ProcessJoin(
      RequestIdClaims requestIds,
      SharedState sharedState,
      HttpFrontend frontend,
      RequestCoordinator coordinator,
      Timers timers) {
    this.requestIds = requestIds;
    this.sharedState = sharedState;
    this.frontend = frontend;
    this.coordinator = coordinator;
    this.timers = timers;
  }

  /** Leaves new connections to a predecessor that serves, until {@link #start} has ended. */
  void pauseAccepting() {
    if (sharedState.othersRun()) {
      frontend.pauseAccepting(true);
    }
  }

  /**
   * Joins the other processes, while a predecessor serves only once this process is ready. Accepts
   * clients afterwards, after a maximum time in any case.
   */
  void start() {
    Runnable join = new CountDown(1, () -> requestIds.join(() -> frontend.pauseAccepting(false)));
    if (sharedState.othersRun()) {
      coordinator.onReady(join);
      timers.after(MAX_ACCEPT_PAUSE_MILLIS, join);
    } else {
      join.run();
    }
    timers.after(
        MAX_ACCEPT_PAUSE_MILLIS + MAX_JOIN_WAIT_MILLIS, () -> frontend.pauseAccepting(false));
  }
}
