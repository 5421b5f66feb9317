package ferngrade.jobstore;

import java.io.IOException;
import java.util.List;

/**
 * The directory of a store. The store uses it through this interface, so that tests can inject
 * faults.
 */
public interface Storage {
  /** The names of the files. */
  List<String> list() throws IOException;

  /** The whole content of a file. */
  byte[] read(String name) throws IOException;

  /** Creates an empty file, which must not exist, to be appended to. */
  Appender create(String name) throws IOException;

  /**
   * Renames a file atomically, replacing any file of that name; the name is durable once {@link
   * #syncNames} has returned.
   */
  void rename(String from, String to) throws IOException;

  /** Removes a file. */
  void delete(String name) throws IOException;

  /** Makes creations, renames and deletions durable: an fsync of the directory. */
  void syncNames() throws IOException;

  /** An append-only file. */
  interface Appender extends AutoCloseable {
    /** Appends the first {@code length} bytes; they need not be durable before {@link #sync}. */
    void append(byte[] bytes, int length) throws IOException;

    /** Returns once everything appended is durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
