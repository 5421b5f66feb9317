package ferngrade.node;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The operations of a file system that an atomic, durable replacement of a file needs. */
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

  /** A file that is being written. */
  interface OutputFile extends Closeable {
    /** Writes some or all of the remaining bytes, and moves the buffer's position on by them. */
    void write(ByteBuffer bytes) throws IOException;

    /** Returns once all that was written is on the disk. */
    void sync() throws IOException;
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
      return new OutputFile() {
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
      };
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
    public void syncFolder(Path folder) throws IOException {
      try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
        names.force(true);
      }
    }
  }
}
