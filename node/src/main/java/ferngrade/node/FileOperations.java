package ferngrade.node;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;

/**
 * The file system operations that small durable files need: atomic replacement, and appends by
 * several processes.
 */
public interface FileOperations {
  /** The file system of this machine. */
  FileOperations SYSTEM = new SystemFileOperations();

  /**
   * Reads a whole file; throws {@link java.nio.file.NoSuchFileException} if the file does not
   * exist.
   */
  byte[] read(Path file) throws IOException;

  /** Creates a new, empty file for writing; fails if the file already exists. */
  OutputFile create(Path file) throws IOException;

  /** Renames a file atomically, replacing any file that has the new name. */
  void rename(Path from, Path to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(Path file) throws IOException;

  /** Syncs the directory; returns once its entries are on disk. */
  void syncFolder(Path folder) throws IOException;

  /**
   * Appends all of these bytes to a file with a single write, which does not interleave with the
   * writes of other processes. Creates the file if it does not exist. Other processes can read the
   * bytes once this method returns; syncing the returned file puts the bytes on disk. After an
   * error some of the bytes may be in the file.
   */
  SyncableFile append(Path file, ByteBuffer bytes) throws IOException;

  /**
   * Opens a file for reading while others append to it; throws {@link
   * java.nio.file.NoSuchFileException} if the file does not exist.
   */
  FollowedFile follow(Path file) throws IOException;

  /** A file that is read while others append to it. */
  interface FollowedFile extends Closeable {
    /** Returns the file's size in bytes. */
    long size() throws IOException;

    /**
     * Reads from {@code position} on. Returns the number of bytes read, or -1 at the end of the
     * file.
     */
    int read(ByteBuffer into, long position) throws IOException;

    /**
     * Returns true if the file at this path is the opened file and not another file that has
     * replaced it.
     */
    boolean isAt(Path file) throws IOException;
  }

  /** A file that has been written to. */
  interface SyncableFile extends Closeable {
    /** Returns once everything that was written is on disk. */
    void sync() throws IOException;
  }

  /** A file that is being written. */
  interface OutputFile extends SyncableFile {
    /**
     * Writes some or all of the remaining bytes, and advances the buffer's position by the number
     * of bytes written.
     */
    void write(ByteBuffer bytes) throws IOException;
  }

  /** Performs the operations on the file system of this machine. */
  final class SystemFileOperations implements FileOperations {
    private SystemFileOperations() {}

    @Override
    public byte[] read(Path file) throws IOException {
      return Files.readAllBytes(file);
    }

    @Override
    public OutputFile create(Path file) throws IOException {
      FileChannel channel =
          FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
      return new ChannelFile(channel);
    }

    /** A file that is written through a channel. */
    private record ChannelFile(FileChannel channel) implements OutputFile {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        channel.write(bytes);
      }

      @Override
      public void sync() throws IOException {
        channel.force(true);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
      Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(Path file) throws IOException {
      Files.deleteIfExists(file);
    }

    @Override
    public SyncableFile append(Path file, ByteBuffer bytes) throws IOException {
      FileChannel channel =
          FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      try {
        int length = bytes.remaining();
        if (channel.write(bytes) < length) {
          throw new IOException("could not append all bytes to " + file);
        }
        return new ChannelFile(channel);
      } catch (IOException | RuntimeException failure) {
        channel.close();
        throw failure;
      }
    }

    @Override
    public FollowedFile follow(Path file) throws IOException {
      FileChannel channel = FileChannel.open(file, StandardOpenOption.READ);
      Object fileKey = fileKey(file);
      return new FollowedFile() {
        @Override
        public long size() throws IOException {
          return channel.size();
        }

        @Override
        public int read(ByteBuffer into, long position) throws IOException {
          return channel.read(into, position);
        }

        @Override
        public boolean isAt(Path path) throws IOException {
          return Objects.equals(fileKey, fileKey(path));
        }

        @Override
        public void close() throws IOException {
          channel.close();
        }
      };
    }

    private static Object fileKey(Path file) throws IOException {
      return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
      try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
        directory.force(true);
      }
    }
  }
}
