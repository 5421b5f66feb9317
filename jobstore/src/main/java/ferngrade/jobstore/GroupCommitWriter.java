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
 * The thread that writes changes to the log. Whatever waits when a sync returns goes into the next
 * batch, so many changes share a sync under load, and a single one waits for its own alone (group
 * commit). A batch that could not be written is written again after each {@link #retry}.
 */
final class GroupCommitWriter {
  /** Changes in a batch at most, so that its buffer stays bounded. */
  private static final int MAX_BATCH_CHANGES = 8192;

  /** Notified on the writer's thread. */
  interface Listener {
    /** These are durable; the list may be empty. */
    void stored(List<PendingChange> changes);

    /** A write has failed; the next attempt waits for {@link GroupCommitWriter#retry}. */
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

  /** Why the last attempt before the end failed. */
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

  /** Hands over a change to be stored; any thread. */
  void submit(PendingChange change) {
    queue.add(change);
  }

  /** Has a failed batch written again; any thread. */
  void retry() {
    retries.release();
  }

  /** The batches made durable so far; any thread. */
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
    batch.forEach(each -> records.addAll(each.records()));
    return records;
  }

  /** Tries until these are durable; false if the last attempt after {@link #close} failed too. */
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
   * Stores what was submitted, waits for the threads and closes the log.
   *
   * @throws IOException if some changes could not be stored; a recovery may find them or not
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
      throw new IOException("changes on their way were not stored", unstored.get());
    }
  }
}
