package ferngrade.jobstore;

import java.io.IOException;

/** Thrown if synced data of a store is damaged. The message names the file and the offset. */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1L;

  private final String file;
  private final long offset;

  /** Creates an exception for damage at an offset of a file. */
  public CorruptLogException(String file, long offset, String description) {
    super(file + ": offset " + offset + ": " + description);
    this.file = file;
    this.offset = offset;
  }

  /** The name of the damaged file. */
  public String file() {
    return file;
  }

  /** The offset of the damage in the file, bytes. */
  public long offset() {
    return offset;
  }
}
