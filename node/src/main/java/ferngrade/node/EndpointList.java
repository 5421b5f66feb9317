package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.WorkerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The worker list as last told. */
final class EndpointList {
  private final Map<Long, Endpoint> byId = new HashMap<>();

  /** Takes in news; what a whole list leaves out is gone. */
  void update(EndpointListUpdate news, List<Endpoint> entries) {
    if (news != EndpointListUpdate.CHANGES) {
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
   * True while a job picked for this entry may go to it: not once it drains, is gone, has moved or
   * has restarted, because the pick was made for the process that the entry spoke of.
   */
  boolean stands(Endpoint entry) {
    Endpoint present = byId.get(entry.worker().id());
    return present != null
        && present.worker().state() == WorkerState.READY
        && present.worker().startedAt() == entry.worker().startedAt()
        && present.address().equals(entry.address());
  }
}
