package ferngrade.emulator;

import ferngrade.dispatch.IdempotencyScope;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The windows within which workers drop a repeat of a key: a repeat does no work and ends as the
 * first does. All workers of a group share theirs; which group a worker belongs to is the scope's
 * matter.
 */
final class KeyWindows {
  private final Scheduler time;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Deque<Entry> byAge = new ArrayDeque<>();
  private long dropped;

  /** How a keyed job ended. */
  enum End {
    DONE,
    FAILED,
    RETURNED,
    LOST
  }

  private static final class Entry {
    final String key;
    final double until;
    End end;
    final List<Consumer<End>> repeats = new ArrayList<>(1);

    Entry(String key, double until) {
      this.key = key;
      this.until = until;
    }
  }

  KeyWindows(Scheduler time) {
    this.time = time;
  }

  /** The group's own name of a key. */
  static String name(IdempotencyScope scope, int zone, int cell, String key) {
    return switch (scope) {
      case ALL -> key;
      case ZONE -> "z" + zone + ":" + key;
      case CELL -> "c" + cell + ":" + key;
    };
  }

  /**
   * True: it is the first under its key and runs. False: a repeat, whose end {@code repeat} will
   * hear.
   */
  boolean first(String key, double window, Consumer<End> repeat) {
    double now = time.now();
    while (!byAge.isEmpty() && byAge.peek().until <= now) {
      Entry old = byAge.poll();
      entries.remove(old.key, old);
    }
    Entry known = entries.get(key);
    if (known == null) {
      Entry fresh = new Entry(key, now + window);
      entries.put(key, fresh);
      byAge.add(fresh);
      return true;
    }
    dropped++;
    if (known.end == null) {
      known.repeats.add(repeat);
    } else {
      time.after(0, () -> repeat.accept(known.end));
    }
    return false;
  }

  /** The job that ran under the key has ended; one that never ran leaves the key free. */
  void ended(String key, End end) {
    Entry entry = entries.get(key);
    if (entry == null || entry.end != null) {
      return;
    }
    entry.end = end;
    if (end == End.RETURNED || end == End.LOST) {
      entries.remove(key);
    }
    entry.repeats.forEach(each -> each.accept(end));
    entry.repeats.clear();
  }

  /** The repeats dropped so far. */
  long dropped() {
    return dropped;
  }
}
