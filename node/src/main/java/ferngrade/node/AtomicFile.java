package ferngrade.node;

import ferngrade.node.FileOperations.OutputFile;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.function.Consumer;

/**
 * A small file that a later process of the same node takes over, say across an upgrade. Its content
 * is replaced atomically and durably: written to a temporary file beside it and synced, renamed
 * over it, and the folder synced. A reader finds the old content or the new one, whenever the
 * process or the machine stops.
 *
 * <p>Writes run in the background, see {@link BackgroundWriter}, until the newest content is
 * durable; content that newer content has replaced meanwhile is not written any more. Every attempt
 * begins with a new temporary file, since nothing is known of what the disk holds of a file whose
 * sync has failed.
 */
public final class AtomicFile {
  private final Path path;
  private final Path temporary;
  private final FileOperations files;
  private final BackgroundWriter writer;

  /** What is to be durable, null before the first write. */
  private volatile String newest;

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
    this.writer =
        new BackgroundWriter(path.getFileName().toString(), scheduler, log, this::replace);
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
  public void write(String text, Runnable durable) {
    newest = text;
    writer.request(durable);
  }

  private void replace() throws IOException {
    files.delete(temporary);
    try (OutputFile file = files.create(temporary)) {
      ByteBuffer remaining = ByteBuffer.wrap(newest.getBytes(StandardCharsets.UTF_8));
      while (remaining.hasRemaining()) {
        file.write(remaining);
      }
      file.sync();
    }
    files.rename(temporary, path);
    files.syncFolder(path.getParent());
  }
}
