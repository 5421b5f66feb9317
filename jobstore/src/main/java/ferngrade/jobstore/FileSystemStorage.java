package ferngrade.jobstore;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Stores files in a directory, which is locked exclusively while it is open for writing. */
public final class FileSystemStorage implements Storage, AutoCloseable {
  private static final String LOCK = "lock";

  private final Path folder;
  private final Optional<FileChannel> lock;

  private FileSystemStorage(Path folder, Optional<FileChannel> lock) {
    this.folder = folder;
    this.lock = lock;
  }

  /**
   * Opens a directory for writing and creates it if it does not exist.
   *
   * @throws IOException if the directory is already open for writing in this or another process
   */
  public static FileSystemStorage openExclusive(Path folder) throws IOException {
    Files.createDirectories(folder);
    FileChannel channel =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock acquired;
    try {
      acquired = channel.tryLock();
    } catch (OverlappingFileLockException lockedByThisProcess) {
      acquired = null;
    }
    if (acquired == null) {
      channel.close();
      throw new IOException(folder + " is open in another process");
    }
    return new FileSystemStorage(folder, Optional.of(channel));
  }

  /** Opens a directory for reading, even while another process has it open for writing. */
  public static FileSystemStorage openReadOnly(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      throw new IOException(folder + " is not a directory");
    }
    return new FileSystemStorage(folder, Optional.empty());
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public Appender create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new Appender() {
      @Override
      public void append(byte[] bytes, int length) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes, 0, length);
        while (remaining.hasRemaining()) {
          channel.write(remaining);
        }
      }

      @Override
      public void sync() throws IOException {
        // Like fdatasync: metadata that is not needed to read the file is not synced.
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    if (lock.isPresent()) {
      lock.get().close();
    }
  }
}
