package ferngrade.jobstore;

import java.util.List;

/**
 * A change that is queued to be stored.
 *
 * @param records the records to store
 * @param onStored called on the owner's thread once the records are durable
 * @param last true for the end marker, which carries no change and stops the writer
 */
record PendingChange(List<LogRecord> records, Runnable onStored, boolean last) {
  static PendingChange of(List<LogRecord> records, Runnable onStored) {
    return new PendingChange(records, onStored, false);
  }

  static PendingChange endMarker() {
    return new PendingChange(List.of(), () -> {}, true);
  }
}
