package ferngrade.jobstore;

import java.io.IOException;
import java.util.Optional;

/**
 * Replaces closed logs by a snapshot on a thread of its own, beside the commits. {@link
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
   * Starts a compaction of the logs below this number, which must be closed, unless one is running
   * or there is none to compact.
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
      // The logs stay and are read at the next start, which reports what is wrong with them.
      failure = Optional.of(failed);
    }
  }

  /** Waits for the running compaction. */
  void join() throws InterruptedException {
    if (running.isPresent()) {
      running.get().join();
    }
  }

  /** Why a compaction failed; any thread may ask. */
  Optional<IOException> failure() {
    return failure;
  }
}
