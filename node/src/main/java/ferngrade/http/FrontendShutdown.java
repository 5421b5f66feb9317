package ferngrade.http;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;

/**
 * Runs the phases of the frontend's graceful shutdown on the event loop, each of them once. {@link
 * ShutdownBudget} holds the latest end of each phase.
 */
final class FrontendShutdown {
  /**
   * The maximum time after the last job is answered in which clients may read their responses and
   * close, in ms; shorter if the budget ends earlier.
   */
  private static final double MAX_LINGER_MILLIS = 1000;

  private final ConnectionTable<ClientConnection> connections;
  private final IntSupplier jobsInFlight;
  private final ListenerControl listener;
  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private Phase phase = Phase.SERVING;

  /** The budget of the shutdown; null until one is requested. */
  private ShutdownBudget budget;

  private Runnable whenDone;

  /** The frontend's listener. */
  interface ListenerControl {
    /**
     * Accepts the waiting connections while there is capacity, and closes the listener when none is
     * left.
     */
    void acceptWaiting();

    /** Returns true until the listener is closed. */
    boolean isListening();

    /** Closes the listener, even if connections are waiting. */
    void close();
  }

  private enum Phase {
    SERVING,
    /** Each response closes its connection. */
    DRAINING,
    /** New jobs are rejected; jobs in flight wait for the workers' callbacks. */
    FINISHING,
    /** All jobs are answered; clients may still be reading responses. */
    LINGERING,
    ENDED
  }

  FrontendShutdown(
      ConnectionTable<ClientConnection> connections,
      IntSupplier jobsInFlight,
      ListenerControl listener,
      Clock clock,
      Timers timers,
      Executor loop) {
    this.connections = connections;
    this.jobsInFlight = jobsInFlight;
    this.listener = listener;
    this.clock = clock;
    this.timers = timers;
    this.loop = loop;
  }

  /** Returns true until a shutdown is requested. */
  boolean serving() {
    return phase == Phase.SERVING;
  }

  /** Returns true after {@link #finish} was called: new jobs are rejected. */
  boolean finishing() {
    return phase.compareTo(Phase.FINISHING) >= 0;
  }

  /** Returns the budget of the shutdown in progress, or null if there is none. */
  ShutdownBudget budget() {
    return budget;
  }

  /**
   * Requests a shutdown. Returns the budget of the first request, which later requests do not
   * change.
   */
  ShutdownBudget drain(ShutdownBudget requested) {
    if (phase == Phase.SERVING) {
      phase = Phase.DRAINING;
      budget = requested;
    }
    return budget;
  }

  /**
   * Rejects new jobs, closes idle connections, and runs {@code done} when all responses are written
   * and read or when the budget ends. {@link #drain} has to be called first.
   */
  void finish(Runnable done) {
    if (phase.compareTo(Phase.FINISHING) < 0) {
      phase = Phase.FINISHING;
      whenDone = done;
      connections.idle().forEach(ClientConnection::closeGracefully);
      scheduleAt(budget.partialRequestsUntil(), this::rejectPartialRequests);
      scheduleAt(budget.end(), this::end);
      advance();
    }
  }

  /**
   * Enters the next phase if its condition holds. Called when a job has been answered or a
   * connection has closed.
   */
  void advance() {
    if (phase == Phase.FINISHING && jobsInFlight.getAsInt() == 0) {
      linger();
      scheduleAt(
          clock.now() + MAX_LINGER_MILLIS - ShutdownBudget.READ_REJECTION_MILLIS,
          this::rejectPartialRequests);
      scheduleAt(clock.now() + MAX_LINGER_MILLIS, this::end);
    }
    if (phase == Phase.LINGERING) {
      acceptWaiting();
      if (connections.isEmpty()) {
        end();
      }
    }
  }

  /**
   * Closes the listener and the connections without a request in progress, since no callbacks are
   * expected any more.
   */
  private void linger() {
    phase = Phase.LINGERING;
    connections.open().forEach(ClientConnection::closeAfterReading);
    acceptWaiting();
  }

  /**
   * Accepts the waiting connections as capacity allows, so that their requests are rejected and not
   * reset.
   */
  private void acceptWaiting() {
    if (listener.isListening()) {
      listener.acceptWaiting();
      connections.open().forEach(ClientConnection::closeAfterReading);
    }
  }

  /** Rejects partially received requests, so that every request that was read gets a response. */
  private void rejectPartialRequests() {
    if (phase == Phase.FINISHING) {
      linger();
    }
    connections.open().forEach(ClientConnection::rejectIfPartial);
  }

  private void end() {
    if (phase != Phase.ENDED) {
      phase = Phase.ENDED;
      listener.close();
      // After a pause of the process, answers may be due in this turn too. The task is deferred so
      // that they are written first.
      loop.execute(whenDone);
    }
  }

  private void scheduleAt(double time, Runnable task) {
    timers.after(time - clock.now(), task);
  }
}
