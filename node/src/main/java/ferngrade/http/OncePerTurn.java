package ferngrade.http;

/**
 * Runs a task at most once in a turn of the event loop, however often it is asked for. Timers of
 * one turn that look at what has come share one look: what comes behind it has come behind the time
 * at which each of them was due. Belongs to the event loop.
 */
public final class OncePerTurn implements Runnable {
  private final ArrivalClock arrivals;
  private final Runnable task;
  private long lastTurn = -1;

  /** Runs {@code task} in the turns that {@code arrivals} counts. */
  public OncePerTurn(ArrivalClock arrivals, Runnable task) {
    this.arrivals = arrivals;
    this.task = task;
  }

  @Override
  public void run() {
    if (arrivals.turn() != lastTurn) {
      lastTurn = arrivals.turn();
      task.run();
    }
  }
}
