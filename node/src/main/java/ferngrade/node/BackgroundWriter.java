package ferngrade.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs writes to a disk on a {@link TaskScheduler}, so that the event loop never waits for them,
 * and retries one that fails with backoff until it succeeds. Any thread may request a write.
 */
final class BackgroundWriter {
  /** The pause after a first failure, ms; it doubles with each further one. */
  static final long RETRY_MIN = 20;

  /** The longest pause, ms: a process that is told to stop has time for one more attempt. */
  static final long RETRY_MAX = 500;

  private final String name;
  private final TaskScheduler scheduler;
  private final Consumer<String> log;
  private final Write write;

  /** Who waits for the next write; guarded by this object, as is all below. */
  private List<Runnable> waiting = new ArrayList<>();

  private long retryPause = RETRY_MIN;
  private boolean attemptScheduled;

  /** Writes all that was requested up to its call; it is repeated if it fails. */
  @FunctionalInterface
  interface Write {
    /** Returns once everything is on the disk. */
    void run() throws IOException;
  }

  /**
   * A writer of the file called {@code name}. {@code log} gets a line when writes begin to fail and
   * when they succeed again, on the scheduler's thread.
   */
  BackgroundWriter(String name, TaskScheduler scheduler, Consumer<String> log, Write write) {
    this.name = name;
    this.scheduler = scheduler;
    this.log = log;
    this.write = write;
  }

  /** Has a write run; {@code durable} runs on the scheduler's thread once one has succeeded. */
  synchronized void request(Runnable durable) {
    waiting.add(durable);
    if (!attemptScheduled) {
      attemptScheduled = true;
      scheduler.schedule(this::attempt, 0);
    }
  }

  private void attempt() {
    List<Runnable> served;
    synchronized (this) {
      served = waiting;
      waiting = new ArrayList<>();
    }
    try {
      write.run();
    } catch (IOException | RuntimeException failure) {
      retry(served, failure);
      return;
    }
    succeed();
    served.forEach(this::notifyDurable);
  }

  private void retry(List<Runnable> unserved, Exception failure) {
    long pause;
    synchronized (this) {
      unserved.addAll(waiting);
      waiting = unserved;
      pause = retryPause;
      retryPause = Math.min(RETRY_MAX, 2 * retryPause);
    }
    scheduler.schedule(this::attempt, pause);
    if (pause == RETRY_MIN) {
      log.accept(name + " is not stored yet, trying again: " + failure);
    }
  }

  private void succeed() {
    boolean hadFailed;
    synchronized (this) {
      hadFailed = retryPause > RETRY_MIN;
      retryPause = RETRY_MIN;
      attemptScheduled = !waiting.isEmpty();
      if (attemptScheduled) {
        scheduler.schedule(this::attempt, 0);
      }
    }
    if (hadFailed) {
      log.accept(name + " is stored");
    }
  }

  /**
   * One listener that fails must not keep the others from hearing, nor end the scheduler's thread.
   */
  private void notifyDurable(Runnable listener) {
    try {
      listener.run();
    } catch (RuntimeException failure) {
      log.accept(name + " is stored, but a listener failed: " + failure);
    }
  }
}
