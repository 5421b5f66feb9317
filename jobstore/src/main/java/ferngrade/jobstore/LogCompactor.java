package ferngrade.jobstore;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Replaces closed logs and the snapshot before them by one snapshot. */
public final class LogCompactor {
  /** The size at which a batch of a snapshot ends, which bounds the buffer. */
  private static final int BATCH_BYTES = 256 << 10;

  /** An estimate of the size of a record without its payload. */
  private static final int RECORD_BYTES = 64;

  private LogCompactor() {}

  /**
   * Replaces all logs with numbers below {@code logNumber}, which must be closed, and the old
   * snapshots by one snapshot. It may run concurrently with commits, since it reads only closed
   * files; only one compaction may run at a time.
   *
   * @return false if there is no log to replace
   * @throws IOException if the snapshot could not be completed; the logs are kept
   */
  public static boolean compact(Storage storage, long logNumber) throws IOException {
    LogFiles files = LogFiles.list(storage);
    if (files.logs().headMap(logNumber).isEmpty()) {
      return false;
    }
    List<String> replaced = new ArrayList<>(files.logs().headMap(logNumber).values());
    replaced.addAll(files.snapshots().headMap(logNumber).values());
    JobTable table = new JobTable(JobTableSettings.REPLAY_ONLY);
    WriteAheadLogReader reader = new WriteAheadLogReader(storage, table::replay);
    reader.readAll(logNumber);
    deleteUnfinishedSnapshots(storage);
    String name = LogFiles.snapshotName(logNumber);
    String unfinished = name + LogFiles.UNFINISHED_SUFFIX;
    try (Storage.Appender file = LogFiles.create(storage, unfinished, logNumber)) {
      writeSnapshot(file, table.snapshot(), reader.batchNumber());
    }
    storage.rename(unfinished, name);
    storage.syncDirectory();
    for (String obsolete : replaced) {
      storage.delete(obsolete);
    }
    return true;
  }

  /** Deletes the files that failed compactions have left. */
  private static void deleteUnfinishedSnapshots(Storage storage) throws IOException {
    for (String name : storage.list()) {
      if (name.startsWith(LogFiles.SNAPSHOT_PREFIX) && name.endsWith(LogFiles.UNFINISHED_SUFFIX)) {
        storage.delete(name);
      }
    }
  }

  /** Writes the records in batches that share one number; an empty batch marks the end. */
  private static void writeSnapshot(
      Storage.Appender file, List<LogRecord> records, long batchNumber) throws IOException {
    Iterator<LogRecord> remaining = records.iterator();
    ByteArrayOutputStream buffer = new ByteArrayOutputStream(BATCH_BYTES);
    List<LogRecord> batch;
    do {
      batch = nextBatch(remaining);
      byte[] bytes = LogRecordCodec.encodeBatch(batch, batchNumber, buffer);
      file.append(bytes, bytes.length);
    } while (!batch.isEmpty());
    file.sync();
  }

  private static List<LogRecord> nextBatch(Iterator<LogRecord> remaining) {
    List<LogRecord> batch = new ArrayList<>();
    int size = 0;
    while (remaining.hasNext() && size < BATCH_BYTES) {
      LogRecord next = remaining.next();
      batch.add(next);
      int payload = next instanceof LogRecord.Accepted accepted ? accepted.payload().length : 0;
      size += RECORD_BYTES + payload;
    }
    return batch;
  }
}
