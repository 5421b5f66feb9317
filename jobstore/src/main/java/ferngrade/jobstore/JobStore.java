package ferngrade.jobstore;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * Stores the changes of a {@link JobTable} in a {@link WriteAheadLog} on a dedicated disk thread.
 * The owner's thread makes changes and is called back once they are durable.
 *
 * <p>While the disk fails, no callback is called, new jobs are rejected, and pending changes are
 * written again with backoff, each time to a new file, until they are durable.
 *
 * <p>All methods belong to the owner's thread, on which {@link OwnerThread#executor} runs its
 * tasks.
 */
public final class JobStore implements AutoCloseable {
  /**
   * The first delay of the backoff after a failed write, ms; {@link #MAX_RETRY_MILLIS} bounds it.
   */
  private static final double FIRST_RETRY_MILLIS = 20;

  private static final double MAX_RETRY_MILLIS = 1_000;

  /**
   * The settings of a store.
   *
   * @param table durations and limits of leases
   * @param maxLogBytes the size at which a log is closed and the next one started
   * @param maxPendingChanges the number of pending changes at which new jobs are rejected
   */
  public record Settings(JobTableSettings table, long maxLogBytes, int maxPendingChanges) {}

  /**
   * Access to the thread that owns the store.
   *
   * @param executor runs tasks on that thread; called from any thread
   * @param timer runs tasks on that thread after a delay
   */
  public record OwnerThread(Executor executor, RetryTimer timer) {}

  private final JobTable table;
  private final RecoveryReport recovery;
  private final GroupCommitWriter writer;
  private final BackgroundCompactor compactor;
  private final OwnerThread ownerThread;
  private final int maxPendingChanges;
  private final Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS);
  private int pendingChanges;
  private Optional<IOException> fault = Optional.empty();

  private JobStore(
      Storage storage,
      JobTable table,
      WriteAheadLog log,
      int maxPendingChanges,
      OwnerThread ownerThread) {
    this.table = table;
    this.recovery = log.recovery();
    this.compactor = new BackgroundCompactor(storage);
    this.writer = new GroupCommitWriter(log, compactor, new OwnerNotifier());
    this.ownerThread = ownerThread;
    this.maxPendingChanges = maxPendingChanges;
  }

  /**
   * Opens a store and recovers its jobs. {@code monotonic} is the current time of a monotonic
   * clock, ms.
   *
   * @throws CorruptLogException if stored data is damaged
   * @throws IOException if the storage cannot be read or written
   */
  public static JobStore open(
      Storage storage, Settings settings, double monotonic, OwnerThread ownerThread)
      throws IOException {
    JobTable table = new JobTable(settings.table());
    WriteAheadLog log = WriteAheadLog.open(storage, settings.maxLogBytes(), table::replay);
    table.recovered(monotonic);
    JobStore store = new JobStore(storage, table, log, settings.maxPendingChanges(), ownerThread);
    store.writer.start();
    return store;
  }

  /** Returns the table of jobs. Each change made to it must be passed to {@link #commit}. */
  public JobTable table() {
    return table;
  }

  /** Returns the report of the recovery in {@link #open}. */
  public RecoveryReport recovery() {
    return recovery;
  }

  /**
   * Returns true if new jobs are rejected because too many changes are pending or the disk fails.
   * Jobs that were accepted earlier may still change.
   */
  public boolean overloaded() {
    return fault.isPresent() || pendingChanges >= maxPendingChanges;
  }

  /** Returns the last failure of the disk; empty while writes succeed. */
  public Optional<IOException> fault() {
    return fault;
  }

  /** Returns the failure of the last failed compaction; empty if none has failed. */
  public Optional<IOException> compactionFailure() {
    return compactor.failure();
  }

  /** The number of batches synced to disk so far. */
  public long syncs() {
    return writer.syncs();
  }

  /**
   * Accepts a client's job as {@link JobTable#accept} does and stores it. {@code onStored} is
   * called once the client may be answered, also if the table rejects the job.
   *
   * @throws StoreUnavailableException if the store rejects all new jobs at present
   */
  public JobChange accept(JobSubmission submission, double atMillis, Runnable onStored)
      throws StoreUnavailableException {
    if (fault.isPresent()) {
      throw new StoreUnavailableException(StoreUnavailableException.Reason.DISK_FAULT);
    }
    if (overloaded()) {
      throw new StoreUnavailableException(StoreUnavailableException.Reason.OVERLOADED);
    }
    JobChange change = table.accept(submission, atMillis);
    commit(change, onStored);
    return change;
  }

  /**
   * Stores the records of a change. {@code onStored} is called once, as soon as the records are
   * durable, even if the disk fails for a long time first. A change without records is durable as
   * soon as all changes before it are.
   */
  public void commit(JobChange change, Runnable onStored) {
    if (change.records().isEmpty() && pendingChanges == 0) {
      onStored.run();
      return;
    }
    pendingChanges++;
    writer.submit(PendingChange.of(change.records(), onStored));
  }

  private void stored(List<PendingChange> changes) {
    pendingChanges -= changes.size();
    fault = Optional.empty();
    backoff.reset();
    changes.forEach(change -> change.onStored().run());
  }

  private void failed(IOException failure) {
    fault = Optional.of(failure);
    ownerThread.timer().after(backoff.next(), writer::retry);
  }

  /**
   * Stores the pending changes and ends the threads.
   *
   * @throws IOException if some changes could not be stored: their callbacks are not called, and it
   *     is unknown whether a recovery finds them
   */
  @Override
  public void close() throws IOException {
    writer.close();
  }

  /** Forwards the writer's notifications to the owner's thread. */
  private final class OwnerNotifier implements GroupCommitWriter.Listener {
    @Override
    public void stored(List<PendingChange> changes) {
      ownerThread.executor().execute(() -> JobStore.this.stored(changes));
    }

    @Override
    public void failed(IOException failure) {
      ownerThread.executor().execute(() -> JobStore.this.failed(failure));
    }
  }
}
