package ferngrade.jobstore;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * The log of a store: entries go in by batches, one sync for each, and come back in their order.
 * Logs that are closed are replaced by a snapshot, which is made from them alone: neither a commit
 * nor the owner of the live state waits.
 *
 * <p>A file begins with a magic word, the version and its number. A batch is its length, a CRC-32C,
 * its number and its entries; numbers grow by one over all files. A batch is begun only when the
 * one before it is synced, so a batch that cannot be read is a torn tail if nothing readable
 * follows it, and is cut; if something does, what was synced has been damaged, and that is an error
 * with file and offset.
 *
 * <p>One thread at a time commits; {@link #compact} may run on another. A log whose write or sync
 * has failed is neither written nor synced again, since nobody knows what the disk holds of its
 * end: the batch is written anew as the first of the next log, under its old number, and a recovery
 * drops what the abandoned log holds of that number, torn or not.
 */
public final class WriteAheadLog implements AutoCloseable {
  static final int HEADER = 16;
  static final long MAGIC = 0x464e47_4c4f47_0001L;
  private static final int PIECE = 256 << 10;
  static final String LOG = "log-";
  static final String SNAPSHOT = "snap-";
  static final String UNFINISHED = ".tmp";

  /** Terms matter to changes alone; reading makes none. */
  static final JobTable.Terms READING = new JobTable.Terms(1, 0, 0, 1, 0, 0);

  private final Storage disk;
  private final long logBytes;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(1 << 16);

  /** Null after a failure: the next commit begins the next log. */
  private Storage.Appender log;

  private volatile long logNumber;
  private long written;
  private long batch;
  private long batches;
  private long entries;
  private long bytes;

  /** What a recovery found. {@code cut} is the length of the torn tail. */
  public record Recovery(long entries, long batches, long bytes, long cut, String cutFile) {}

  private WriteAheadLog(Storage disk, long logBytes, long logNumber, long batch) {
    this.disk = disk;
    this.logBytes = logBytes;
    this.logNumber = logNumber;
    this.batch = batch;
  }

  // ---- Recovery ----

  /**
   * Opens the store in a folder: replays everything into {@code replay}, cuts a torn tail, and
   * begins a new log. A new log is begun after {@code logBytes}. A {@link CorruptLogException} says
   * where what was synced is not as it was.
   */
  public static WriteAheadLog open(
      Storage disk, long logBytes, Consumer<LogRecord> replay, Consumer<Recovery> found)
      throws IOException {
    WriteAheadLogReader reader = new WriteAheadLogReader(disk, replay);
    reader.readAll(Long.MAX_VALUE);
    // What the snapshot stands for goes with the next one: the name of this one may not last if its
    // sync has failed.
    for (String name : reader.unfinished()) {
      disk.delete(name);
    }
    if (reader.emptyLast()) {
      disk.delete(reader.cutFile());
      disk.syncNames();
    }
    writeAnew(disk, reader);
    found.accept(reader.recovery());
    WriteAheadLog journal = new WriteAheadLog(disk, logBytes, reader.lastLog(), reader.batch());
    journal.nextLog();
    return journal;
  }

  /**
   * Puts a copy in place of the last log, without its torn tail. Its last sync may have failed
   * before this process was started, and then what is read from it may be in the system's memory
   * alone, where no sync finds it again.
   */
  private static void writeAnew(Storage disk, WriteAheadLogReader reader) throws IOException {
    byte[] readable = reader.lastContent();
    if (readable.length == 0) {
      return;
    }
    String name = name(LOG, reader.lastLog());
    try (Storage.Appender copy = disk.create(name + UNFINISHED)) {
      copy.append(readable, readable.length);
      copy.sync();
    }
    disk.rename(name + UNFINISHED, name);
    disk.syncNames();
  }

  /** Reads a store without changing it, also one that somebody else has open. */
  public static Recovery inspect(Storage disk, Consumer<LogRecord> replay) throws IOException {
    WriteAheadLogReader reader = new WriteAheadLogReader(disk, replay);
    reader.readAll(Long.MAX_VALUE);
    return reader.recovery();
  }

  static long number(String name, String prefix) throws IOException {
    try {
      return Long.parseLong(name.substring(prefix.length()));
    } catch (NumberFormatException foreign) {
      throw new CorruptLogException(name, 0, "is no name of this store");
    }
  }

  static String name(String prefix, long number) {
    return String.format("%s%016d", prefix, number);
  }

  // ---- Writing ----

  /**
   * Appends these as one batch and returns once they last. An {@link IOException} says that nobody
   * knows whether they do: a recovery may find them, unless another commit comes before. That goes
   * into a new file and takes their place, so whoever still owes them commits them again first.
   */
  public void commit(List<LogRecord> batchEntries) throws IOException {
    byte[] batchBytes = encode(batchEntries, batch + 1, buffer);
    if (log == null) {
      continueInNextLog(batchBytes);
    } else {
      append(batchBytes);
    }
    batch++;
    written += batchBytes.length;
    batches++;
    entries += batchEntries.size();
    bytes += batchBytes.length;
    if (written >= logBytes) {
      roll();
    }
  }

  private void append(byte[] batchBytes) throws IOException {
    try {
      log.append(batchBytes, batchBytes.length);
      log.sync();
    } catch (IOException | RuntimeException broken) {
      abandon();
      throw broken;
    }
  }

  /**
   * Leaves the present log for good: after a failed write or sync nobody knows what the disk holds
   * of its end.
   */
  private void abandon() {
    closeQuietly(log);
    log = null;
  }

  private static void closeQuietly(Storage.Appender file) {
    try {
      file.close();
    } catch (IOException nothingNew) {
      // What the file holds is either synced or not counted on.
    }
  }

  /**
   * Begins the next log with this batch. It gets its name once the batch lasts: so a log that
   * repeats the number of the batch before it tells a recovery that the end of the one before was
   * abandoned. A name that an earlier attempt left is taken over.
   */
  private void continueInNextLog(byte[] batchBytes) throws IOException {
    long next = logNumber + 1;
    String name = name(LOG, next);
    if (disk.list().contains(name + UNFINISHED)) {
      disk.delete(name + UNFINISHED);
    }
    Storage.Appender file = begin(disk, name + UNFINISHED, next);
    try {
      file.append(batchBytes, batchBytes.length);
      file.sync();
      disk.rename(name + UNFINISHED, name);
      disk.syncNames();
    } catch (IOException | RuntimeException broken) {
      closeQuietly(file);
      throw broken;
    }
    log = file;
    logNumber = next;
    written = 0;
  }

  /** Begins the next log after a commit; if that fails, the commit after it does so. */
  private void roll() {
    try {
      nextLog();
    } catch (IOException notYet) {
      log = null;
    }
  }

  private static byte[] encode(
      Iterable<LogRecord> some, long number, ByteArrayOutputStream buffer) {
    buffer.reset();
    buffer.write(new byte[LogBatch.HEADER], 0, LogBatch.HEADER);
    ByteArrayOutputStream one = new ByteArrayOutputStream(256);
    for (LogRecord entry : some) {
      one.reset();
      LogRecordCodec.write(entry, one);
      buffer.writeBytes(ByteBuffer.allocate(4).putInt(one.size()).array());
      buffer.writeBytes(one.toByteArray());
    }
    return LogBatch.frame(buffer.toByteArray(), number);
  }

  private void nextLog() throws IOException {
    if (log != null) {
      log.close();
    }
    long next = logNumber + 1;
    Storage.Appender file = begin(disk, name(LOG, next), next);
    try {
      file.sync();
      disk.syncNames();
    } catch (IOException | RuntimeException broken) {
      closeQuietly(file);
      throw broken;
    }
    log = file;
    // Only now is the one before it closed for good.
    logNumber = next;
    written = 0;
  }

  private static Storage.Appender begin(Storage disk, String name, long number) throws IOException {
    Storage.Appender file = disk.create(name);
    try {
      file.append(ByteBuffer.allocate(HEADER).putLong(MAGIC).putLong(number).array(), HEADER);
    } catch (IOException | RuntimeException broken) {
      closeQuietly(file);
      throw broken;
    }
    return file;
  }

  /** The number of the log that is written at present: those below it are closed. */
  public long logNumber() {
    return logNumber;
  }

  /**
   * Puts one snapshot in place of the old one and all logs below this number, which must be closed.
   * It reads these files and nothing else, so it may run beside commits; one at a time. False:
   * there is nothing to replace.
   */
  public static boolean compact(Storage disk, long before) throws IOException {
    List<String> old = older(disk, before);
    if (old.stream().noneMatch(name -> name.startsWith(LOG))) {
      return false;
    }
    JobTable state = new JobTable(READING);
    WriteAheadLogReader reader = new WriteAheadLogReader(disk, state::replay);
    reader.readAll(before);
    String name = name(SNAPSHOT, before);
    deleteUnfinishedSnapshots(disk);
    try (Storage.Appender file = begin(disk, name + UNFINISHED, before)) {
      Iterator<LogRecord> entries = state.snapshot().iterator();
      List<LogRecord> piece = new ArrayList<>();
      do {
        piece.clear();
        int size = 0;
        while (entries.hasNext() && size < PIECE) {
          LogRecord entry = entries.next();
          piece.add(entry);
          size +=
              entry instanceof LogRecord.Accepted accepted ? 64 + accepted.payload().length : 64;
        }
        // The empty batch is the end.
        byte[] bytes = encode(piece, reader.batch(), new ByteArrayOutputStream(PIECE));
        file.append(bytes, bytes.length);
      } while (!piece.isEmpty());
      file.sync();
    }
    disk.rename(name + UNFINISHED, name);
    disk.syncNames();
    for (String each : old) {
      disk.delete(each);
    }
    return true;
  }

  /** Frees what an attempt that failed has left. */
  private static void deleteUnfinishedSnapshots(Storage disk) throws IOException {
    for (String each : disk.list()) {
      if (each.startsWith(SNAPSHOT) && each.endsWith(UNFINISHED)) {
        disk.delete(each);
      }
    }
  }

  private static List<String> older(Storage disk, long before) throws IOException {
    List<String> old = new ArrayList<>();
    for (String name : disk.list()) {
      String prefix =
          name.endsWith(UNFINISHED)
              ? null
              : name.startsWith(LOG) ? LOG : name.startsWith(SNAPSHOT) ? SNAPSHOT : null;
      if (prefix != null && number(name, prefix) < before) {
        old.add(name);
      }
    }
    return old;
  }

  /** Batches, entries and bytes written since it was opened. */
  public long[] written() {
    return new long[] {batches, entries, bytes};
  }

  @Override
  public void close() throws IOException {
    if (log != null) {
      log.close();
    }
  }
}
