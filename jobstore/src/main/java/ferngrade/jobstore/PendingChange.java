package ferngrade.jobstore;

import java.util.List;

/**
 * A change that waits to be stored.
 *
 * @param records what to store
 * @param onStored called on the owner's thread once the records are durable
 * @param last true for the marker that ends the writer, which carries no change
 */
record PendingChange(List<LogRecord> records, Runnable onStored, boolean last) {
  static PendingChange of(List<LogRecord> records, Runnable onStored) {
    return new PendingChange(records, onStored, false);
  }

  static PendingChange endMarker() {
    return new PendingChange(List.of(), () -> {}, true);
  }
}
