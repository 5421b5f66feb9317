package ferngrade.jobstore;

import java.io.IOException;
import java.util.List;

/** The directory of a store. It is an interface so that tests can inject faults. */
public interface Storage {
  /** Returns the names of all files. */
  List<String> list() throws IOException;

  /** Returns the whole content of a file. */
  byte[] read(String name) throws IOException;

  /** Creates an empty file for appending; the file must not exist. */
  Appender create(String name) throws IOException;

  /**
   * Renames a file atomically and replaces any file of the new name. The new name is durable once
   * {@link #syncDirectory} has returned.
   */
  void rename(String from, String to) throws IOException;

  /** Deletes a file. */
  void delete(String name) throws IOException;

  /** Makes creations, renames and deletions durable with an fsync of the directory. */
  void syncDirectory() throws IOException;

  /** An append-only file. */
  interface Appender extends AutoCloseable {
    /** Appends the first {@code length} bytes; they are not durable before {@link #sync}. */
    void append(byte[] bytes, int length) throws IOException;

    /** Returns once all appended bytes are durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
