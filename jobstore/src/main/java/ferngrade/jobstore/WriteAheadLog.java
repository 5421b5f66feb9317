package ferngrade.jobstore;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Appends records in batches, each with one sync, and replays them in order after a restart. {@link
 * LogCompactor} replaces closed logs by a snapshot.
 *
 * <p>A file starts with the header described in {@link LogFiles}, followed by batches as described
 * in {@link LogBatch}. Batch numbers increase by one across all files. A batch is started only
 * after the previous one was synced. Therefore an unreadable batch at the end is a torn tail, which
 * is cut; if a readable batch follows it, synced data is damaged, which is reported with file and
 * offset.
 *
 * <p>One thread at a time commits; a compaction may run on another thread. After a failed write or
 * sync it is unknown how much of the end of the log is on disk. Such a log is neither written nor
 * synced again: the batch is repeated as the first batch of the next log under the same number, and
 * a recovery ignores the copy in the abandoned log, whether it is torn or not.
 */
public final class WriteAheadLog implements AutoCloseable {
  private static final int INITIAL_BUFFER_BYTES = 1 << 16;

  private final Storage storage;
  private final long maxLogBytes;
  private final RecoveryReport recovery;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);

  /**
   * The log that is being written. Empty after a failure; the next commit then starts a new log.
   */
  private Optional<Storage.Appender> log = Optional.empty();

  private volatile long logNumber;
  private long batchNumber;
  private long bytesInLog;

  private WriteAheadLog(Storage storage, long maxLogBytes, WriteAheadLogReader reader) {
    this.storage = storage;
    this.maxLogBytes = maxLogBytes;
    this.recovery = reader.report();
    this.logNumber = reader.lastLog();
    this.batchNumber = reader.batchNumber();
  }

  /**
   * Opens a store: replays all records, cuts a torn tail, and starts a new log. Another log is
   * started whenever the current log has reached {@code maxLogBytes}.
   *
   * @throws CorruptLogException if synced data is damaged
   * @throws IOException if the storage cannot be read or written
   */
  public static WriteAheadLog open(Storage storage, long maxLogBytes, Consumer<LogRecord> replay)
      throws IOException {
    WriteAheadLogReader reader = new WriteAheadLogReader(storage, replay);
    reader.readAll(Long.MAX_VALUE);
    // The logs that the snapshot replaces are not deleted here but by the next compaction: if the
    // sync of the directory has failed, the snapshot's name may not be durable.
    for (String name : reader.unfinished()) {
      storage.delete(name);
    }
    Optional<String> withoutHeader = reader.lastWithoutHeader();
    if (withoutHeader.isPresent()) {
      storage.delete(withoutHeader.get());
      storage.syncDirectory();
    }
    rewriteLastLog(storage, reader);
    WriteAheadLog opened = new WriteAheadLog(storage, maxLogBytes, reader);
    opened.beginNextLog();
    return opened;
  }

  /**
   * Replaces the last log by a copy without its torn tail. The last sync of that log may have
   * failed in the previous process. In that case the content that was read may exist in the page
   * cache only, and no later sync of the file would write it to disk.
   */
  private static void rewriteLastLog(Storage storage, WriteAheadLogReader reader)
      throws IOException {
    byte[] readable = reader.lastContent();
    if (readable.length == 0) {
      return;
    }
    String name = LogFiles.logName(reader.lastLog());
    String unfinished = name + LogFiles.UNFINISHED_SUFFIX;
    try (Storage.Appender copy = storage.create(unfinished)) {
      copy.append(readable, readable.length);
      copy.sync();
    }
    storage.rename(unfinished, name);
    storage.syncDirectory();
  }

  /**
   * Reads a store without changing it, even while another process has it open.
   *
   * @throws CorruptLogException if synced data is damaged; the records before it were replayed
   */
  public static RecoveryReport inspect(Storage storage, Consumer<LogRecord> replay)
      throws IOException {
    WriteAheadLogReader reader = new WriteAheadLogReader(storage, replay);
    reader.readAll(Long.MAX_VALUE);
    return reader.report();
  }

  /** Returns the report of the recovery in {@link #open}. */
  public RecoveryReport recovery() {
    return recovery;
  }

  /** The number of the log being written; logs with lower numbers are closed. Any thread. */
  public long logNumber() {
    return logNumber;
  }

  /**
   * Appends the records as one batch and returns once they are durable.
   *
   * @throws IOException if it is unknown whether the records are durable: a recovery may find them.
   *     The next commit goes to a new file and supersedes this batch, so the caller must first
   *     commit the same records again.
   */
  public void commit(List<LogRecord> records) throws IOException {
    byte[] batch = LogRecordCodec.encodeBatch(records, batchNumber + 1, buffer);
    if (log.isPresent()) {
      append(log.get(), batch);
    } else {
      continueInNextLog(batch);
    }
    batchNumber++;
    bytesInLog += batch.length;
    if (bytesInLog >= maxLogBytes) {
      rotate();
    }
  }

  private void append(Storage.Appender file, byte[] batch) throws IOException {
    try {
      file.append(batch, batch.length);
      file.sync();
    } catch (IOException | RuntimeException failure) {
      // It is unknown how much of the batch is on disk, so this file is never written again.
      LogFiles.closeQuietly(file);
      log = Optional.empty();
      throw failure;
    }
  }

  /**
   * Starts the next log with this batch. The file gets its name only after the batch is durable. A
   * recovery that finds a log whose first batch repeats the last number of the previous log
   * therefore knows that the end of the previous log was abandoned. A file left by an earlier
   * attempt is replaced.
   */
  private void continueInNextLog(byte[] batch) throws IOException {
    long next = logNumber + 1;
    String name = LogFiles.logName(next);
    String unfinished = name + LogFiles.UNFINISHED_SUFFIX;
    if (storage.list().contains(unfinished)) {
      storage.delete(unfinished);
    }
    Storage.Appender file = LogFiles.create(storage, unfinished, next);
    try {
      file.append(batch, batch.length);
      file.sync();
      storage.rename(unfinished, name);
      storage.syncDirectory();
    } catch (IOException | RuntimeException failure) {
      LogFiles.closeQuietly(file);
      throw failure;
    }
    switchTo(file, next);
  }

  /** Starts the next log after a commit; if that fails, the next commit starts it. */
  private void rotate() {
    try {
      beginNextLog();
    } catch (IOException retriedByNextCommit) {
      log = Optional.empty();
    }
  }

  private void beginNextLog() throws IOException {
    if (log.isPresent()) {
      log.get().close();
    }
    long next = logNumber + 1;
    Storage.Appender file = LogFiles.create(storage, LogFiles.logName(next), next);
    try {
      file.sync();
      storage.syncDirectory();
    } catch (IOException | RuntimeException failure) {
      LogFiles.closeQuietly(file);
      throw failure;
    }
    // From here on, commits go to the new log, and the previous log counts as closed.
    switchTo(file, next);
  }

  private void switchTo(Storage.Appender file, long number) {
    log = Optional.of(file);
    logNumber = number;
    bytesInLog = 0;
  }

  @Override
  public void close() throws IOException {
    if (log.isPresent()) {
      log.get().close();
    }
  }
}
