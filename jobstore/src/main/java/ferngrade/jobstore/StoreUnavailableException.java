package ferngrade.jobstore;

/** A store takes no new job at present; nothing of the job was kept. */
public final class StoreUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why a job was not taken. */
  public enum Reason {
    /** Too many changes are on their way to the disk. */
    OVERLOADED,
    /** The disk fails; it is tried again with backoff. */
    DISK_FAULT
  }

  private final Reason reason;

  StoreUnavailableException(Reason reason) {
    super("the store takes no new job: " + reason);
    this.reason = reason;
  }

  public Reason reason() {
    return reason;
  }
}
