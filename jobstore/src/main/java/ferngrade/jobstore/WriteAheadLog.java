package ferngrade.jobstore;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The log of a store: records are appended in batches, one sync for each, and replayed in their
 * order. {@link LogCompactor} replaces logs that are closed by a snapshot.
 *
 * <p>A file begins with the header that {@link LogFiles} describes. {@link LogBatch} describes a
 * batch; numbers of batches grow by one over all files. A batch is begun only when the one before
 * it is synced, so a batch that cannot be read is a torn tail if nothing readable follows it, and
 * is cut; if something does, synced data has been damaged, and that is an error with file and
 * offset.
 *
 * <p>One thread at a time commits; a compaction may run on another. A log whose write or sync has
 * failed is neither written nor synced again, since it is unknown what the disk holds of its end:
 * the batch is written again as the first of the next log, under its old number, and a recovery
 * drops what the abandoned log holds of that number, torn or not.
 */
public final class WriteAheadLog implements AutoCloseable {
  private static final int INITIAL_BUFFER_BYTES = 1 << 16;

  private final Storage storage;
  private final long maxLogBytes;
  private final RecoveryReport recovery;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);

  /** The file that is written; none after a failure: the next commit begins the next log. */
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
   * Opens a store: replays all records, cuts a torn tail, and begins a new log. The next log is
   * begun whenever one has reached {@code maxLogBytes}.
   *
   * @throws CorruptLogException if synced data is damaged
   * @throws IOException if the storage cannot be read or written
   */
  public static WriteAheadLog open(Storage storage, long maxLogBytes, Consumer<LogRecord> replay)
      throws IOException {
    WriteAheadLogReader reader = new WriteAheadLogReader(storage, replay);
    reader.readAll(Long.MAX_VALUE);
    // The logs that the snapshot stands for go with the next snapshot: the name of this one may not
    // be durable if its sync has failed.
    for (String name : reader.unfinished()) {
      storage.delete(name);
    }
    Optional<String> withoutHeader = reader.lastWithoutHeader();
    if (withoutHeader.isPresent()) {
      storage.delete(withoutHeader.get());
      storage.syncNames();
    }
    rewriteLastLog(storage, reader);
    WriteAheadLog opened = new WriteAheadLog(storage, maxLogBytes, reader);
    opened.beginNextLog();
    return opened;
  }

  /**
   * Puts a copy in place of the last log, without its torn tail. Its last sync may have failed
   * before this process was started, and then what was read may be in the page cache alone, where
   * no later sync writes it to disk.
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
    storage.syncNames();
  }

  /**
   * Reads a store without changing it, also one that another process has open.
   *
   * @throws CorruptLogException if synced data is damaged; the records before it were replayed
   */
  public static RecoveryReport inspect(Storage storage, Consumer<LogRecord> replay)
      throws IOException {
    WriteAheadLogReader reader = new WriteAheadLogReader(storage, replay);
    reader.readAll(Long.MAX_VALUE);
    return reader.report();
  }

  /** What the recovery at the opening found. */
  public RecoveryReport recovery() {
    return recovery;
  }

  /** The number of the log that is written at present; those below it are closed. Any thread. */
  public long logNumber() {
    return logNumber;
  }

  /**
   * Appends these as one batch and returns once they are durable.
   *
   * @throws IOException if it is unknown whether they are: a recovery may find them, unless another
   *     commit comes before. That one goes into a new file and takes their place, so the caller
   *     must commit them again first.
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
      // It is unknown what the disk holds of its end: this file is not written again.
      LogFiles.closeQuietly(file);
      log = Optional.empty();
      throw failure;
    }
  }

  /**
   * Begins the next log with this batch. It gets its name once the batch is durable, so a log that
   * repeats the number of the batch before it tells a recovery that the end of the log before was
   * abandoned. A file that an earlier attempt left is replaced.
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
      storage.syncNames();
    } catch (IOException | RuntimeException failure) {
      LogFiles.closeQuietly(file);
      throw failure;
    }
    switchTo(file, next);
  }

  /** Begins the next log after a commit; if that fails, the commit after it does so. */
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
      storage.syncNames();
    } catch (IOException | RuntimeException failure) {
      LogFiles.closeQuietly(file);
      throw failure;
    }
    // Only now is the one before it closed for good.
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
