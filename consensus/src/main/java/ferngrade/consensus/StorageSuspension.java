package ferngrade.consensus;

import ferngrade.jobstore.Backoff;
import ferngrade.node.Timers;
import io.microraft.impl.task.FlushTask;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Suspends the tasks of the algorithm after a failed write of the log. The write is retried with
 * backoff, and the tasks resume once it has succeeded. A task in which a write failed is dropped,
 * like a message that never arrived. The only exception is the leader's flush, which is run again
 * because the algorithm waits for this flush before it submits another. Confined to the member's
 * thread.
 */
final class StorageSuspension {
  /**
   * The delay before the first retry of a write to a failing disk, ms; {@link #MAX_RETRY_MILLIS}
   * bounds the later delays.
   */
  private static final double FIRST_RETRY_MILLIS = 20;

  private static final double MAX_RETRY_MILLIS = 1_000;

  /** Makes the log usable again. */
  @FunctionalInterface
  interface Retry {
    /** Makes one attempt; throws an {@link IOException} if the disk still fails. */
    void run() throws IOException;
  }

  private final Timers timers;
  private final Executor executor;
  private final Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS);
  private final Deque<Runnable> suspended = new ArrayDeque<>();
  private boolean active;

  StorageSuspension(Timers timers, Executor executor) {
    this.timers = timers;
    this.executor = executor;
  }

  /** Returns whether tasks are suspended because the disk fails. */
  boolean active() {
    return active;
  }

  /** Runs a task of the algorithm, immediately or once the disk works again. */
  void run(Runnable task) {
    if (active) {
      suspended.add(task);
      return;
    }
    try {
      task.run();
    } catch (RuntimeException failure) {
      if (!active) {
        throw failure;
      }
    }
    if (active && task instanceof FlushTask) {
      suspended.addFirst(task);
    }
  }

  /** Suspends tasks until {@code retry} succeeds, and then calls {@code onResumed}. */
  void begin(Retry retry, Runnable onResumed) {
    if (!active) {
      active = true;
      retryLater(retry, onResumed);
    }
  }

  private void retryLater(Retry retry, Runnable onResumed) {
    timers.after(
        backoff.next(),
        () -> {
          try {
            retry.run();
          } catch (IOException stillFailing) {
            retryLater(retry, onResumed);
            return;
          }
          resume();
          onResumed.run();
        });
  }

  private void resume() {
    active = false;
    backoff.reset();
    List<Runnable> tasks = new ArrayList<>(suspended);
    suspended.clear();
    tasks.forEach(task -> executor.execute(() -> run(task)));
  }
}
