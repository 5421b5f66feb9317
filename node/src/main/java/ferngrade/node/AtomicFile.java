package ferngrade.node;

import ferngrade.node.FileOperations.OutputFile;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A small file that a later process of the same node takes over, say across an upgrade. Its content
 * is replaced atomically and durably: written to a temporary file beside it and synced, renamed
 * over it, and the folder synced. A reader finds the old content or the new one, whenever the
 * process or the machine stops.
 *
 * <p>Writes run on a {@link TaskScheduler}, so that the event loop never waits for the disk. A
 * write that fails is retried with backoff until the newest content is durable; content that newer
 * content has replaced meanwhile is not written any more. Every attempt begins with a new temporary
 * file, since nothing is known of what the disk holds of a file whose sync has failed.
 */
public final class AtomicFile {
  /** The pause after a first failure, ms; it doubles with each further one. */
  static final long RETRY_MIN = 20;

  /** The longest pause, ms: a process that is told to stop has time for one more attempt. */
  static final long RETRY_MAX = 500;

  private final Path path;
  private final Path temporary;
  private final FileOperations files;
  private final TaskScheduler scheduler;
  private final Consumer<String> log;

  /**
   * What is to be durable, null before the first write; guarded by this object, as is all below.
   */
  private String newest;

  private List<Runnable> waiting = new ArrayList<>();
  private long retryPause = RETRY_MIN;
  private boolean attemptScheduled;

  /**
   * The file at {@code path}, whose folder must exist. {@code log} gets a line when writes begin to
   * fail and when they succeed again; it is called on the scheduler's thread.
   */
  public AtomicFile(
      Path path, FileOperations files, TaskScheduler scheduler, Consumer<String> log) {
    this.path = path;
    // Two processes of a node may run at once: neither may write into the other's temporary file.
    this.temporary =
        path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid() + ".next");
    this.files = files;
    this.scheduler = scheduler;
    this.log = log;
  }

  /** What an earlier process wrote, or null where there is no such file. */
  public String read() throws IOException {
    try {
      // A decoder of its own, since that of a String takes damaged text for good.
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(files.read(path)))
          .toString();
    } catch (NoSuchFileException none) {
      return null;
    }
  }

  /**
   * Makes {@code text} the file's content in the background. {@code durable} runs on the
   * scheduler's thread once this content, or newer content, is on the disk; until then attempts go
   * on.
   */
  public synchronized void write(String text, Runnable durable) {
    newest = text;
    waiting.add(durable);
    if (!attemptScheduled) {
      attemptScheduled = true;
      scheduler.schedule(this::attempt, 0);
    }
  }

  private void attempt() {
    String content;
    List<Runnable> served;
    synchronized (this) {
      content = newest;
      served = waiting;
      waiting = new ArrayList<>();
    }
    try {
      replace(content.getBytes(StandardCharsets.UTF_8));
    } catch (IOException | RuntimeException failure) {
      retry(served, failure);
      return;
    }
    succeed();
    served.forEach(this::notifyDurable);
  }

  private void replace(byte[] content) throws IOException {
    files.delete(temporary);
    try (OutputFile file = files.create(temporary)) {
      ByteBuffer remaining = ByteBuffer.wrap(content);
      while (remaining.hasRemaining()) {
        file.write(remaining);
      }
      file.sync();
    }
    files.rename(temporary, path);
    files.syncFolder(path.getParent());
  }

  private void retry(List<Runnable> unserved, Exception failure) {
    long pause;
    synchronized (this) {
      unserved.addAll(waiting);
      waiting = unserved;
      pause = retryPause;
      retryPause = Math.min(RETRY_MAX, 2 * retryPause);
    }
    scheduler.schedule(this::attempt, pause);
    if (pause == RETRY_MIN) {
      log.accept(path.getFileName() + " is not stored yet, trying again: " + failure);
    }
  }

  private void succeed() {
    boolean hadFailed;
    synchronized (this) {
      hadFailed = retryPause > RETRY_MIN;
      retryPause = RETRY_MIN;
      attemptScheduled = !waiting.isEmpty();
      if (attemptScheduled) {
        scheduler.schedule(this::attempt, 0);
      }
    }
    if (hadFailed) {
      log.accept(path.getFileName() + " is stored");
    }
  }

  /**
   * One listener that fails must not keep the others from hearing, nor end the scheduler's thread.
   */
  private void notifyDurable(Runnable listener) {
    try {
      listener.run();
    } catch (RuntimeException failure) {
      log.accept(path.getFileName() + " is stored, but a listener failed: " + failure);
    }
  }
}
