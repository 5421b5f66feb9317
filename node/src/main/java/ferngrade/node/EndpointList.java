package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.WorkerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The most recently received endpoint list. */
final class EndpointList {
  private final Map<Long, Endpoint> byId = new HashMap<>();

  /** Applies an update. A complete list replaces all previous entries. */
  void update(EndpointListUpdate updateType, List<Endpoint> entries) {
    if (updateType != EndpointListUpdate.CHANGES) {
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

  /** Returns the worker's entry; null if the list does not contain the worker. */
  Endpoint get(long id) {
    return byId.get(id);
  }

  /**
   * Returns true while a job for which this entry was selected may be sent to the worker. Returns
   * false once the worker drains, is gone, has moved or has restarted, because the selection
   * applies only to the worker process that the entry describes.
   */
  boolean isCurrent(Endpoint entry) {
    Endpoint current = byId.get(entry.worker().id());
    return current != null
        && current.worker().state() == WorkerState.READY
        && current.worker().startedAt() == entry.worker().startedAt()
        && current.address().equals(entry.address());
  }
}
