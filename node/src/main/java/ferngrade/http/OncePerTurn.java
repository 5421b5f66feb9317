package ferngrade.http;

/**
 * Runs a task at most once per turn of the event loop, however often it is requested. Timers of the
 * same turn that read pending input share one read: any input that the read misses has arrived
 * after all of these timers were due. Confined to the event loop.
 */
public final class OncePerTurn implements Runnable {
  private final ArrivalClock arrivals;
  private final Runnable task;
  private long lastTurn = -1;

  /** Creates a task that runs at most once in each turn counted by {@code arrivals}. */
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
