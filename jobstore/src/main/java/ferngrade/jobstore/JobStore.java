package ferngrade.jobstore;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * A {@link JobTable} whose changes are stored in a {@link WriteAheadLog} by a thread for the disk.
 * The owner's thread makes changes and is notified once they are durable.
 *
 * <p>While the disk fails, nobody is notified, new jobs are rejected, and the changes are written
 * again with backoff, each time to a new file, until they are durable.
 *
 * <p>All methods belong to the owner's thread, the one on which the {@link Owner} runs its tasks.
 */
public final class JobStore implements AutoCloseable {
  /** Delay before a failing disk is tried again, ms: at first, and at most. */
  private static final double FIRST_RETRY_MILLIS = 20;

  private static final double MAX_RETRY_MILLIS = 1_000;

  /**
   * The bounds of a store.
   *
   * @param table durations and limits of leases
   * @param maxLogBytes the size from which a log is closed and the next one begun
   * @param maxPendingChanges how many changes may wait for the disk before new jobs are rejected
   */
  public record Settings(JobTableSettings table, long maxLogBytes, int maxPendingChanges) {}

  /**
   * The thread to which the store belongs.
   *
   * @param executor runs tasks on that thread; may be called from any
   * @param timer runs tasks on that thread later
   */
  public record Owner(Executor executor, RetryTimer timer) {}

  private final JobTable table;
  private final RecoveryReport recovery;
  private final GroupCommitWriter writer;
  private final BackgroundCompactor compactor;
  private final Owner owner;
  private final int maxPendingChanges;
  private final Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS);
  private int pendingChanges;
  private Optional<IOException> fault = Optional.empty();

  private JobStore(
      Storage storage, JobTable table, WriteAheadLog log, int maxPendingChanges, Owner owner) {
    this.table = table;
    this.recovery = log.recovery();
    this.compactor = new BackgroundCompactor(storage);
    this.writer = new GroupCommitWriter(log, compactor, new OwnerNotifier());
    this.owner = owner;
    this.maxPendingChanges = maxPendingChanges;
  }

  /**
   * Opens a store and recovers what it holds; {@code monotonic} is the present time in ms of a
   * clock that never jumps.
   *
   * @throws CorruptLogException if stored data is damaged
   * @throws IOException if the storage cannot be read or written
   */
  public static JobStore open(Storage storage, Settings settings, double monotonic, Owner owner)
      throws IOException {
    JobTable table = new JobTable(settings.table());
    WriteAheadLog log = WriteAheadLog.open(storage, settings.maxLogBytes(), table::replay);
    table.recovered(monotonic);
    JobStore store = new JobStore(storage, table, log, settings.maxPendingChanges(), owner);
    store.writer.start();
    return store;
  }

  /** The jobs, to read and to change; each change must be passed to {@link #commit}. */
  public JobTable table() {
    return table;
  }

  /** What the recovery at the opening found. */
  public RecoveryReport recovery() {
    return recovery;
  }

  /**
   * True if new jobs are rejected, because the disk is behind or fails. Jobs accepted before may
   * still change.
   */
  public boolean overloaded() {
    return fault.isPresent() || pendingChanges >= maxPendingChanges;
  }

  /** Why the disk fails at present. */
  public Optional<IOException> fault() {
    return fault;
  }

  /** Why the last compaction failed, if one did. */
  public Optional<IOException> compactionFailure() {
    return compactor.failure();
  }

  /** The batches synced to disk so far. */
  public long syncs() {
    return writer.syncs();
  }

  /**
   * Accepts a client's job as {@link JobTable#accept} does and stores it; {@code onStored} is
   * called once the client may be notified, also if the table rejected the job.
   *
   * @throws StoreUnavailableException if the store takes no new jobs at present
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
   * Stores the records of a change. {@code onStored} is called once, when they are durable, however
   * long the disk fails before; a change without records counts as durable when all before it are.
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
    changes.forEach(each -> each.onStored().run());
  }

  private void failed(IOException failure) {
    fault = Optional.of(failure);
    owner.timer().after(backoff.next(), writer::retry);
  }

  /**
   * Stores the pending changes and ends the threads.
   *
   * @throws IOException if the disk did not take all of them: their callbacks are not called, and a
   *     recovery may find them or not
   */
  @Override
  public void close() throws IOException {
    writer.close();
  }

  /** Passes the writer's notifications to the owner's thread. */
  private final class OwnerNotifier implements GroupCommitWriter.Listener {
    @Override
    public void stored(List<PendingChange> changes) {
      owner.executor().execute(() -> JobStore.this.stored(changes));
    }

    @Override
    public void failed(IOException failure) {
      owner.executor().execute(() -> JobStore.this.failed(failure));
    }
  }
}
