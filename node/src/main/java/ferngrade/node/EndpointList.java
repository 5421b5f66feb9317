package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.WorkerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The endpoint list as received last. */
final class EndpointList {
  private final Map<Long, Endpoint> byId = new HashMap<>();

  /** Applies an update; what a complete list leaves out is gone. */
  void update(EndpointListUpdate kind, List<Endpoint> entries) {
    if (kind != EndpointListUpdate.CHANGES) {
      byId.clear();
    }
    for (Endpoint entry : entries) {
      if (entry.worker().state() == WorkerState.GONE) {
        byId.remove(entry.worker().id());
      } else {
        byId.put(entry.worker().id(), entry);
      }
    }
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  /** The worker's entry, or null if the list does not hold it. */
  Endpoint get(long id) {
    return byId.get(id);
  }

  /**
   * True while a job for which this entry was selected may be sent to it: not once it drains, is
   * gone, has moved or has restarted, because the selection was made for the process that the entry
   * describes.
   */
  boolean isCurrent(Endpoint entry) {
    Endpoint current = byId.get(entry.worker().id());
    return current != null
        && current.worker().state() == WorkerState.READY
        && current.worker().startedAt() == entry.worker().startedAt()
        && current.address().equals(entry.address());
  }
}
