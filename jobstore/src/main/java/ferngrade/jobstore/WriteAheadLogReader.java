package ferngrade.jobstore;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reads the snapshot and the logs of a {@link WriteAheadLog} in order. The last batch of a log, or
 * its torn tail, is not replayed until the beginning of the next log has been read. If the next log
 * starts with the same batch number, the write or sync of the batch failed and the log was
 * abandoned: the pending batch is dropped and the batch of the next log is replayed.
 */
final class WriteAheadLogReader {
  private static final String UNREADABLE = "a batch cannot be read, and others follow it";

  /**
   * A batch that was read and not yet replayed.
   *
   * @param from the offset in {@code bytes} at which the records start
   * @param length the length of the records
   * @param fileOffset the offset in the file at which {@code bytes} starts
   */
  private record ReadBatch(
      String file, byte[] bytes, int from, int length, long fileOffset, long number) {
    /** Returns a copy that does not keep the whole file in memory. */
    ReadBatch withoutFile() {
      byte[] content = Arrays.copyOfRange(bytes, from, from + length);
      return new ReadBatch(file, content, 0, length, fileOffset + from, number);
    }
  }

  private final Storage storage;
  private final Consumer<LogRecord> replay;
  private Optional<ReadBatch> pending = Optional.empty();

  /**
   * The unreadable end of a log that is not the last one. It counts as damage unless the next log
   * starts with the missing batch.
   */
  private Optional<CorruptLogException> tornTail = Optional.empty();

  private List<String> unfinished = List.of();
  private long lastLog;
  private byte[] lastContent = new byte[0];
  private long batchNumber;
  private long records;
  private long batches;
  private long bytes;
  private long tornBytes;
  private Optional<String> tornFile = Optional.empty();
  private boolean lastHasNoHeader;

  WriteAheadLogReader(Storage storage, Consumer<LogRecord> replay) {
    this.storage = storage;
    this.replay = replay;
  }

  /** Returns the report of what was read. */
  RecoveryReport report() {
    return new RecoveryReport(records, batches, bytes, tornBytes, tornFile);
  }

  /** The names of files that were never completed; their content is ignored. */
  List<String> unfinished() {
    return unfinished;
  }

  /**
   * The number of the last log with a header; if there is none, the snapshot's number minus one.
   */
  long lastLog() {
    return lastLog;
  }

  /** The readable part of the last log; empty if the log has no complete header. */
  byte[] lastContent() {
    return lastContent;
  }

  /** The number of the last batch. */
  long batchNumber() {
    return batchNumber;
  }

  /** The name of the last log if it has no complete header. */
  Optional<String> lastWithoutHeader() {
    return tornFile.filter(name -> lastHasNoHeader);
  }

  /**
   * Reads the last snapshot, and then the logs that it does not cover, up to but not including
   * {@code belowLogNumber}. Only the last log of the store may have a torn tail.
   *
   * @throws CorruptLogException if synced data is damaged; the records before it were replayed
   */
  void readAll(long belowLogNumber) throws IOException {
    try {
      readFiles(belowLogNumber);
    } catch (CorruptLogException damage) {
      // A repair keeps all batches before the damage, including the pending one.
      replayPending();
      throw damage;
    }
    replayPending();
  }

  private void readFiles(long belowLogNumber) throws IOException {
    LogFiles files = LogFiles.list(storage);
    unfinished = files.unfinished();
    TreeMap<Long, String> logs = files.logs();
    boolean readsAllLogs = belowLogNumber == Long.MAX_VALUE;
    Optional<String> following = Optional.ofNullable(logs.get(belowLogNumber));
    logs.tailMap(belowLogNumber).clear();
    long firstNumber = readLastSnapshot(files);
    readLogs(logs, firstNumber, readsAllLogs);
    if (readsAllLogs && !files.snapshots().isEmpty() && logs.isEmpty()) {
      throw new CorruptLogException(
          LogFiles.logName(firstNumber), 0, "is missing after its snapshot");
    }
    if (following.isPresent()) {
      // The following log is not replayed. Its first batch is read because it decides whether the
      // pending end of the previous log is replayed or dropped.
      resolvePending(ByteBuffer.wrap(storage.read(following.get())));
    }
  }

  /** Reads the last snapshot, if any, and returns the number of the first log to read. */
  private long readLastSnapshot(LogFiles files) throws IOException {
    if (!files.snapshots().isEmpty()) {
      long number = files.snapshots().lastKey();
      files.logs().headMap(number).clear();
      readSnapshot(files.snapshots().get(number), number);
      return number;
    }
    if (!files.logs().isEmpty() && files.logs().firstKey() != 1) {
      throw new CorruptLogException(
          LogFiles.logName(1), 0, "is missing, and no snapshot replaces it");
    }
    return 1;
  }

  private void readLogs(SortedMap<Long, String> logs, long firstNumber, boolean readsAllLogs)
      throws IOException {
    lastLog = firstNumber - 1;
    long expected = firstNumber;
    for (long number : logs.keySet()) {
      if (number != expected) {
        throw new CorruptLogException(
            LogFiles.logName(expected), 0, "is missing between other logs");
      }
      expected++;
      readLog(logs.get(number), number, readsAllLogs && number == logs.lastKey());
      lastLog = lastHasNoHeader ? number - 1 : number;
    }
  }

  private void readSnapshot(String name, long number) throws IOException {
    byte[] content = storage.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    if (!LogFiles.hasHeader(in, number)) {
      throw new CorruptLogException(name, 0, "has no valid header of this store");
    }
    int offset = LogFiles.HEADER_BYTES;
    boolean ended = false;
    while (offset < content.length) {
      int length = LogBatch.lengthAt(in, offset);
      if (length < 0) {
        throw new CorruptLogException(name, offset, UNREADABLE);
      }
      long foundNumber = LogBatch.numberAt(in, offset);
      if (foundNumber < batchNumber) {
        throw outOfOrder(name, offset, foundNumber);
      }
      batchNumber = foundNumber;
      ended = length == 0;
      replay(new ReadBatch(name, content, offset + LogBatch.HEADER_BYTES, length, 0, foundNumber));
      offset += LogBatch.HEADER_BYTES + length;
    }
    if (!ended) {
      throw new CorruptLogException(name, content.length, "the snapshot has no end marker");
    }
  }

  private CorruptLogException outOfOrder(String name, int offset, long foundNumber) {
    return new CorruptLogException(
        name, offset, "batch " + foundNumber + " comes after " + batchNumber);
  }

  private void readLog(String name, long number, boolean isLast) throws IOException {
    byte[] content = storage.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    if (!LogFiles.hasHeader(in, number)) {
      readWithoutHeader(name, content, isLast);
      return;
    }
    resolvePending(in);
    int endOffset = readBatches(name, content, isLast);
    if (isLast) {
      lastContent = Arrays.copyOf(content, endOffset);
    } else {
      pending = pending.map(ReadBatch::withoutFile);
    }
  }

  private void readWithoutHeader(String name, byte[] content, boolean isLast)
      throws CorruptLogException {
    if (tornTail.isPresent()) {
      throw tornTail.get();
    }
    if (!isLast || content.length > LogFiles.HEADER_BYTES) {
      throw new CorruptLogException(name, 0, "has no valid header of this store");
    }
    lastHasNoHeader = true;
    tornFile = Optional.of(name);
  }

  /** Reads the batches of a log and returns the offset of the end of the last readable one. */
  private int readBatches(String name, byte[] content, boolean isLast) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(content);
    int offset = LogFiles.HEADER_BYTES;
    while (offset < content.length) {
      // Another batch follows the pending batch, so the pending batch was synced.
      replayPending();
      int length = LogBatch.lengthAt(in, offset);
      if (length < 0) {
        handleUnreadable(name, in, offset, isLast);
        break;
      }
      long foundNumber = LogBatch.numberAt(in, offset);
      if (foundNumber <= batchNumber) {
        throw outOfOrder(name, offset, foundNumber);
      }
      if (foundNumber != batchNumber + 1) {
        throw new CorruptLogException(
            name, offset, "batch " + (batchNumber + 1) + " is missing before " + foundNumber);
      }
      batchNumber = foundNumber;
      int from = offset + LogBatch.HEADER_BYTES;
      pending = Optional.of(new ReadBatch(name, content, from, length, 0, foundNumber));
      offset = from + length;
    }
    return offset;
  }

  /** Replays or drops the pending end of the previous log, based on the first batch of the next. */
  private void resolvePending(ByteBuffer nextLog) throws IOException {
    boolean readable = LogBatch.lengthAt(nextLog, LogFiles.HEADER_BYTES) >= 0;
    long firstNumber = readable ? LogBatch.numberAt(nextLog, LogFiles.HEADER_BYTES) : 0;
    if (tornTail.isPresent()) {
      if (firstNumber != batchNumber + 1) {
        throw tornTail.get();
      }
      tornTail = Optional.empty();
    } else if (pending.isPresent() && firstNumber == pending.get().number()) {
      batchNumber = pending.get().number() - 1;
      pending = Optional.empty();
    }
    replayPending();
  }

  private void handleUnreadable(String name, ByteBuffer in, int offset, boolean isLast)
      throws CorruptLogException {
    CorruptLogException damage = new CorruptLogException(name, offset, UNREADABLE);
    if (LogBatch.isFollowedByBatch(in, offset, batchNumber)) {
      throw damage;
    }
    if (isLast) {
      tornBytes = (long) in.capacity() - offset;
      tornFile = Optional.of(name);
    } else {
      tornTail = Optional.of(damage);
    }
  }

  private void replayPending() throws CorruptLogException {
    if (pending.isPresent()) {
      ReadBatch resolved = pending.get();
      pending = Optional.empty();
      replay(resolved);
    }
  }

  private void replay(ReadBatch batch) throws CorruptLogException {
    ByteBuffer in = ByteBuffer.wrap(batch.bytes(), batch.from(), batch.length());
    while (in.hasRemaining()) {
      int size = in.getInt();
      int offset = in.position();
      try {
        replay.accept(LogRecordCodec.read(batch.bytes(), offset, size));
      } catch (IOException | IllegalStateException invalid) {
        throw new CorruptLogException(
            batch.file(), batch.fileOffset() + offset, invalid.getMessage());
      }
      records++;
      in.position(offset + size);
    }
    batches++;
    bytes += batch.length();
  }
}
