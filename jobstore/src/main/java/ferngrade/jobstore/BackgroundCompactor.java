package ferngrade.jobstore;

import java.io.IOException;
import java.util.Optional;

/**
 * Replaces closed logs by a snapshot on a separate thread, concurrently with commits. {@link
 * #compactBelow} and {@link #join} are called by one thread at a time.
 */
final class BackgroundCompactor {
  private final Storage storage;
  private volatile Optional<Thread> running = Optional.empty();
  private volatile Optional<IOException> failure = Optional.empty();
  private long compactedBelow = 1;

  BackgroundCompactor(Storage storage) {
    this.storage = storage;
  }

  /**
   * Starts a compaction of the logs with numbers below {@code logNumber}, which must be closed.
   * Does nothing if a compaction is running or there is no log to compact.
   */
  void compactBelow(long logNumber) {
    boolean busy = running.isPresent() && running.get().isAlive();
    if (busy || logNumber <= compactedBelow + 1) {
      return;
    }
    compactedBelow = logNumber;
    Thread thread = new Thread(() -> compact(logNumber), "store-compaction");
    thread.setDaemon(true);
    running = Optional.of(thread);
    thread.start();
  }

  private void compact(long logNumber) {
    try {
      LogCompactor.compact(storage, logNumber);
    } catch (IOException failed) {
      // The logs are kept and read at the next start, which reports any damage.
      failure = Optional.of(failed);
    }
  }

  /** Waits for the running compaction. */
  void join() throws InterruptedException {
    if (running.isPresent()) {
      running.get().join();
    }
  }

  /** Returns the failure of the last failed compaction. Any thread. */
  Optional<IOException> failure() {
    return failure;
  }
}
