package ferngrade.node;

import ferngrade.node.FileOperations.FollowedFile;
import ferngrade.node.FileOperations.SyncableFile;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/**
 * An append-only file through which the processes of one node exchange decisions that apply to the
 * whole node, whichever process received them. Every process appends to the file and follows it. No
 * process rewrites it, so none can undo what another process has appended.
 *
 * <p>A record is one line with a checksum, between line feeds, written by a single append of the
 * operating system. Records of several processes therefore do not interleave, and a record that was
 * truncated by a kill or a full disk is skipped. Appends run in the background and are durable when
 * they are reported; other processes can read them before that. A process reads new records with
 * {@link #poll}, which costs one query of the file's size if there are none. A process that was
 * paused, for however long, reads the records that it missed before it acts again.
 *
 * <p>Confined to the event loop's thread, except where a method says otherwise.
 */
public final class SharedLog {
  /** The interval between checks that the followed file is still the file at the log's path, ms. */
  static final long VERIFY_INTERVAL_MILLIS = 100;

  /**
   * The maximum time, ms, from the first successful append of this process until another process,
   * whose appends have failed so far, has appended its record: the longest delay between two
   * retries, plus a margin of the same length.
   */
  public static final double MAX_APPEND_DELAY_MILLIS = 2 * BackgroundWriter.MAX_RETRY_DELAY_MILLIS;

  /** The maximum length of a line, in bytes; a longer line is not a record of this log. */
  private static final int MAX_LINE_BYTES = 4096;

  private static final int READ_BUFFER_BYTES = 8192;
  private static final int CHECKSUM_DIGITS = 8;

  private final Path path;
  private final FileOperations files;
  private final TaskScheduler scheduler;
  private final TaskScheduler appender;
  private final Executor loop;
  private final Consumer<String> log;
  private final BackgroundWriter writer;
  private final Consumer<String> records;
  private final Runnable onReplaced;
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Records that are not on disk yet. Guarded by itself, as are the three fields below. */
  private final List<String> pending = new ArrayList<>();

  /** The number of pending records, from the first on, that other processes can read. */
  private int appended;

  /** The files returned by the appends of pending records; each one is synced and closed. */
  private List<SyncableFile> unsynced = new ArrayList<>();

  /** Tasks that run once other processes can read all pending records. */
  private List<Runnable> appendListeners = new ArrayList<>();

  /** Held while records are appended, so that they keep their order. */
  private final Object appendLock = new Object();

  /** The followed file; null until it could be opened. Set on the event loop only. */
  private volatile FollowedFile followed;

  /** Whether a missing log is created. Set before the periodic checks start. */
  private volatile boolean createIfMissing;

  /** True if there was no log when this process opened it. */
  private boolean complete;

  private long position;
  private boolean readFailed;

  /** True while records are passed on; the handling of a record may call {@link #poll} again. */
  private boolean polling;

  /**
   * Whether the directory entry of the file is known to be durable. Confined to the scheduler's
   * thread.
   */
  private boolean nameSynced;

  /**
   * Creates a log at {@code path}, whose directory must exist.
   *
   * @param scheduler runs writes and checks on a thread other than the loop's; its tasks may wait
   *     for the disk
   * @param appender runs appends; its tasks never wait for a sync
   * @param loop runs tasks on the event loop
   * @param log receives a line when an operation fails, on any thread
   * @param records receives each record on the event loop, including the records of this process
   * @param onReplaced runs on the event loop when another file is found at the path; the records
   *     that are still in effect must then be appended again
   */
  public SharedLog(
      Path path,
      FileOperations files,
      TaskScheduler scheduler,
      TaskScheduler appender,
      Executor loop,
      Consumer<String> log,
      Consumer<String> records,
      Runnable onReplaced) {
    this.path = path;
    this.files = files;
    this.scheduler = scheduler;
    this.appender = appender;
    this.loop = loop;
    this.log = log;
    this.records = records;
    this.onReplaced = onReplaced;
    this.writer =
        new BackgroundWriter(path.getFileName().toString(), scheduler, log, this::storePending);
  }

  /**
   * Opens the log and passes on all of its records; blocks on disk reads. If the log cannot be
   * opened, opening it is retried in the background.
   *
   * @param shared true if other processes may append to the log: a missing log is created then, so
   *     that it can be followed from the start
   */
  public void open(boolean shared) {
    createIfMissing = shared;
    try {
      followed = follow();
    } catch (NoSuchFileException missing) {
      complete = true;
    } catch (IOException | RuntimeException failure) {
      log.accept(path.getFileName() + " cannot be opened for following yet, retrying: " + failure);
    }
    poll();
    scheduler.schedule(this::verify, VERIFY_INTERVAL_MILLIS);
  }

  /**
   * Returns true once all records that the log contained when this process started have been passed
   * on.
   */
  public boolean complete() {
    return complete || followed != null;
  }

  /** Returns true if the last {@link #poll} passed on all records of the file at the log's path. */
  public boolean current() {
    FollowedFile file = followed;
    try {
      return file != null && !polling && !readFailed && file.isAt(path);
    } catch (IOException unreadable) {
      return false;
    }
  }

  private FollowedFile follow() throws IOException {
    try {
      return files.follow(path);
    } catch (NoSuchFileException missing) {
      if (!createIfMissing) {
        throw missing;
      }
      try (SyncableFile created = files.append(path, ByteBuffer.wrap(new byte[] {'\n'}))) {
        created.sync();
      }
      return files.follow(path);
    }
  }

  /**
   * Switches to the file that is now at the path if it is not the followed file. Runs on the
   * scheduler.
   */
  private void verify() {
    try {
      FollowedFile current = followed;
      if (current == null || !current.isAt(path)) {
        FollowedFile replacement = follow();
        loop.execute(() -> switchTo(replacement));
      }
    } catch (IOException | RuntimeException failure) {
      // The next check retries; failed writes to the log are logged separately.
    }
    scheduler.schedule(this::verify, VERIFY_INTERVAL_MILLIS);
  }

  private void switchTo(FollowedFile replacement) {
    poll();
    FollowedFile previous = followed;
    followed = replacement;
    position = 0;
    line.reset();
    poll();
    if (previous != null) {
      log.accept(
          path.getFileName() + " was replaced by another file, which is followed from now on");
      close(previous);
    }
    onReplaced.run();
  }

  private static void close(Closeable file) {
    try {
      file.close();
    } catch (IOException ignored) {
      // The file is not read any more, and its records are synced or will be appended again.
    }
  }

  /**
   * Passes on the records that have been appended since the last call. A reentrant call does
   * nothing: the call in progress passes on the remaining records in order.
   */
  public void poll() {
    FollowedFile file = followed;
    if (file == null || polling) {
      return;
    }
    polling = true;
    try {
      readRecords(file);
    } finally {
      polling = false;
    }
  }

  private void readRecords(FollowedFile file) {
    try {
      long size = file.size();
      if (size < position) {
        position = 0;
        line.reset();
      }
      while (position < size) {
        readBuffer.clear();
        int bytesRead = file.read(readBuffer, position);
        if (bytesRead <= 0) {
          return;
        }
        position += bytesRead;
        parseLines(bytesRead);
      }
      readFailed = false;
    } catch (IOException failure) {
      if (!readFailed) {
        readFailed = true;
        log.accept(path.getFileName() + " cannot be read: " + failure);
      }
    }
  }

  private void parseLines(int count) {
    for (int i = 0; i < count; i++) {
      byte nextByte = readBuffer.get(i);
      if (nextByte == '\n') {
        record(line.toString(StandardCharsets.UTF_8));
        line.reset();
      } else if (line.size() <= MAX_LINE_BYTES) {
        line.write(nextByte);
      }
    }
  }

  private void record(String text) {
    if (text.isEmpty()) {
      return;
    }
    int start = CHECKSUM_DIGITS + 1;
    if (text.length() > start && text.startsWith(checksum(text.substring(start)))) {
      records.accept(text.substring(start));
    } else {
      log.accept(
          path.getFileName() + " contains a line that is not a valid record; the line is skipped");
    }
  }

  /**
   * Appends a record, which must not contain line feeds, in the background, and retries until that
   * succeeds. {@code durable} runs on the scheduler's thread once the record is on disk. Other
   * processes can read the record earlier than that, even while the disk is busy with earlier
   * records. May be called on any thread.
   */
  public void append(String record, Runnable durable) {
    synchronized (pending) {
      pending.add(record);
    }
    appender.schedule(this::appendWithoutSync, 0);
    writer.request(durable);
  }

  /**
   * Runs a task, on any thread, once other processes can read all records that were appended before
   * this call.
   */
  public void whenAppended(Runnable task) {
    synchronized (pending) {
      if (appended < pending.size()) {
        appendListeners.add(task);
        return;
      }
    }
    task.run();
  }

  private void appendWithoutSync() {
    try {
      appendPending();
    } catch (IOException | RuntimeException failure) {
      // The background writer appends the records again and logs failures.
    }
  }

  /**
   * Appends the pending records and syncs them to disk. After a failed sync they are appended
   * again.
   */
  private void storePending() throws IOException {
    appendPending();
    List<SyncableFile> written;
    int count;
    synchronized (pending) {
      written = unsynced;
      unsynced = new ArrayList<>();
      count = appended;
    }
    try {
      for (SyncableFile file : written) {
        file.sync();
      }
      if (!nameSynced && count > 0) {
        files.syncFolder(path.getParent());
        nameSynced = true;
      }
    } catch (IOException | RuntimeException failure) {
      markUnappended();
      throw failure;
    } finally {
      written.forEach(SharedLog::close);
    }
    synchronized (pending) {
      pending.subList(0, count).clear();
      appended -= count;
    }
  }

  private void markUnappended() {
    synchronized (appendLock) {
      synchronized (pending) {
        appended = 0;
      }
    }
  }

  private void appendPending() throws IOException {
    synchronized (appendLock) {
      List<String> batch;
      synchronized (pending) {
        batch = List.copyOf(pending.subList(appended, pending.size()));
      }
      if (!batch.isEmpty()) {
        append(batch);
      }
    }
    takeAppendListeners().forEach(Runnable::run);
  }

  /** Removes and returns the tasks that wait for appends, if no append is outstanding. */
  private List<Runnable> takeAppendListeners() {
    synchronized (pending) {
      if (appended < pending.size()) {
        return List.of();
      }
      List<Runnable> listeners = appendListeners;
      appendListeners = new ArrayList<>();
      return listeners;
    }
  }

  private void append(List<String> batch) throws IOException {
    StringBuilder text = new StringBuilder("\n");
    for (String record : batch) {
      text.append(checksum(record)).append(' ').append(record).append('\n');
    }
    // A batch that was only partly written is appended again as a whole, so records may repeat.
    SyncableFile written =
        files.append(path, ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.UTF_8)));
    synchronized (pending) {
      unsynced.add(written);
      appended += batch.size();
    }
  }

  private static String checksum(String record) {
    CRC32 checksum = new CRC32();
    checksum.update(record.getBytes(StandardCharsets.UTF_8));
    return String.format("%0" + CHECKSUM_DIGITS + "x", checksum.getValue());
  }
}
