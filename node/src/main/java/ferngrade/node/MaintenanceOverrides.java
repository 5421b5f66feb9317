package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleUnaryOperator;

/**
 * The menu workers that operators have put in maintenance, applied on top of the endpoint list. The
 * dispatcher sees such a worker as draining, whatever discovery says, until operators end the
 * maintenance; it then counts as a process started at that moment, since operators restart it
 * meanwhile and it has to warm up. A set, not a count: two calls out need one call back.
 *
 * <p>No I/O and no clock: times come as arguments, by the node's monotonic clock, as do those of
 * the list's entries.
 */
public final class MaintenanceOverrides {
  private final Set<String> out = new TreeSet<>();

  /**
   * When each worker taken back returned; it counts as started then until the list reports a later
   * start.
   */
  private final Map<String, Double> back = new HashMap<>();

  /** The list's own entries, as received last, by name. */
  private final Map<String, Endpoint> listed = new HashMap<>();

  /** Applies maintenance to an update of the list, and keeps the list's own entries. */
  List<Endpoint> over(EndpointListUpdate kind, List<Endpoint> entries) {
    if (kind != EndpointListUpdate.CHANGES) {
      listed.clear();
    }
    List<Endpoint> effective = new ArrayList<>(entries.size());
    for (Endpoint entry : entries) {
      if (entry.worker().state() == WorkerState.GONE) {
        listed.remove(entry.name());
      } else {
        listed.put(entry.name(), entry);
      }
      effective.add(overlaid(entry));
    }
    return effective;
  }

  private Endpoint overlaid(Endpoint entry) {
    Worker worker = entry.worker();
    if (worker.state() == WorkerState.GONE) {
      return entry;
    }
    if (out.contains(entry.name())) {
      return entry.with(WorkerState.DRAINING, worker.startedAt());
    }
    Double returned = back.get(entry.name());
    if (returned == null) {
      return entry;
    }
    if (worker.startedAt() >= returned) {
      back.remove(entry.name());
      return entry;
    }
    return entry.startedAt(returned);
  }

  /** True if the list holds this worker or it is in maintenance: operators may name it. */
  public boolean knows(String name) {
    return listed.containsKey(name) || out.contains(name);
  }

  /**
   * Puts a worker in maintenance. Returns the entry that is in force now, or null where the list
   * does not hold it at present.
   */
  Endpoint take(String name) {
    out.add(name);
    back.remove(name);
    Endpoint entry = listed.get(name);
    return entry == null ? null : overlaid(entry);
  }

  /**
   * Takes a worker back at {@code now}; returns the entry that is in force now, or null as above.
   */
  Endpoint giveBack(String name, double now) {
    if (out.remove(name)) {
      back.put(name, now);
    }
    Endpoint entry = listed.get(name);
    return entry == null ? null : overlaid(entry);
  }

  /** Listed workers in maintenance. */
  public int listedOut() {
    return (int) out.stream().filter(listed::containsKey).count();
  }

  /** Listed workers, whatever their phase. */
  public int listedAll() {
    return listed.size();
  }

  /**
   * What a later process takes over: names in maintenance, and when each worker taken back
   * returned. Outside the node, as in a file, these are times of the wall clock.
   */
  public record Saved(Set<String> out, Map<String, Double> back) {
    public Saved {
      out = Set.copyOf(out);
      back = Map.copyOf(back);
    }

    /** The same by another clock. */
    Saved translated(DoubleUnaryOperator clock) {
      Map<String, Double> times = new HashMap<>();
      back.forEach((name, returned) -> times.put(name, clock.applyAsDouble(returned)));
      return new Saved(out, times);
    }
  }

  /** The state that a later process takes over. */
  public Saved saved() {
    return new Saved(out, back);
  }

  /** Takes over what an earlier process saved, beside what this one has. */
  public void restore(Saved saved) {
    out.addAll(saved.out());
    back.putAll(saved.back());
  }
}
