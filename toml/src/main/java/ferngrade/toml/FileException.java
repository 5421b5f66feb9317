package ferngrade.toml;

/**
 * Reports a file that cannot be used. The message is one line that names the file and, if known,
 * the line number.
 */
public final class FileException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the location and the description of the error. */
  public FileException(String location, String description) {
    super(location + ": " + description);
  }
}
