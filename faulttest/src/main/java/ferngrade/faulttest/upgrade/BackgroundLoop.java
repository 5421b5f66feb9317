package ferngrade.faulttest.upgrade;

/** A thread of the harness that repeats a step until it is stopped. */
abstract class BackgroundLoop {
  private final Thread thread;
  private volatile boolean running = true;

  BackgroundLoop(String name) {
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /** Begins to run; called once. */
  final void start() {
    thread.start();
  }

  /** Does one step, pauses included. */
  abstract void step() throws InterruptedException;

  /** Runs on the thread behind the last step. */
  void ended() {}

  /** False once the loop is told to stop. */
  final boolean running() {
    return running;
  }

  private void run() {
    try {
      while (running) {
        step();
      }
    } catch (InterruptedException ending) {
      Thread.currentThread().interrupt();
    } finally {
      ended();
    }
  }

  /** Returns once the last step is done. */
  final void stop() throws InterruptedException {
    running = false;
    thread.join();
  }
}
