package ferngrade.node;

import java.util.function.DoubleUnaryOperator;

/**
 * The latest decision of operators on one worker. Entries of one worker are ordered by their
 * version, which each decision raises, so that all processes of a node end with the same one in
 * whatever order entries reach them.
 *
 * @param worker the worker's name in the endpoint list
 * @param version counts the decisions on this worker, across all processes of the node
 * @param out true while the worker is in maintenance
 * @param returnedAt when its last maintenance ended, in ms; 0 while it is out
 */
public record MaintenanceEntry(String worker, long version, boolean out, double returnedAt)
    implements SharedRecord {
  /** The version of what an earlier release stored, which did not count decisions. */
  static final long UNVERSIONED = 0;

  static MaintenanceEntry out(String worker, long version) {
    return new MaintenanceEntry(worker, version, true, 0);
  }

  static MaintenanceEntry returned(String worker, long version, double at) {
    return new MaintenanceEntry(worker, version, false, at);
  }

  /**
   * True if this entry replaces the other: a later version does. Of two decisions that were made at
   * once in two processes, the one that takes the worker out counts, since jobs must not be sent to
   * a worker that is being restarted.
   */
  boolean supersedes(MaintenanceEntry other) {
    return other == null
        || version > other.version
        || (version == other.version && out && !other.out);
  }

  /** The same with its time by another clock. */
  MaintenanceEntry translated(DoubleUnaryOperator clock) {
    return out ? this : returned(worker, version, clock.applyAsDouble(returnedAt));
  }
}
