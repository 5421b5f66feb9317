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
 * The operations of a file system that small durable files need: their atomic replacement, and
 * appends by several processes.
 */
public interface FileOperations {
  /** The file system of this machine. */
  FileOperations SYSTEM = new SystemFileOperations();

  /** Reads a whole file; a {@link java.nio.file.NoSuchFileException} says that there is none. */
  byte[] read(Path file) throws IOException;

  /** Creates a new, empty file to write; one that is there already is an error. */
  OutputFile create(Path file) throws IOException;

  /** Renames a file in one step, over one that has the new name. */
  void rename(Path from, Path to) throws IOException;

  /** Removes a file, if there is one. */
  void delete(Path file) throws IOException;

  /** Returns once the names in this folder are on the disk. */
  void syncFolder(Path folder) throws IOException;

  /**
   * Appends all of these bytes to a file by one write, which does not mix with those of other
   * processes; creates the file where there is none. Returns once other processes can read them; a
   * sync of what it returns puts them on the disk. After an error some of them may be in the file.
   */
  SyncableFile append(Path file, ByteBuffer bytes) throws IOException;

  /**
   * Opens a file to read what others append to it; a {@link java.nio.file.NoSuchFileException} says
   * that there is none.
   */
  FollowedFile follow(Path file) throws IOException;

  /** A file that is read while others append to it. */
  interface FollowedFile extends Closeable {
    /** Its size in bytes. */
    long size() throws IOException;

    /** Reads from {@code position} on; returns the number of bytes, -1 at the end. */
    int read(ByteBuffer into, long position) throws IOException;

    /** True if the file at this path is this very file, and not one that has replaced it. */
    boolean isAt(Path file) throws IOException;
  }

  /** A file that was written to. */
  interface SyncableFile extends Closeable {
    /** Returns once all that was written is on the disk. */
    void sync() throws IOException;
  }

  /** A file that is being written. */
  interface OutputFile extends SyncableFile {
    /** Writes some or all of the remaining bytes, and moves the buffer's position on by them. */
    void write(ByteBuffer bytes) throws IOException;
  }

  /** The real operations. */
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

    /** A channel that is written to. */
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
          throw new IOException("only a part could be appended to " + file);
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
      Object key = key(file);
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
          return Objects.equals(key, key(path));
        }

        @Override
        public void close() throws IOException {
          channel.close();
        }
      };
    }

    private static Object key(Path file) throws IOException {
      return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
      try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
        names.force(true);
      }
    }
  }
}
