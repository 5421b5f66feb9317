package ferngrade.jobstore;

/** Thrown if a store rejects all new jobs at present; nothing of the job was stored. */
public final class StoreUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The reason for which a job was not accepted. */
  public enum Reason {
    /** Too many changes wait for the disk. */
    OVERLOADED,
    /** The disk fails; writes are retried with backoff. */
    DISK_FAULT
  }

  private final Reason reason;

  StoreUnavailableException(Reason reason) {
    super("the store accepts no new jobs: " + reason);
    this.reason = reason;
  }

  /** Returns the reason for which the job was not accepted. */
  public Reason reason() {
    return reason;
  }
}
