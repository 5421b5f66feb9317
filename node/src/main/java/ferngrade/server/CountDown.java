package ferngrade.server;

/** Runs a task once, on the last of a given number of calls. Not thread-safe. */
final class CountDown implements Runnable {
  private final Runnable task;
  private int remainingCalls;

  /** Creates a countdown that runs {@code task} on call number {@code calls}. */
  CountDown(int calls, Runnable task) {
    this.remainingCalls = calls;
    this.task = task;
  }

  @Override
  public void run() {
    if (--remainingCalls == 0) {
      task.run();
    }
  }
}
