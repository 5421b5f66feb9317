package ferngrade.jobstore;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes changes to the log on a dedicated thread with group commit: all changes queued when a sync
 * returns form the next batch. Under load many changes share a sync, and a single change waits for
 * one sync only. A batch whose write failed is written again after each {@link #retry}.
 */
final class GroupCommitWriter {
  /** The maximum number of changes in a batch, which bounds the buffer. */
  private static final int MAX_BATCH_CHANGES = 8192;

  /** Receives the results of writes on the writer's thread. */
  interface Listener {
    /** Reports that the changes are durable; the list may be empty. */
    void stored(List<PendingChange> changes);

    /** Reports a failed write; the next attempt waits for {@link GroupCommitWriter#retry}. */
    void failed(IOException failure);
  }

  private final WriteAheadLog log;
  private final BackgroundCompactor compactor;
  private final Listener listener;
  private final BlockingQueue<PendingChange> queue = new LinkedBlockingQueue<>();
  private final Semaphore retries = new Semaphore(0);
  private final AtomicLong syncs = new AtomicLong();
  private final Thread thread = new Thread(this::run, "store");
  private volatile boolean closing;

  /**
   * The failure of the last write attempt after {@link #close}; empty if all changes were stored.
   */
  private volatile Optional<IOException> unstored = Optional.empty();

  GroupCommitWriter(WriteAheadLog log, BackgroundCompactor compactor, Listener listener) {
    this.log = log;
    this.compactor = compactor;
    this.listener = listener;
  }

  void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues a change to be stored. Any thread. */
  void submit(PendingChange change) {
    queue.add(change);
  }

  /** Permits another attempt to write a failed batch. Any thread. */
  void retry() {
    retries.release();
  }

  /** The number of batches made durable so far. Any thread. */
  long syncs() {
    return syncs.get();
  }

  private void run() {
    try {
      boolean last = false;
      while (!last) {
        List<PendingChange> batch = new ArrayList<>();
        batch.add(queue.take());
        queue.drainTo(batch, MAX_BATCH_CHANGES - 1);
        last = batch.removeIf(PendingChange::last);
        if (!persist(recordsOf(batch))) {
          return;
        }
        listener.stored(List.copyOf(batch));
        if (!last) {
          compactor.compactBelow(log.logNumber());
        }
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static List<LogRecord> recordsOf(List<PendingChange> batch) {
    List<LogRecord> records = new ArrayList<>();
    batch.forEach(change -> records.addAll(change.records()));
    return records;
  }

  /**
   * Retries until the records are durable. Returns false if the last attempt after {@link #close}
   * failed too.
   */
  private boolean persist(List<LogRecord> records) throws InterruptedException {
    boolean lastAttempt = false;
    while (!records.isEmpty()) {
      try {
        log.commit(records);
        syncs.incrementAndGet();
        return true;
      } catch (IOException | RuntimeException broken) {
        IOException failure = broken instanceof IOException io ? io : new IOException(broken);
        if (lastAttempt) {
          unstored = Optional.of(failure);
          return false;
        }
        listener.failed(failure);
        retries.acquire();
        lastAttempt = closing;
      }
    }
    return true;
  }

  /**
   * Stores all submitted changes, waits for the threads to end and closes the log.
   *
   * @throws IOException if some changes could not be stored; it is unknown whether a recovery finds
   *     them
   */
  void close() throws IOException {
    closing = true;
    queue.add(PendingChange.endMarker());
    retries.release();
    try {
      thread.join();
      compactor.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    log.close();
    if (unstored.isPresent()) {
      throw new IOException("pending changes were not stored", unstored.get());
    }
  }
}
