package ferngrade.jobstore;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Lists the files of a store by type and number, and defines their names and headers. A header
 * consists of a magic number, which includes the version of the format, and the file's number.
 *
 * @param logs the names of the logs by number
 * @param snapshots the names of the snapshots by number; a snapshot replaces all logs with lower
 *     numbers
 * @param unfinished the names of files that were never completed; their content is ignored
 */
record LogFiles(
    TreeMap<Long, String> logs, TreeMap<Long, String> snapshots, List<String> unfinished) {
  static final int HEADER_BYTES = 16;
  static final long MAGIC = 0x464e47_4c4f47_0001L;
  static final String LOG_PREFIX = "log-";
  static final String SNAPSHOT_PREFIX = "snap-";

  /** The suffix of a file name until the content is durable. */
  static final String UNFINISHED_SUFFIX = ".tmp";

  /** Lists the files of a store; a {@link CorruptLogException} reports a malformed name. */
  static LogFiles list(Storage storage) throws IOException {
    LogFiles files = new LogFiles(new TreeMap<>(), new TreeMap<>(), new ArrayList<>());
    for (String name : storage.list()) {
      if (name.endsWith(UNFINISHED_SUFFIX)) {
        files.unfinished.add(name);
      } else if (name.startsWith(LOG_PREFIX)) {
        files.logs.put(numberIn(name, LOG_PREFIX), name);
      } else if (name.startsWith(SNAPSHOT_PREFIX)) {
        files.snapshots.put(numberIn(name, SNAPSHOT_PREFIX), name);
      }
    }
    return files;
  }

  private static long numberIn(String name, String prefix) throws IOException {
    try {
      return Long.parseLong(name.substring(prefix.length()));
    } catch (NumberFormatException malformed) {
      throw new CorruptLogException(name, 0, "is not a valid file name of a store");
    }
  }

  static String logName(long number) {
    return String.format("%s%016d", LOG_PREFIX, number);
  }

  static String snapshotName(long number) {
    return String.format("%s%016d", SNAPSHOT_PREFIX, number);
  }

  /** Creates a file and writes the header with this number. */
  static Storage.Appender create(Storage storage, String name, long number) throws IOException {
    Storage.Appender file = storage.create(name);
    try {
      byte[] header = ByteBuffer.allocate(HEADER_BYTES).putLong(MAGIC).putLong(number).array();
      file.append(header, HEADER_BYTES);
    } catch (IOException | RuntimeException failure) {
      closeQuietly(file);
      throw failure;
    }
    return file;
  }

  /** Returns whether the content starts with the header for this number. */
  static boolean hasHeader(ByteBuffer content, long number) {
    return content.capacity() >= HEADER_BYTES
        && content.getLong(0) == MAGIC
        && content.getLong(8) == number;
  }

  /** Closes a file whose unsynced content is not needed and ignores a failure. */
  static void closeQuietly(Storage.Appender file) {
    try {
      file.close();
    } catch (IOException ignored) {
      // Ignored: the content is either synced or not needed.
    }
  }
}
