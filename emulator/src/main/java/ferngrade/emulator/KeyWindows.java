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
 * Deduplicates jobs by idempotency key. Within a time window after the first job with a key, a
 * repeat does no work and ends with the outcome of the first. All workers of a group share their
 * windows; the idempotency scope determines the groups.
 */
final class KeyWindows {
  private final Scheduler time;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Deque<Entry> expiryQueue = new ArrayDeque<>();
  private long dropped;

  /** The outcome of a job with a key. */
  enum Outcome {
    DONE,
    FAILED,
    RETURNED,
    LOST
  }

  private static final class Entry {
    final String key;
    final double expiresAt;
    Outcome outcome;
    final List<Consumer<Outcome>> repeats = new ArrayList<>(1);

    Entry(String key, double expiresAt) {
      this.key = key;
      this.expiresAt = expiresAt;
    }
  }

  KeyWindows(Scheduler time) {
    this.time = time;
  }

  /** Returns the key qualified with the zone or cell that shares the window. */
  static String qualifiedKey(IdempotencyScope scope, int zone, int cell, String key) {
    return switch (scope) {
      case ALL -> key;
      case ZONE -> "z" + zone + ":" + key;
      case CELL -> "c" + cell + ":" + key;
    };
  }

  /**
   * Returns true if the job is the first with its key and must run. Otherwise it is a repeat, and
   * {@code repeat} is called with the outcome of the first.
   */
  boolean registerFirst(String key, double window, Consumer<Outcome> repeat) {
    double now = time.now();
    while (!expiryQueue.isEmpty() && expiryQueue.peek().expiresAt <= now) {
      Entry expired = expiryQueue.poll();
      entries.remove(expired.key, expired);
    }
    Entry known = entries.get(key);
    if (known == null) {
      Entry added = new Entry(key, now + window);
      entries.put(key, added);
      expiryQueue.add(added);
      return true;
    }
    dropped++;
    if (known.outcome == null) {
      known.repeats.add(repeat);
    } else {
      time.after(0, () -> repeat.accept(known.outcome));
    }
    return false;
  }

  /**
   * Records the outcome of the first job with the key. A job that was returned or lost counts as
   * not run, and its key is free again.
   */
  void recordOutcome(String key, Outcome outcome) {
    Entry entry = entries.get(key);
    if (entry == null || entry.outcome != null) {
      return;
    }
    entry.outcome = outcome;
    if (outcome == Outcome.RETURNED || outcome == Outcome.LOST) {
      entries.remove(key);
    }
    entry.repeats.forEach(repeat -> repeat.accept(outcome));
    entry.repeats.clear();
  }

  /** Returns the number of repeats that were dropped. */
  long dropped() {
    return dropped;
  }
}
