package ferngrade.node;

import java.util.function.DoubleUnaryOperator;

/**
 * The latest decision of operators on one worker. Each decision on a worker has a higher version
 * than the previous one, so all processes of a node converge to the same entry, in whatever order
 * they receive the entries.
 *
 * @param worker the worker's name in the endpoint list
 * @param version the number of decisions on this worker so far, across all processes of the node
 * @param inMaintenance true while the worker is in maintenance
 * @param returnedAt when the worker's last maintenance ended, in ms; 0 while it is in maintenance
 */
public record MaintenanceEntry(
    String worker, long version, boolean inMaintenance, double returnedAt) implements SharedRecord {
  /** The version of entries that an earlier release stored without a version. */
  static final long UNVERSIONED = 0;

  static MaintenanceEntry inMaintenance(String worker, long version) {
    return new MaintenanceEntry(worker, version, true, 0);
  }

  static MaintenanceEntry returned(String worker, long version, double at) {
    return new MaintenanceEntry(worker, version, false, at);
  }

  /**
   * Returns true if this entry replaces the other one because its version is higher. If the
   * versions are equal because two processes decided concurrently, the entry that starts
   * maintenance wins, since no jobs may be sent to a worker that is being restarted.
   */
  boolean supersedes(MaintenanceEntry other) {
    return other == null
        || version > other.version
        || (version == other.version && inMaintenance && !other.inMaintenance);
  }

  /** Returns a copy with its time converted to another clock. */
  MaintenanceEntry translated(DoubleUnaryOperator clock) {
    return inMaintenance ? this : returned(worker, version, clock.applyAsDouble(returnedAt));
  }
}
