package ferngrade.jobstore;

import ferngrade.jobstore.FaultInjectingStorage.DiskFault;
import ferngrade.jobstore.FaultInjectingStorage.Errno;
import ferngrade.jobstore.FaultInjectingStorage.Operation;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Schedules disk faults: per operation, the number that succeed and then the number that fail. */
final class FaultSchedule {
  private static final class Faults {
    private final Errno errno;
    private long succeeding;
    private long failing;

    Faults(Errno errno, long succeeding, long failing) {
      this.errno = errno;
      this.succeeding = succeeding;
      this.failing = failing;
    }

    boolean nextFails() {
      if (succeeding > 0) {
        succeeding--;
        return false;
      }
      return failing-- > 0;
    }
  }

  private final Map<Operation, Faults> faults = new EnumMap<>(Operation.class);

  /**
   * Lets the next {@code succeeding} operations of this type succeed and the {@code failing}
   * operations after them fail.
   */
  void schedule(Operation operation, Errno errno, long succeeding, long failing) {
    faults.put(operation, new Faults(errno, succeeding, failing));
  }

  void clear() {
    faults.clear();
  }

  /** Counts an operation and returns its fault, if one is scheduled. */
  Optional<DiskFault> next(Operation operation) {
    return Optional.ofNullable(faults.get(operation))
        .filter(Faults::nextFails)
        .map(scheduled -> new DiskFault(operation, scheduled.errno));
  }
}
