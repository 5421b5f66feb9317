package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A ledger and its log, with a thread for the disk: the owner's thread makes changes, and hears
 * when they last. Whatever waits when a sync returns goes into the next batch, so many changes
 * share a sync under load and a single one waits for its own alone (group commit).
 *
 * <p>While the disk fails, whoever waits is told nothing, new jobs are refused, and the changes are
 * tried again with backoff, each time in a new file, until they last.
 *
 * <p>All methods belong to the owner's thread, the one on which {@code owner} and {@code timer} run
 * their tasks.
 */
public final class JobStore implements AutoCloseable {
  /** Entries in a batch at most, so that its buffer stays bounded. */
  private static final int MOST_BATCH = 8192;

  /** Ms until a failing disk is tried again: at first, and at the most. */
  private static final double RETRY_FIRST = 20;

  private static final double RETRY_MAX = 1_000;

  private final Storage disk;
  private final JobTable ledger;
  private final WriteAheadLog journal;
  private final Executor owner;
  private final RetryTimer timer;
  private final int mostWaiting;
  private final Backoff backoff = new Backoff(RETRY_FIRST, RETRY_MAX);
  private final Semaphore retries = new Semaphore(0);
  private final BlockingQueue<Waiting> queue = new LinkedBlockingQueue<>();
  private final Thread diskThread = new Thread(this::write, "store");
  private final WriteAheadLog.Recovery recovery;
  private volatile Thread compactor;
  private final AtomicLong syncs = new AtomicLong();
  private volatile IOException compactionFailure;

  /** Belongs to the disk's thread. */
  private long compactedBefore = 1;

  private int waiting;

  /** Why the disk does not take what is on its way; null while it does. */
  private IOException fault;

  private volatile boolean closing;

  /** Why the last try before the end failed; null if everything was stored. */
  private volatile IOException unstored;

  private record Waiting(List<LogRecord> entries, Runnable stored) {}

  private JobStore(
      Storage disk,
      JobTable ledger,
      WriteAheadLog journal,
      WriteAheadLog.Recovery recovery,
      Executor owner,
      RetryTimer timer,
      int mostWaiting) {
    this.disk = disk;
    this.ledger = ledger;
    this.journal = journal;
    this.recovery = recovery;
    this.owner = owner;
    this.timer = timer;
    this.mostWaiting = mostWaiting;
  }

  /**
   * Opens a store and recovers what it holds; {@code monotonic} is the present time of a clock that
   * never jumps. A new log is begun after {@code logBytes}; beyond {@code mostWaiting} changes on
   * their way to the disk it is crowded.
   */
  public static JobStore open(
      Storage disk,
      JobTable.Terms terms,
      long logBytes,
      int mostWaiting,
      double monotonic,
      Executor owner,
      RetryTimer timer)
      throws IOException {
    JobTable ledger = new JobTable(terms);
    WriteAheadLog.Recovery[] recovery = new WriteAheadLog.Recovery[1];
    WriteAheadLog journal =
        WriteAheadLog.open(disk, logBytes, ledger::replay, found -> recovery[0] = found);
    ledger.recovered(monotonic);
    JobStore store = new JobStore(disk, ledger, journal, recovery[0], owner, timer, mostWaiting);
    store.diskThread.setDaemon(true);
    store.diskThread.start();
    return store;
  }

  /** The states, to ask and to change; each change goes to {@link #commit}. */
  public JobTable ledger() {
    return ledger;
  }

  /** What the recovery at the opening found. */
  public WriteAheadLog.Recovery recovery() {
    return recovery;
  }

  /**
   * True if nothing new should be taken: the disk is behind, or fails. What was taken may still be
   * ended.
   */
  public boolean crowded() {
    return fault != null || waiting >= mostWaiting;
  }

  /** Why the disk fails at present; null if it does not. */
  public IOException fault() {
    return fault;
  }

  /**
   * Takes a client's job as {@link JobTable#accept} does and stores it; {@code stored} is called
   * once the client may be told, also of a refusal by the ledger.
   */
  public JobTable.Change accept(
      String id,
      Idempotency effect,
      String key,
      double window,
      byte[] payload,
      double at,
      Runnable stored)
      throws StoreUnavailableException {
    if (fault != null) {
      throw new StoreUnavailableException(StoreUnavailableException.Reason.DISK_FAULT);
    }
    if (crowded()) {
      throw new StoreUnavailableException(StoreUnavailableException.Reason.OVERLOADED);
    }
    JobTable.Change change = ledger.accept(id, effect, key, window, payload, at);
    commit(change, stored);
    return change;
  }

  /** The syncs so far. */
  public long syncs() {
    return syncs.get();
  }

  /**
   * Stores what a change brought. {@code stored} is called once, when it lasts, however long the
   * disk fails before; a change without entries lasts when all before it does.
   */
  public void commit(JobTable.Change change, Runnable stored) {
    if (change.entries().isEmpty() && waiting == 0) {
      stored.run();
      return;
    }
    waiting++;
    queue.add(new Waiting(change.entries(), stored));
  }

  private void write() {
    List<Waiting> batch = new ArrayList<>();
    List<LogRecord> entries = new ArrayList<>();
    try {
      while (true) {
        batch.clear();
        entries.clear();
        batch.add(queue.take());
        queue.drainTo(batch, MOST_BATCH - 1);
        boolean last = batch.removeIf(each -> each.entries() == null);
        batch.forEach(each -> entries.addAll(each.entries()));
        if (!entries.isEmpty() && !persist(entries)) {
          break;
        }
        tell(List.copyOf(batch));
        if (last) {
          break;
        }
        compact();
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Tries until these last; false if the store was closed before, and the last try failed as well.
   */
  private boolean persist(List<LogRecord> entries) throws InterruptedException {
    boolean lastTry = false;
    while (true) {
      try {
        journal.commit(entries);
        syncs.incrementAndGet();
        return true;
      } catch (IOException | RuntimeException broken) {
        IOException failure = broken instanceof IOException io ? io : new IOException(broken);
        if (lastTry) {
          unstored = failure;
          return false;
        }
        owner.execute(() -> failed(failure));
        retries.acquire();
        lastTry = closing;
      }
    }
  }

  private void failed(IOException failure) {
    fault = failure;
    timer.after(backoff.next(), retries::release);
  }

  private void tell(List<Waiting> batch) {
    owner.execute(
        () -> {
          waiting -= batch.size();
          fault = null;
          backoff.reset();
          batch.forEach(each -> each.stored().run());
        });
  }

  /** Puts a snapshot in place of closed logs, beside the commits. */
  private void compact() {
    long before = journal.logNumber();
    boolean busy = compactor != null && compactor.isAlive();
    if (busy || before <= compactedBefore + 1) {
      return;
    }
    compactedBefore = before;
    compactor =
        new Thread(
            () -> {
              try {
                WriteAheadLog.compact(disk, before);
              } catch (IOException failedToCompact) {
                // The logs stay, and are read at the next start; what is wrong with them is said
                // there.
                compactionFailure = failedToCompact;
              }
            },
            "store-compaction");
    compactor.setDaemon(true);
    compactor.start();
  }

  /** Why the last compaction failed; null if it did not. */
  public IOException compactionFailure() {
    return compactionFailure;
  }

  /**
   * Stores what is on its way and ends the threads. An {@link IOException} says that the disk did
   * not take all of it: who still waits is not told, and a recovery decides.
   */
  @Override
  public void close() throws IOException {
    closing = true;
    queue.add(new Waiting(null, null));
    retries.release();
    try {
      diskThread.join();
      Thread running = compactor;
      if (running != null) {
        running.join();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    journal.close();
    if (unstored != null) {
      throw new IOException("changes on their way were not stored", unstored);
    }
  }
}
