package ferngrade.jobstore;

/** Thrown if a store accepts no new job at present; nothing of the job was stored. */
public final class StoreUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Why a job was not accepted. */
  public enum Reason {
    /** Too many changes wait for the disk. */
    OVERLOADED,
    /** The disk fails; writes are retried with backoff. */
    DISK_FAULT
  }

  private final Reason reason;

  StoreUnavailableException(Reason reason) {
    super("the store takes no new job: " + reason);
    this.reason = reason;
  }

  /** Why the job was not accepted. */
  public Reason reason() {
    return reason;
  }
}
