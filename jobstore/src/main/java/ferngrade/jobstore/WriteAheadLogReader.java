package ferngrade.jobstore;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reads the snapshot and the logs of a {@link WriteAheadLog} in their order. The last batch of a
 * log, or the torn tail in its place, is held back until the next log is read: if that one begins
 * with the same number, the write or sync of the batch had failed, the log was abandoned, and the
 * batch counts as the next log has it.
 */
final class WriteAheadLogReader {
  /**
   * A batch that was read and not yet replayed: where its entries begin in {@code bytes}, how long
   * they are, and how far into the file {@code bytes} begins.
   */
  private record Held(
      String file, byte[] bytes, int from, int length, long fileOffset, long number) {
    /** The same without the rest of its file in memory. */
    Held alone() {
      return new Held(
          file,
          Arrays.copyOfRange(bytes, from, from + length),
          0,
          length,
          fileOffset + from,
          number);
    }
  }

  private final Storage disk;
  private final Consumer<LogRecord> replay;
  private final List<String> unfinished = new ArrayList<>();
  private Held held;

  /**
   * The torn tail of a log that others follow, which is damage unless the next log begins with its
   * batch.
   */
  private CorruptLogException tear;

  private long lastLog;
  private byte[] lastContent = new byte[0];
  private long batch;
  private long entries;
  private long batches;
  private long bytes;
  private long cut;
  private String cutFile = "";
  private boolean emptyLast;

  WriteAheadLogReader(Storage disk, Consumer<LogRecord> replay) {
    this.disk = disk;
    this.replay = replay;
  }

  /** What was found. */
  WriteAheadLog.Recovery recovery() {
    return new WriteAheadLog.Recovery(entries, batches, bytes, cut, cutFile);
  }

  /** Files that never got their names, and count for nothing. */
  List<String> unfinished() {
    return unfinished;
  }

  /** The number of the last log with a header; the snapshot's less one if there is none. */
  long lastLog() {
    return lastLog;
  }

  /** The last log as far as it can be read; nothing if it has not even its header. */
  byte[] lastContent() {
    return lastContent;
  }

  /** The number of the last batch. */
  long batch() {
    return batch;
  }

  /** The file that ends torn; empty if none does. */
  String cutFile() {
    return cutFile;
  }

  /** Whether the last log has not even its header. */
  boolean emptyLast() {
    return emptyLast;
  }

  /**
   * Reads the snapshot and the logs after it whose numbers are below this; the last of all may end
   * torn.
   */
  void readAll(long before) throws IOException {
    try {
      readFiles(before);
    } catch (CorruptLogException damage) {
      // Whoever repairs what stands before the damage gets the last batch as well.
      replayHeld();
      throw damage;
    }
    replayHeld();
  }

  private void readFiles(long before) throws IOException {
    TreeMap<Long, String> logs = new TreeMap<>();
    TreeMap<Long, String> snapshots = new TreeMap<>();
    for (String name : disk.list()) {
      if (name.endsWith(WriteAheadLog.UNFINISHED)) {
        unfinished.add(name);
      } else if (name.startsWith(WriteAheadLog.LOG)) {
        logs.put(WriteAheadLog.number(name, WriteAheadLog.LOG), name);
      } else if (name.startsWith(WriteAheadLog.SNAPSHOT)) {
        snapshots.put(WriteAheadLog.number(name, WriteAheadLog.SNAPSHOT), name);
      }
    }
    boolean all = before == Long.MAX_VALUE;
    String after = logs.get(before);
    logs.tailMap(before).clear();
    long first = logs.isEmpty() ? 1 : logs.firstKey();
    if (!snapshots.isEmpty()) {
      first = snapshots.lastKey();
      logs.headMap(first).clear();
      readSnapshot(snapshots.get(first), first);
    } else if (first != 1) {
      throw new CorruptLogException(
          WriteAheadLog.name(WriteAheadLog.LOG, 1), 0, "is missing, and no snapshot stands for it");
    }
    lastLog = first - 1;
    long expected = first;
    for (long number : logs.keySet()) {
      if (number != expected++) {
        throw new CorruptLogException(
            WriteAheadLog.name(WriteAheadLog.LOG, expected - 1), 0, "is missing between others");
      }
      readLog(logs.get(number), number, all && number == logs.lastKey());
      lastLog = emptyLast ? number - 1 : number;
    }
    if (all && !snapshots.isEmpty() && logs.isEmpty()) {
      throw new CorruptLogException(
          WriteAheadLog.name(WriteAheadLog.LOG, first), 0, "is missing after its snapshot");
    }
    if (after != null) {
      // Not read itself, but it may begin with a batch that the last one was abandoned at.
      settle(ByteBuffer.wrap(disk.read(after)));
    }
  }

  private static boolean hasHeader(ByteBuffer in, long number) {
    return in.capacity() >= WriteAheadLog.HEADER
        && in.getLong(0) == WriteAheadLog.MAGIC
        && in.getLong(8) == number;
  }

  private void readSnapshot(String name, long number) throws IOException {
    byte[] content = disk.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    if (!hasHeader(in, number)) {
      throw new CorruptLogException(name, 0, "is no file of this store");
    }
    int at = WriteAheadLog.HEADER;
    boolean ended = false;
    while (at < content.length) {
      int length = LogBatch.lengthAt(in, at);
      if (length < 0) {
        throw new CorruptLogException(name, at, "a batch cannot be read, and others follow it");
      }
      long its = LogBatch.numberAt(in, at);
      if (its < batch) {
        throw new CorruptLogException(name, at, "batch " + its + " comes after " + batch);
      }
      batch = its;
      ended = length == 0;
      replay(new Held(name, content, at + LogBatch.HEADER, length, 0, its));
      at += LogBatch.HEADER + length;
    }
    if (!ended) {
      throw new CorruptLogException(name, content.length, "the snapshot has no end");
    }
  }

  private void readLog(String name, long number, boolean last) throws IOException {
    byte[] content = disk.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    if (!hasHeader(in, number)) {
      if (tear != null) {
        throw tear;
      }
      if (last && content.length <= WriteAheadLog.HEADER) {
        emptyLast = true;
        cutFile = name;
        return;
      }
      throw new CorruptLogException(name, 0, "is no file of this store");
    }
    settle(in);
    int at = WriteAheadLog.HEADER;
    while (at < content.length) {
      // Another batch was begun after it, so it was synced.
      replayHeld();
      int length = LogBatch.lengthAt(in, at);
      if (length < 0) {
        torn(name, in, at, last);
        break;
      }
      long its = LogBatch.numberAt(in, at);
      if (its <= batch) {
        throw new CorruptLogException(name, at, "batch " + its + " comes after " + batch);
      }
      if (its != batch + 1) {
        throw new CorruptLogException(
            name, at, "batch " + (batch + 1) + " is missing before " + its);
      }
      batch = its;
      held = new Held(name, content, at + LogBatch.HEADER, length, 0, its);
      at += LogBatch.HEADER + length;
    }
    if (last) {
      lastContent = Arrays.copyOf(content, at);
    } else if (held != null) {
      held = held.alone();
    }
  }

  /** Decides about the end of the log before by the first batch of this one. */
  private void settle(ByteBuffer next) throws IOException {
    boolean begins = LogBatch.lengthAt(next, WriteAheadLog.HEADER) >= 0;
    long first = begins ? LogBatch.numberAt(next, WriteAheadLog.HEADER) : 0;
    if (tear != null) {
      if (first != batch + 1) {
        throw tear;
      }
      tear = null;
    } else if (held != null && first == held.number()) {
      batch = held.number() - 1;
      held = null;
    }
    replayHeld();
  }

  private void torn(String name, ByteBuffer in, int at, boolean last) throws IOException {
    CorruptLogException damage =
        new CorruptLogException(name, at, "a batch cannot be read, and others follow it");
    if (LogBatch.followed(in, at, batch)) {
      throw damage;
    }
    if (last) {
      cut = (long) in.capacity() - at;
      cutFile = name;
    } else {
      tear = damage;
    }
  }

  private void replayHeld() throws IOException {
    if (held != null) {
      Held settled = held;
      held = null;
      replay(settled);
    }
  }

  private void replay(Held whole) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(whole.bytes(), whole.from(), whole.length());
    while (in.hasRemaining()) {
      int size = in.getInt();
      int at = in.position();
      try {
        replay.accept(LogRecordCodec.read(whole.bytes(), at, size));
      } catch (IOException | IllegalStateException wrong) {
        throw new CorruptLogException(whole.file(), whole.fileOffset() + at, wrong.getMessage());
      }
      entries++;
      in.position(at + size);
    }
    batches++;
    bytes += whole.length();
  }
}
