package ferngrade.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs disk writes on a {@link TaskScheduler}, so that the event loop never waits for them, and
 * retries a failed write with backoff until it succeeds. Any thread may request a write.
 */
final class BackgroundWriter {
  /** The delay before the first retry, ms; it doubles with each further failure. */
  static final long MIN_RETRY_DELAY_MILLIS = 20;

  /**
   * The maximum delay before a retry, ms; short enough that a process that is asked to stop has
   * time for one more attempt.
   */
  static final long MAX_RETRY_DELAY_MILLIS = 500;

  private final String name;
  private final TaskScheduler scheduler;
  private final Consumer<String> log;
  private final Write write;

  /**
   * The listeners to notify after the next successful write. Guarded by this object, as are the
   * fields below.
   */
  private List<Runnable> pendingListeners = new ArrayList<>();

  private long retryDelay = MIN_RETRY_DELAY_MILLIS;
  private boolean attemptScheduled;

  /** Writes everything that was requested before its call; called again if it fails. */
  @FunctionalInterface
  interface Write {
    /** Returns once everything is on disk. */
    void run() throws IOException;
  }

  /**
   * Creates a writer for the file called {@code name}. {@code log} receives a line when writes
   * start to fail and when they succeed again; it is called on the scheduler's thread.
   */
  BackgroundWriter(String name, TaskScheduler scheduler, Consumer<String> log, Write write) {
    this.name = name;
    this.scheduler = scheduler;
    this.log = log;
    this.write = write;
  }

  /**
   * Requests a write. {@code durable} runs on the scheduler's thread once a later write has
   * succeeded.
   */
  synchronized void request(Runnable durable) {
    pendingListeners.add(durable);
    if (!attemptScheduled) {
      attemptScheduled = true;
      scheduler.schedule(this::attempt, 0);
    }
  }

  private void attempt() {
    List<Runnable> listeners;
    synchronized (this) {
      listeners = pendingListeners;
      pendingListeners = new ArrayList<>();
    }
    try {
      write.run();
    } catch (IOException | RuntimeException failure) {
      retry(listeners, failure);
      return;
    }
    succeed();
    listeners.forEach(this::notifyDurable);
  }

  private void retry(List<Runnable> unnotified, Exception failure) {
    long delay;
    synchronized (this) {
      unnotified.addAll(pendingListeners);
      pendingListeners = unnotified;
      delay = retryDelay;
      retryDelay = Math.min(MAX_RETRY_DELAY_MILLIS, 2 * retryDelay);
    }
    scheduler.schedule(this::attempt, delay);
    if (delay == MIN_RETRY_DELAY_MILLIS) {
      log.accept(name + " is not stored yet, trying again: " + failure);
    }
  }

  private void succeed() {
    boolean hadFailed;
    synchronized (this) {
      hadFailed = retryDelay > MIN_RETRY_DELAY_MILLIS;
      retryDelay = MIN_RETRY_DELAY_MILLIS;
      attemptScheduled = !pendingListeners.isEmpty();
      if (attemptScheduled) {
        scheduler.schedule(this::attempt, 0);
      }
    }
    if (hadFailed) {
      log.accept(name + " is stored");
    }
  }

  /**
   * Calls one listener. A listener that throws must not prevent the other listeners from being
   * notified, nor terminate the scheduler's thread.
   */
  private void notifyDurable(Runnable listener) {
    try {
      listener.run();
    } catch (RuntimeException failure) {
      log.accept(name + " is stored, but a listener failed: " + failure);
    }
  }
}
