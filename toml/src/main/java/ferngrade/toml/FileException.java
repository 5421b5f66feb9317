package ferngrade.toml;

/**
 * A file that cannot be used; the message is one line that names the file and, where known, the
 * line.
 */
public final class FileException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says where and what. */
  public FileException(String where, String what) {
    super(where + ": " + what);
  }
}
