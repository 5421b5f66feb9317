package ferngrade.http;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;

/**
 * The phases of a frontend's graceful shutdown, each entered once, on the event loop. {@link
 * ShutdownBudget} says when each ends at the latest.
 */
final class FrontendShutdown {
  /**
   * How long a node whose last job is answered waits for clients to read their responses and close,
   * ms; less if the budget ends.
   */
  private static final double LINGER = 1000;

  private final ConnectionTable<ClientConnection> connections;
  private final IntSupplier jobsInFlight;
  private final Listening listening;
  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private Phase phase = Phase.SERVING;

  /** Null while no shutdown has been requested. */
  private ShutdownBudget budget;

  private Runnable whenDone;

  /** The frontend's listener. */
  interface Listening {
    /** Accepts what waits, as far as there are places; closes behind the last that waits. */
    void acceptTheRest();

    /** True until the listener is closed. */
    boolean listens();

    /** Closes the listener, whatever waits there. */
    void close();
  }

  private enum Phase {
    SERVING,
    /** Each response closes its connection. */
    DRAINING,
    /** New jobs are rejected; those in flight wait for the workers' callbacks. */
    FINISHING,
    /** All jobs are answered; clients may still be reading. */
    LINGERING,
    ENDED
  }

  FrontendShutdown(
      ConnectionTable<ClientConnection> connections,
      IntSupplier jobsInFlight,
      Listening listening,
      Clock clock,
      Timers timers,
      Executor loop) {
    this.connections = connections;
    this.jobsInFlight = jobsInFlight;
    this.listening = listening;
    this.clock = clock;
    this.timers = timers;
    this.loop = loop;
  }

  /** True until a shutdown is requested. */
  boolean serving() {
    return phase == Phase.SERVING;
  }

  /** True from {@link #finish} on: new jobs are rejected. */
  boolean finishing() {
    return phase.compareTo(Phase.FINISHING) >= 0;
  }

  /** The budget of the shutdown in progress; null if there is none. */
  ShutdownBudget budget() {
    return budget;
  }

  /** Requests a shutdown; returns the budget of the first request, which is the one that counts. */
  ShutdownBudget drain(ShutdownBudget requested) {
    if (phase == Phase.SERVING) {
      phase = Phase.DRAINING;
      budget = requested;
    }
    return budget;
  }

  /**
   * Rejects new jobs, closes idle connections, and runs {@code done} once all is answered and read,
   * or the budget has ended. Requires {@link #drain} before.
   */
  void finish(Runnable done) {
    if (phase.compareTo(Phase.FINISHING) < 0) {
      phase = Phase.FINISHING;
      whenDone = done;
      connections.idle().forEach(ClientConnection::closeGracefully);
      at(budget.unfinishedUntil(), this::rejectUnfinished);
      at(budget.end(), this::end);
      advance();
    }
  }

  /**
   * Enters the next phase if its time has come: called when a job has been answered or a connection
   * has closed.
   */
  void advance() {
    if (phase == Phase.FINISHING && jobsInFlight.getAsInt() == 0) {
      linger();
      at(clock.now() + LINGER - ShutdownBudget.READING_REJECTIONS, this::rejectUnfinished);
      at(clock.now() + LINGER, this::end);
    }
    if (phase == Phase.LINGERING) {
      acceptTheRest();
      if (connections.isEmpty()) {
        end();
      }
    }
  }

  /** No callback is awaited any more: listening ends, and so do connections between requests. */
  private void linger() {
    phase = Phase.LINGERING;
    connections.open().forEach(ClientConnection::closeAfterReading);
    acceptTheRest();
  }

  /** What waits to be accepted gets its rejection as soon as there is a place for it. */
  private void acceptTheRest() {
    if (listening.listens()) {
      listening.acceptTheRest();
      connections.open().forEach(ClientConnection::closeAfterReading);
    }
  }

  /** Rejects requests that have arrived in part, so that nothing read goes unanswered. */
  private void rejectUnfinished() {
    if (phase == Phase.FINISHING) {
      linger();
    }
    connections.open().forEach(ClientConnection::rejectUnfinished);
  }

  private void end() {
    if (phase != Phase.ENDED) {
      phase = Phase.ENDED;
      listening.close();
      // In a process that was held up answers are due in this turn, too: they are written first.
      loop.execute(whenDone);
    }
  }

  private void at(double instant, Runnable task) {
    timers.after(instant - clock.now(), task);
  }
}
