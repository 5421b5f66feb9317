package ferngrade.dispatch;

import java.util.HashMap;
import java.util.Map;

/** The requests that are not completed or have attempts in flight, by id. Event thread only. */
final class PendingRequests {
  private final Map<String, PendingRequest> byId = new HashMap<>();

  void add(PendingRequest request) {
    byId.put(request.job.id(), request);
  }

  /** The request, or null if there is none of this id. */
  PendingRequest find(String id) {
    return byId.get(id);
  }

  /** The attempt of this number, or null if there is none. */
  Attempt findAttempt(String id, int number) {
    PendingRequest request = byId.get(id);
    return request == null || number >= request.attempts.size()
        ? null
        : request.attempts.get(number);
  }

  /** Drops the request if it is completed and none of its attempts is in flight. */
  void removeIfDone(PendingRequest request) {
    if (request.completed && request.inFlight == 0) {
      byId.remove(request.job.id());
    }
  }
}
