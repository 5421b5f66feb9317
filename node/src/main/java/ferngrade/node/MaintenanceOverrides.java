package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;

/**
 * The menu workers that operators have put in maintenance, applied on top of the endpoint list. The
 * dispatcher sees such a worker as draining, whatever discovery says, until operators end the
 * maintenance; it then counts as a process started at that moment, since operators restart it
 * meanwhile and it has to warm up. A state, not a count: two calls out need one call back. Each
 * decision is a {@link MaintenanceEntry} with a version, so that the decisions of several processes
 * of a node merge to the same state in each.
 *
 * <p>No I/O and no clock: times come as arguments, by the node's monotonic clock, as do those of
 * the list's entries.
 */
public final class MaintenanceOverrides {
  /** The latest decision on each worker that operators have named. */
  private final Map<String, MaintenanceEntry> entries = new TreeMap<>();

  /**
   * Workers whose listed start is later than their return: operators' decisions are over for them.
   */
  private final Set<String> restarted = new HashSet<>();

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
    MaintenanceEntry decision = entries.get(entry.name());
    if (decision == null) {
      return entry;
    }
    if (decision.out()) {
      return entry.with(WorkerState.DRAINING, worker.startedAt());
    }
    if (restarted.contains(entry.name()) || worker.startedAt() >= decision.returnedAt()) {
      restarted.add(entry.name());
      return entry;
    }
    return entry.startedAt(decision.returnedAt());
  }

  private boolean isOut(String name) {
    MaintenanceEntry decision = entries.get(name);
    return decision != null && decision.out();
  }

  /** True if the list holds this worker or it is in maintenance: operators may name it. */
  public boolean knows(String name) {
    return listed.containsKey(name) || isOut(name);
  }

  /**
   * Puts a worker in maintenance. Returns the entry that is in force now, or null where the list
   * does not hold it at present.
   */
  Endpoint take(String name) {
    put(MaintenanceEntry.out(name, nextVersion(name)));
    return inForce(name);
  }

  private long nextVersion(String name) {
    MaintenanceEntry decision = entries.get(name);
    return 1 + (decision == null ? MaintenanceEntry.UNVERSIONED : decision.version());
  }

  private void put(MaintenanceEntry decision) {
    entries.put(decision.worker(), decision);
    restarted.remove(decision.worker());
  }

  /** The listed entry of this worker as it is in force; null if the list does not hold it. */
  Endpoint inForce(String name) {
    Endpoint entry = listed.get(name);
    return entry == null ? null : overlaid(entry);
  }

  /**
   * Takes a worker back at {@code now}; returns the entry that is in force now, or null as above.
   */
  Endpoint giveBack(String name, double now) {
    if (isOut(name)) {
      put(MaintenanceEntry.returned(name, nextVersion(name), now));
    }
    return inForce(name);
  }

  /** The latest decision on this worker; null if there has been none. */
  MaintenanceEntry decision(String name) {
    return entries.get(name);
  }

  /** The latest decision on each worker that operators have named. */
  List<MaintenanceEntry> decisions() {
    return List.copyOf(entries.values());
  }

  /** Takes over a decision of another process, unless it is superseded; true if it is new. */
  boolean merge(MaintenanceEntry decision) {
    boolean isNew = decision.supersedes(entries.get(decision.worker()));
    if (isNew) {
      put(decision);
    }
    return isNew;
  }

  /** Listed workers in maintenance. */
  public int listedOut() {
    return (int) listed.keySet().stream().filter(this::isOut).count();
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
    Set<String> out = new HashSet<>();
    Map<String, Double> back = new HashMap<>();
    for (MaintenanceEntry decision : entries.values()) {
      if (decision.out()) {
        out.add(decision.worker());
      } else if (!restarted.contains(decision.worker())) {
        back.put(decision.worker(), decision.returnedAt());
      }
    }
    return new Saved(out, back);
  }

  /**
   * Takes over what an earlier process saved, for workers on which no decision with a version is
   * known.
   */
  public void restore(Saved saved) {
    saved.out().forEach(name -> merge(MaintenanceEntry.out(name, MaintenanceEntry.UNVERSIONED)));
    saved
        .back()
        .forEach(
            (name, at) -> merge(MaintenanceEntry.returned(name, MaintenanceEntry.UNVERSIONED, at)));
  }
}
