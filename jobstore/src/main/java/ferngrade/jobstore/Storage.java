package ferngrade.jobstore;

import java.io.IOException;
import java.util.List;

/** The folder of a store, as far as the store needs it; a test puts one that fails in its place. */
public interface Storage {
  /** The names of the files there. */
  List<String> list() throws IOException;

  /** The whole content of a file. */
  byte[] read(String name) throws IOException;

  /** Creates an empty file, which must not exist, to be appended to. */
  Appender create(String name) throws IOException;

  /**
   * Gives a file another name in one step, in the place of any file of that name; the name lasts
   * once {@link #syncNames} has returned.
   */
  void rename(String from, String to) throws IOException;

  /** Removes a file. */
  void delete(String name) throws IOException;

  /** Makes the names of files last. */
  void syncNames() throws IOException;

  /** A file that is written at its end only. */
  interface Appender extends AutoCloseable {
    /** Writes all of this at the end; nothing of it need last before {@link #sync}. */
    void append(byte[] bytes, int length) throws IOException;

    /** Returns once everything appended lasts. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
