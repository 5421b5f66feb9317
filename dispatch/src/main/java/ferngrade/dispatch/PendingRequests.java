package ferngrade.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Indexes by id the requests that are not completed or have attempts in flight. Event thread only.
 */
final class PendingRequests {
  private final Map<String, PendingRequest> byId = new HashMap<>();

  void add(PendingRequest request) {
    byId.put(request.job.id(), request);
  }

  /** Returns the request with this id, or null if there is none. */
  PendingRequest find(String id) {
    return byId.get(id);
  }

  /** Returns the attempt with this number, or null if there is none. */
  Attempt findAttempt(String id, int attemptNumber) {
    PendingRequest request = byId.get(id);
    return request == null || attemptNumber >= request.attempts.size()
        ? null
        : request.attempts.get(attemptNumber);
  }

  /** Removes the request if it is completed and none of its attempts is in flight. */
  void removeIfDone(PendingRequest request) {
    if (request.completed && request.inFlight == 0) {
      byId.remove(request.job.id());
    }
  }
}
