package ferngrade.node;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Remembers the ids of the most recently finished requests, up to a limit. Each request must have a
 * new id: a worker rejects a request whose id it has already received, and a late callback for the
 * first request could be mistaken for one for the second.
 */
final class RecentIds {
  private final int maxIds;
  private final Set<String> ids = new LinkedHashSet<>();

  RecentIds(int maxIds) {
    this.maxIds = maxIds;
  }

  void add(String id) {
    ids.add(id);
    if (ids.size() > maxIds) {
      ids.remove(ids.iterator().next());
    }
  }

  /** Returns the ids, the oldest first. */
  Stream<String> stream() {
    return ids.stream();
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
