package ferngrade.http;

import ferngrade.node.Timers;

/**
 * Bounds the requests that one turn of the event loop decodes and answers: one of each connection,
 * and so many further ones of all connections together. What is beyond that waits for the next
 * turn, so that a client that sends many requests at once holds up neither timers nor other
 * connections. Belongs to the event loop.
 */
final class RequestPacer {
  /** Steps beyond the first of each connection in one turn; a request is decoded and answered. */
  static final int MAX_FURTHER_STEPS = 32;

  private final ArrivalClock arrivals;
  private final Timers timers;
  private long turn;
  private int furtherSteps;

  RequestPacer(ArrivalClock arrivals, Timers timers) {
    this.arrivals = arrivals;
    this.timers = timers;
  }

  /** Which turns there are, and when what they read may have come. */
  ArrivalClock arrivals() {
    return arrivals;
  }

  /** The part of one connection. */
  Share newShare() {
    return new Share();
  }

  /** Runs a task in the next turn of the loop, behind the reads of that turn. */
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

  /** What one connection may do in a turn. */
  final class Share {
    private long lastTurn = -1;

    /** True if the connection may decode or answer one more request in this turn. */
    boolean tryAcquire() {
      boolean first = lastTurn != arrivals.turn();
      lastTurn = arrivals.turn();
      return first || takeFurtherStep();
    }
  }
}
