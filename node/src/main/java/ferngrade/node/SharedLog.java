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
 * An append-only file through which the processes of one node tell each other what must hold for
 * the node, whichever of them was told. Every process appends to it and follows it; nobody rewrites
 * it, so that none can undo what another has appended.
 *
 * <p>A record is one line with a checksum, between line feeds, written by one append of the
 * operating system: records of several processes do not mix, and one that a kill or a full disk has
 * cut short is skipped. Appends run in the background and are durable when they are reported; they
 * are visible to the other processes before that. A process reads what has come with {@link #poll},
 * which costs a query of the file's size where nothing has: a process that was held up for any time
 * reads what it missed before it acts again.
 *
 * <p>Belongs to the event loop, except where a method says otherwise.
 */
public final class SharedLog {
  /** How often it is checked that the file which is followed is still the one at its path, ms. */
  static final long VERIFY_INTERVAL = 100;

  /**
   * How long after the first record that this process could append another one, which could not
   * until then, may take to append its own, ms: its longest pause between tries, and a moment.
   */
  public static final double MAX_APPEND_DELAY = 2 * BackgroundWriter.RETRY_MAX;

  /** A longer line is none of this log's. */
  private static final int MAX_LINE = 4096;

  private static final int CHUNK = 8192;
  private static final int CHECKSUM_DIGITS = 8;

  private final Path path;
  private final FileOperations files;
  private final TaskScheduler scheduler;
  private final TaskScheduler appender;
  private final Executor loop;
  private final Consumer<String> log;
  private final BackgroundWriter writer;
  private final Consumer<String> records;
  private final Runnable replaced;
  private final ByteBuffer chunk = ByteBuffer.allocate(CHUNK);
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Records that are not on the disk yet; guarded by itself, as are the three below. */
  private final List<String> pending = new ArrayList<>();

  /** How many of them, from the first on, other processes can read. */
  private int appended;

  /** The files as the appends of these left them; each is synced and closed. */
  private List<SyncableFile> unsynced = new ArrayList<>();

  /** What runs once all of them can be read by other processes. */
  private List<Runnable> waiting = new ArrayList<>();

  /** Held while records are appended, so that they keep their order. */
  private final Object appending = new Object();

  /** The file that is followed; null while it could not be opened. Set by the loop only. */
  private volatile FollowedFile followed;

  /** Whether the log is created where there is none; set before the checks begin. */
  private volatile boolean create;

  /** Set where there was no log to begin with. */
  private boolean complete;

  private long position;
  private boolean readFailed;

  /** True while records are passed on: what that sets off may ask for what has come, too. */
  private boolean polling;

  /** Whether the folder is known to hold the file's name durably; belongs to the scheduler. */
  private boolean nameSynced;

  /**
   * The log at {@code path}, whose folder must exist.
   *
   * @param scheduler runs writes and checks, apart from the loop; it waits for the disk
   * @param appender runs appends, and never waits for a sync
   * @param loop runs tasks on the event loop
   * @param log gets a line when something fails, on any thread
   * @param records gets each record, on the event loop, those of this process included
   * @param replaced runs on the event loop when the file at the path has been found to be another
   *     one: what is in force has to be appended again
   */
  public SharedLog(
      Path path,
      FileOperations files,
      TaskScheduler scheduler,
      TaskScheduler appender,
      Executor loop,
      Consumer<String> log,
      Consumer<String> records,
      Runnable replaced) {
    this.path = path;
    this.files = files;
    this.scheduler = scheduler;
    this.appender = appender;
    this.loop = loop;
    this.log = log;
    this.records = records;
    this.replaced = replaced;
    this.writer =
        new BackgroundWriter(path.getFileName().toString(), scheduler, log, this::storePending);
  }

  /**
   * Opens the log and passes on all records in it; waits for the disk. Where that fails it is
   * retried in the background.
   *
   * @param shared true where other processes may append to the log: it is created if there is none,
   *     to be followed from here on
   */
  public void open(boolean shared) {
    create = shared;
    try {
      followed = follow();
    } catch (NoSuchFileException none) {
      complete = true;
    } catch (IOException | RuntimeException failure) {
      log.accept(path.getFileName() + " cannot be followed yet, trying again: " + failure);
    }
    poll();
    scheduler.schedule(this::verify, VERIFY_INTERVAL);
  }

  /** True once all that the log held when this process started has been passed on. */
  public boolean complete() {
    return complete || followed != null;
  }

  /** True if the last {@link #poll} has passed on all that the file at the log's path held. */
  public boolean current() {
    FollowedFile file = followed;
    try {
      return file != null && !polling && !readFailed && file.isAt(path);
    } catch (IOException unknown) {
      return false;
    }
  }

  private FollowedFile follow() throws IOException {
    try {
      return files.follow(path);
    } catch (NoSuchFileException none) {
      if (!create) {
        throw none;
      }
      try (SyncableFile created = files.append(path, ByteBuffer.wrap(new byte[] {'\n'}))) {
        created.sync();
      }
      return files.follow(path);
    }
  }

  /** On the scheduler: follows the file that is at the path now, if that is another one. */
  private void verify() {
    try {
      FollowedFile current = followed;
      if (current == null || !current.isAt(path)) {
        FollowedFile fresh = follow();
        loop.execute(() -> switchTo(fresh));
      }
    } catch (IOException | RuntimeException failure) {
      // Followed as soon as it can be; a write to it that fails is logged.
    }
    scheduler.schedule(this::verify, VERIFY_INTERVAL);
  }

  private void switchTo(FollowedFile fresh) {
    poll();
    FollowedFile former = followed;
    followed = fresh;
    position = 0;
    line.reset();
    poll();
    if (former != null) {
      log.accept(path.getFileName() + " was replaced; it is followed anew");
      close(former);
    }
    replaced.run();
  }

  private static void close(Closeable file) {
    try {
      file.close();
    } catch (IOException unclosed) {
      // Nothing is read from it any more, and what was written is synced or appended anew.
    }
  }

  /**
   * Passes on the records that have been appended since the last call. A call from within does
   * nothing: the one in progress passes on what there is, in its order.
   */
  public void poll() {
    FollowedFile file = followed;
    if (file == null || polling) {
      return;
    }
    polling = true;
    try {
      passOn(file);
    } finally {
      polling = false;
    }
  }

  private void passOn(FollowedFile file) {
    try {
      long size = file.size();
      if (size < position) {
        position = 0;
        line.reset();
      }
      while (position < size) {
        chunk.clear();
        int read = file.read(chunk, position);
        if (read <= 0) {
          return;
        }
        position += read;
        split(read);
      }
      readFailed = false;
    } catch (IOException failure) {
      if (!readFailed) {
        readFailed = true;
        log.accept(path.getFileName() + " cannot be read: " + failure);
      }
    }
  }

  private void split(int bytes) {
    for (int i = 0; i < bytes; i++) {
      byte next = chunk.get(i);
      if (next == '\n') {
        record(line.toString(StandardCharsets.UTF_8));
        line.reset();
      } else if (line.size() <= MAX_LINE) {
        line.write(next);
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
      log.accept(path.getFileName() + " holds a line that is no record; it is skipped");
    }
  }

  /**
   * Appends a record, a line without line feeds, in the background. {@code durable} runs on the
   * scheduler's thread once it is on the disk; until then attempts go on. Other processes can read
   * it before that, also while the disk is busy with earlier ones. Any thread may call this.
   */
  public void append(String record, Runnable durable) {
    synchronized (pending) {
      pending.add(record);
    }
    appender.schedule(this::appendEarly, 0);
    writer.request(durable);
  }

  /** Runs a task, on any thread, once other processes can read all that was appended so far. */
  public void whenAppended(Runnable task) {
    synchronized (pending) {
      if (appended < pending.size()) {
        waiting.add(task);
        return;
      }
    }
    task.run();
  }

  private void appendEarly() {
    try {
      appendPending();
    } catch (IOException | RuntimeException failure) {
      // The writer appends it, with retries, and logs what fails.
    }
  }

  /** Appends what is pending and puts it on the disk; where that fails, it is appended anew. */
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
      appendAnew();
      throw failure;
    } finally {
      written.forEach(SharedLog::close);
    }
    synchronized (pending) {
      pending.subList(0, count).clear();
      appended -= count;
    }
  }

  private void appendAnew() {
    synchronized (appending) {
      synchronized (pending) {
        appended = 0;
      }
    }
  }

  private void appendPending() throws IOException {
    synchronized (appending) {
      List<String> batch;
      synchronized (pending) {
        batch = List.copyOf(pending.subList(appended, pending.size()));
      }
      if (!batch.isEmpty()) {
        append(batch);
      }
    }
    appendedAll().forEach(Runnable::run);
  }

  /** Takes what waits for the appends, if there is none left to do. */
  private List<Runnable> appendedAll() {
    synchronized (pending) {
      if (appended < pending.size()) {
        return List.of();
      }
      List<Runnable> ready = waiting;
      waiting = new ArrayList<>();
      return ready;
    }
  }

  private void append(List<String> batch) throws IOException {
    StringBuilder text = new StringBuilder("\n");
    for (String record : batch) {
      text.append(checksum(record)).append(' ').append(record).append('\n');
    }
    // A batch of which the disk took a part only is appended whole again: records may repeat.
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
