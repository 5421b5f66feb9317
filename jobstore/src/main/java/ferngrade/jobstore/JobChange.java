package ferngrade.jobstore;

import java.util.List;

/** The result of a request to change a job. */
public sealed interface JobChange {
  /**
   * Returns the log records that must be stored before the change is reported; empty if nothing has
   * changed.
   */
  List<LogRecord> records();

  /** Returns true if the change was allowed, also if it changed nothing. */
  default boolean allowed() {
    return this instanceof Allowed;
  }

  /** The change was applied to the table. */
  record Allowed(List<LogRecord> records) implements JobChange {}

  /** The change was rejected and the table is unchanged. */
  record Rejected(RejectionReason reason) implements JobChange {
    @Override
    public List<LogRecord> records() {
      return List.of();
    }
  }

  /** Creates an allowed change with these records. */
  static JobChange of(LogRecord... records) {
    return new Allowed(List.of(records));
  }

  /** Creates a rejected change. */
  static JobChange rejected(RejectionReason reason) {
    return new Rejected(reason);
  }
}
