package ferngrade.jobstore;

import ferngrade.jobstore.FaultInjectingStorage.DiskFault;
import ferngrade.jobstore.FaultInjectingStorage.Errno;
import ferngrade.jobstore.FaultInjectingStorage.Operation;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** Which operations of each kind fail: after so many that succeed, so many. */
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

  /** Of this kind, {@code succeeding} more operations succeed, and then {@code failing} fail. */
  void schedule(Operation operation, Errno errno, long succeeding, long failing) {
    faults.put(operation, new Faults(errno, succeeding, failing));
  }

  void clear() {
    faults.clear();
  }

  /** Counts an operation and returns its fault if it fails. */
  Optional<DiskFault> next(Operation operation) {
    return Optional.ofNullable(faults.get(operation))
        .filter(Faults::nextFails)
        .map(each -> new DiskFault(operation, each.errno));
  }
}
