package ferngrade.node;

import ferngrade.node.FileOperations.OutputFile;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.function.Consumer;

/**
 * A small file that passes state to a later process of the same node, for example across an
 * upgrade. Replaces the file's content atomically and durably: writes a temporary file in the same
 * directory, syncs it, renames it over the file, and syncs the directory. Whenever the process or
 * the machine stops, a reader finds either the old content or the new content.
 *
 * <p>Writes run in the background, see {@link BackgroundWriter}, until the latest content is
 * durable; content that has been superseded before its write is skipped. Every attempt starts with
 * a new temporary file, because the on-disk state of a file whose sync failed is unknown.
 */
public final class AtomicFile {
  private final Path path;
  private final Path temporaryPath;
  private final FileOperations fileOperations;
  private final BackgroundWriter writer;

  /** The content to make durable; null before the first write. */
  private volatile String latestContent;

  /**
   * Creates a handle for the file at {@code path}, whose directory must exist. {@code log} receives
   * a line when writes start to fail and when they succeed again; it is called on the scheduler's
   * thread.
   */
  public AtomicFile(
      Path path, FileOperations fileOperations, TaskScheduler scheduler, Consumer<String> log) {
    this.path = path;
    // Two processes of a node may run at the same time, so the process id keeps their temporary
    // files apart.
    this.temporaryPath =
        path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid() + ".next");
    this.fileOperations = fileOperations;
    this.writer =
        new BackgroundWriter(path.getFileName().toString(), scheduler, log, this::replace);
  }

  /** Returns the content that an earlier process wrote; null if the file does not exist. */
  public String read() throws IOException {
    try {
      // A decoder reports malformed input; the String constructor would replace it silently.
      return StandardCharsets.UTF_8
          .newDecoder()
          .decode(ByteBuffer.wrap(fileOperations.read(path)))
          .toString();
    } catch (NoSuchFileException missing) {
      return null;
    }
  }

  /**
   * Writes {@code text} as the file's content in the background, and retries until that succeeds.
   * {@code durable} runs on the scheduler's thread once this content, or later content, is on disk.
   */
  public void write(String text, Runnable durable) {
    latestContent = text;
    writer.request(durable);
  }

  private void replace() throws IOException {
    fileOperations.delete(temporaryPath);
    try (OutputFile file = fileOperations.create(temporaryPath)) {
      ByteBuffer remaining = ByteBuffer.wrap(latestContent.getBytes(StandardCharsets.UTF_8));
      while (remaining.hasRemaining()) {
        file.write(remaining);
      }
      file.sync();
    }
    fileOperations.rename(temporaryPath, path);
    fileOperations.syncFolder(path.getParent());
  }
}
