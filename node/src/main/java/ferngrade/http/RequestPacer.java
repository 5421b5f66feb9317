package ferngrade.http;

import ferngrade.node.Timers;

/**
 * Limits the number of requests that one turn of the event loop decodes and answers: one per
 * connection, and a fixed number of further requests over all connections. The other requests wait
 * for the next turn, so that a client that sends many requests at once delays neither timers nor
 * other connections. Confined to the event loop.
 */
final class RequestPacer {
  /**
   * The maximum number of steps in one turn beyond the first step of each connection. Decoding a
   * request is one step, and answering it is another.
   */
  static final int MAX_FURTHER_STEPS = 32;

  private final ArrivalClock arrivals;
  private final Timers timers;
  private long turn;
  private int furtherSteps;

  RequestPacer(ArrivalClock arrivals, Timers timers) {
    this.arrivals = arrivals;
    this.timers = timers;
  }

  /** Returns the clock that counts the turns and provides the arrival times of their input. */
  ArrivalClock arrivals() {
    return arrivals;
  }

  /** Creates the share of one connection. */
  Share newShare() {
    return new Share();
  }

  /** Runs a task in the next turn of the event loop, after the reads of that turn. */
  void nextTurn(Runnable task) {
    timers.after(0, task);
  }

  private boolean takeFurtherStep() {
    if (turn != arrivals.turn()) {
      turn = arrivals.turn();
      furtherSteps = 0;
    }
    if (furtherSteps >= MAX_FURTHER_STEPS) {
      return false;
    }
    furtherSteps++;
    return true;
  }

  /** The share of one connection in the requests of a turn. */
  final class Share {
    private long lastTurn = -1;

    /** Returns true if the connection may decode or answer one more request in this turn. */
    boolean tryAcquire() {
      boolean first = lastTurn != arrivals.turn();
      lastTurn = arrivals.turn();
      return first || takeFurtherStep();
    }
  }
}
