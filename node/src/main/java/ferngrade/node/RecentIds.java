package ferngrade.node;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the requests that ended last. Each request brings a new one; a worker that has had an
 * id turns the next request under it away, and a late call-back for the first could be taken for
 * the second's.
 */
final class RecentIds {
  private final int most;
  private final Set<String> ids = new LinkedHashSet<>();

  RecentIds(int most) {
    this.most = most;
  }

  void add(String id) {
    ids.add(id);
    if (ids.size() > most) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
