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
 * Reads the snapshot and the logs of a {@link WriteAheadLog} in their order. The last batch of a
 * log, or the torn tail in its place, is held back until the next log is read: if that one begins
 * with the same number, the write or sync of the batch had failed, the log was abandoned, and the
 * batch of the next log counts.
 */
final class WriteAheadLogReader {
  private static final String UNREADABLE = "a batch cannot be read, and others follow it";

  /**
   * A batch that was read and not yet replayed: where its records begin in {@code bytes}, how long
   * they are, and how far into the file {@code bytes} begins.
   */
  private record ReadBatch(
      String file, byte[] bytes, int from, int length, long fileOffset, long number) {
    /** The same without the rest of its file in memory. */
    ReadBatch withoutFile() {
      byte[] content = Arrays.copyOfRange(bytes, from, from + length);
      return new ReadBatch(file, content, 0, length, fileOffset + from, number);
    }
  }

  private final Storage storage;
  private final Consumer<LogRecord> replay;
  private Optional<ReadBatch> pending = Optional.empty();

  /**
   * The torn tail of a log that others follow, which is damage unless the next log begins with its
   * batch.
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

  /** What was found. */
  RecoveryReport report() {
    return new RecoveryReport(records, batches, bytes, tornBytes, tornFile);
  }

  /** Files that were never completed, and count for nothing. */
  List<String> unfinished() {
    return unfinished;
  }

  /** The number of the last log with a header; the snapshot's less one if there is none. */
  long lastLog() {
    return lastLog;
  }

  /** The readable part of the last log; empty if it has not even its header. */
  byte[] lastContent() {
    return lastContent;
  }

  /** The number of the last batch. */
  long batchNumber() {
    return batchNumber;
  }

  /** The last log, if it has not even its header. */
  Optional<String> lastWithoutHeader() {
    return tornFile.filter(name -> lastHasNoHeader);
  }

  /**
   * Reads the snapshot and the logs after it whose numbers are below this; the last of all may end
   * torn.
   *
   * @throws CorruptLogException if synced data is damaged; the records before it were replayed
   */
  void readAll(long belowLog) throws IOException {
    try {
      readFiles(belowLog);
    } catch (CorruptLogException damage) {
      // A repair of what precedes the damage gets the last batch as well.
      replayPending();
      throw damage;
    }
    replayPending();
  }

  private void readFiles(long belowLog) throws IOException {
    LogFiles files = LogFiles.list(storage);
    unfinished = files.unfinished();
    TreeMap<Long, String> logs = files.logs();
    boolean all = belowLog == Long.MAX_VALUE;
    Optional<String> following = Optional.ofNullable(logs.get(belowLog));
    logs.tailMap(belowLog).clear();
    long first = readLastSnapshot(files);
    readLogs(logs, first, all);
    if (all && !files.snapshots().isEmpty() && logs.isEmpty()) {
      throw new CorruptLogException(LogFiles.logName(first), 0, "is missing after its snapshot");
    }
    if (following.isPresent()) {
      // Not read itself, but it may begin with the batch at which the last one was abandoned.
      resolvePending(ByteBuffer.wrap(storage.read(following.get())));
    }
  }

  /** Reads the last snapshot, if there is one, and returns the number of the first log after it. */
  private long readLastSnapshot(LogFiles files) throws IOException {
    if (!files.snapshots().isEmpty()) {
      long number = files.snapshots().lastKey();
      files.logs().headMap(number).clear();
      readSnapshot(files.snapshots().get(number), number);
      return number;
    }
    if (!files.logs().isEmpty() && files.logs().firstKey() != 1) {
      throw new CorruptLogException(
          LogFiles.logName(1), 0, "is missing, and no snapshot stands for it");
    }
    return 1;
  }

  private void readLogs(SortedMap<Long, String> logs, long first, boolean all) throws IOException {
    lastLog = first - 1;
    long expected = first;
    for (long number : logs.keySet()) {
      if (number != expected) {
        throw new CorruptLogException(LogFiles.logName(expected), 0, "is missing between others");
      }
      expected++;
      readLog(logs.get(number), number, all && number == logs.lastKey());
      lastLog = lastHasNoHeader ? number - 1 : number;
    }
  }

  private void readSnapshot(String name, long number) throws IOException {
    byte[] content = storage.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    if (!LogFiles.hasHeader(in, number)) {
      throw new CorruptLogException(name, 0, "is no file of this store");
    }
    int at = LogFiles.HEADER_BYTES;
    boolean ended = false;
    while (at < content.length) {
      int length = LogBatch.lengthAt(in, at);
      if (length < 0) {
        throw new CorruptLogException(name, at, UNREADABLE);
      }
      long found = LogBatch.numberAt(in, at);
      if (found < batchNumber) {
        throw outOfOrder(name, at, found);
      }
      batchNumber = found;
      ended = length == 0;
      replay(new ReadBatch(name, content, at + LogBatch.HEADER_BYTES, length, 0, found));
      at += LogBatch.HEADER_BYTES + length;
    }
    if (!ended) {
      throw new CorruptLogException(name, content.length, "the snapshot has no end");
    }
  }

  private CorruptLogException outOfOrder(String name, int at, long found) {
    return new CorruptLogException(name, at, "batch " + found + " comes after " + batchNumber);
  }

  private void readLog(String name, long number, boolean last) throws IOException {
    byte[] content = storage.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    if (!LogFiles.hasHeader(in, number)) {
      readWithoutHeader(name, content, last);
      return;
    }
    resolvePending(in);
    int end = readBatches(name, content, last);
    if (last) {
      lastContent = Arrays.copyOf(content, end);
    } else {
      pending = pending.map(ReadBatch::withoutFile);
    }
  }

  private void readWithoutHeader(String name, byte[] content, boolean last)
      throws CorruptLogException {
    if (tornTail.isPresent()) {
      throw tornTail.get();
    }
    if (!last || content.length > LogFiles.HEADER_BYTES) {
      throw new CorruptLogException(name, 0, "is no file of this store");
    }
    lastHasNoHeader = true;
    tornFile = Optional.of(name);
  }

  /** Reads the batches of a log and returns the offset at which the readable ones end. */
  private int readBatches(String name, byte[] content, boolean last) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(content);
    int at = LogFiles.HEADER_BYTES;
    while (at < content.length) {
      // Another batch was begun after the pending one, so that one was synced.
      replayPending();
      int length = LogBatch.lengthAt(in, at);
      if (length < 0) {
        handleUnreadable(name, in, at, last);
        break;
      }
      long found = LogBatch.numberAt(in, at);
      if (found <= batchNumber) {
        throw outOfOrder(name, at, found);
      }
      if (found != batchNumber + 1) {
        throw new CorruptLogException(
            name, at, "batch " + (batchNumber + 1) + " is missing before " + found);
      }
      batchNumber = found;
      int from = at + LogBatch.HEADER_BYTES;
      pending = Optional.of(new ReadBatch(name, content, from, length, 0, found));
      at = from + length;
    }
    return at;
  }

  /** Decides about the end of the log before by the first batch of this one. */
  private void resolvePending(ByteBuffer next) throws IOException {
    boolean readable = LogBatch.lengthAt(next, LogFiles.HEADER_BYTES) >= 0;
    long first = readable ? LogBatch.numberAt(next, LogFiles.HEADER_BYTES) : 0;
    if (tornTail.isPresent()) {
      if (first != batchNumber + 1) {
        throw tornTail.get();
      }
      tornTail = Optional.empty();
    } else if (pending.isPresent() && first == pending.get().number()) {
      batchNumber = pending.get().number() - 1;
      pending = Optional.empty();
    }
    replayPending();
  }

  private void handleUnreadable(String name, ByteBuffer in, int at, boolean last)
      throws CorruptLogException {
    CorruptLogException damage = new CorruptLogException(name, at, UNREADABLE);
    if (LogBatch.followed(in, at, batchNumber)) {
      throw damage;
    }
    if (last) {
      tornBytes = (long) in.capacity() - at;
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
      int at = in.position();
      try {
        replay.accept(LogRecordCodec.read(batch.bytes(), at, size));
      } catch (IOException | IllegalStateException invalid) {
        throw new CorruptLogException(batch.file(), batch.fileOffset() + at, invalid.getMessage());
      }
      records++;
      in.position(at + size);
    }
    batches++;
    bytes += batch.length();
  }
}
