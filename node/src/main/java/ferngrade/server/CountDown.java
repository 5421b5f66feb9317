package ferngrade.server;

/** Runs a task with the last of so many calls, and never again. Belongs to one thread. */
final class CountDown implements Runnable {
  private final Runnable task;
  private int left;

  /** Runs {@code task} with call number {@code calls}. */
  CountDown(int calls, Runnable task) {
    this.left = calls;
    this.task = task;
  }

  @Override
  public void run() {
    if (--left == 0) {
      task.run();
    }
  }
}
