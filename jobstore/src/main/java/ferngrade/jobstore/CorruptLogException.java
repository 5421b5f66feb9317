package ferngrade.jobstore;

import java.io.IOException;

/**
 * A store whose content is not what was written; it names the file and the offset, and is never
 * passed over.
 */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1L;

  private final String file;
  private final long offset;

  /** Names the place and what is wrong there. */
  public CorruptLogException(String file, long offset, String what) {
    super(file + ": offset " + offset + ": " + what);
    this.file = file;
    this.offset = offset;
  }

  public String file() {
    return file;
  }

  public long offset() {
    return offset;
  }
}
