package ferngrade.jobstore;

import java.util.List;

/** The outcome of a request to change a job. */
public sealed interface JobChange {
  /** The log records to store before anybody is notified; empty if nothing changed. */
  List<LogRecord> records();

  /** True if the change was allowed, also if there was nothing to change. */
  default boolean allowed() {
    return this instanceof Allowed;
  }

  /** The change was applied to the table. */
  record Allowed(List<LogRecord> records) implements JobChange {}

  /** The change was rejected and the table is as it was. */
  record Rejected(RejectionReason reason) implements JobChange {
    @Override
    public List<LogRecord> records() {
      return List.of();
    }
  }

  /** An allowed change with these records. */
  static JobChange of(LogRecord... records) {
    return new Allowed(List.of(records));
  }

  /** A rejected change. */
  static JobChange rejected(RejectionReason reason) {
    return new Rejected(reason);
  }
}
