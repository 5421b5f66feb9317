package ferngrade.faulttest.upgrade;

/** A harness thread that repeats a step until it is stopped. */
abstract class BackgroundLoop {
  private final Thread thread;
  private volatile boolean running = true;

  BackgroundLoop(String name) {
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /** Starts the thread; must be called only once. */
  final void start() {
    thread.start();
  }

  /** Executes one step, including its pause. */
  abstract void step() throws InterruptedException;

  /** Called on the thread after the last step. */
  void onStopped() {}

  /** Returns whether no stop of the loop was requested. */
  final boolean running() {
    return running;
  }

  private void run() {
    try {
      while (running) {
        step();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      onStopped();
    }
  }

  /** Stops the loop, and waits until the last step has ended. */
  final void stop() throws InterruptedException {
    running = false;
    thread.join();
  }
}
