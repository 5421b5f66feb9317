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
 * Holds the tasks of the algorithm back from a failed write of the log until a retry has worked,
 * with backoff. A task in which the write failed counts as lost, as a message that never came; only
 * the leader's flush is run again, since the algorithm waits for it before it submits another.
 */
final class StorageSuspension {
  /** Ms until a failing disk is tried again: at first, and at the most. */
  private static final double RETRY_FIRST = 20;

  private static final double RETRY_MAX = 1_000;

  /** What makes the log usable again; an {@link IOException} says that the disk still fails. */
  @FunctionalInterface
  interface Retry {
    /** Tries once. */
    void run() throws IOException;
  }

  private final Timers timers;
  private final Executor loop;
  private final Backoff backoff = new Backoff(RETRY_FIRST, RETRY_MAX);
  private final Deque<Runnable> held = new ArrayDeque<>();
  private boolean active;

  StorageSuspension(Timers timers, Executor loop) {
    this.timers = timers;
    this.loop = loop;
  }

  /** Whether the disk fails at present. */
  boolean active() {
    return active;
  }

  /** Runs a task of the algorithm, now or once the disk works again. */
  void run(Runnable task) {
    if (active) {
      held.add(task);
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
      held.addFirst(task);
    }
  }

  /** Holds tasks back until {@code retry} works, and then calls {@code over}. */
  void begin(Retry retry, Runnable over) {
    if (!active) {
      active = true;
      retryLater(retry, over);
    }
  }

  private void retryLater(Retry retry, Runnable over) {
    timers.after(
        backoff.next(),
        () -> {
          try {
            retry.run();
          } catch (IOException stillFailing) {
            retryLater(retry, over);
            return;
          }
          end();
          over.run();
        });
  }

  private void end() {
    active = false;
    backoff.reset();
    List<Runnable> tasks = new ArrayList<>(held);
    held.clear();
    tasks.forEach(each -> loop.execute(() -> run(each)));
  }
}
