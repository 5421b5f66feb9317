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
 * Tracks the workers that operators have put in maintenance, and applies the maintenance to the
 * endpoint list. The dispatcher sees a worker in maintenance as draining, whatever state discovery
 * reports, until operators end the maintenance. The worker then counts as started at that moment,
 * because operators restart the process during maintenance and the new process has to warm up.
 * Maintenance is a state and not a count: two starts need only one end. Each decision is a {@link
 * MaintenanceEntry} with a version, so that the decisions of several processes of a node merge to
 * the same state in each process.
 *
 * <p>Performs no I/O and reads no clock: times are passed as arguments, on the node's monotonic
 * clock, like the start times of the list's entries.
 */
public final class MaintenanceOverrides {
  /** The latest decision on each worker for which operators have made one, by worker name. */
  private final Map<String, MaintenanceEntry> entries = new TreeMap<>();

  /**
   * The workers whose start time in the list is later than the end of their maintenance, so that
   * the end of the maintenance no longer determines their start time.
   */
  private final Set<String> restartedSinceReturn = new HashSet<>();

  /**
   * The most recently received entries of the list, by worker name, without maintenance applied.
   */
  private final Map<String, Endpoint> listed = new HashMap<>();

  /** Records an update of the list and returns its entries with maintenance applied. */
  List<Endpoint> apply(EndpointListUpdate updateType, List<Endpoint> entries) {
    if (updateType != EndpointListUpdate.CHANGES) {
      listed.clear();
    }
    List<Endpoint> effective = new ArrayList<>(entries.size());
    for (Endpoint entry : entries) {
      if (entry.worker().state() == WorkerState.GONE) {
        listed.remove(entry.name());
      } else {
        listed.put(entry.name(), entry);
      }
      effective.add(applyDecision(entry));
    }
    return effective;
  }

  private Endpoint applyDecision(Endpoint entry) {
    Worker worker = entry.worker();
    if (worker.state() == WorkerState.GONE) {
      return entry;
    }
    MaintenanceEntry decision = entries.get(entry.name());
    if (decision == null) {
      return entry;
    }
    if (decision.inMaintenance()) {
      return entry.with(WorkerState.DRAINING, worker.startedAt());
    }
    if (restartedSinceReturn.contains(entry.name())
        || worker.startedAt() >= decision.returnedAt()) {
      restartedSinceReturn.add(entry.name());
      return entry;
    }
    return entry.startedAt(decision.returnedAt());
  }

  private boolean isInMaintenance(String name) {
    MaintenanceEntry decision = entries.get(name);
    return decision != null && decision.inMaintenance();
  }

  /**
   * Returns true if operators may name this worker: the list contains it or it is in maintenance.
   */
  public boolean isKnown(String name) {
    return listed.containsKey(name) || isInMaintenance(name);
  }

  /**
   * Starts a worker's maintenance. Returns the effective entry, or null if the list does not
   * contain the worker at present.
   */
  Endpoint start(String name) {
    put(MaintenanceEntry.inMaintenance(name, nextVersion(name)));
    return effectiveEntry(name);
  }

  private long nextVersion(String name) {
    MaintenanceEntry decision = entries.get(name);
    return 1 + (decision == null ? MaintenanceEntry.UNVERSIONED : decision.version());
  }

  private void put(MaintenanceEntry decision) {
    entries.put(decision.worker(), decision);
    restartedSinceReturn.remove(decision.worker());
  }

  /**
   * Returns the listed entry of this worker with maintenance applied; null if the list does not
   * contain the worker.
   */
  Endpoint effectiveEntry(String name) {
    Endpoint entry = listed.get(name);
    return entry == null ? null : applyDecision(entry);
  }

  /**
   * Ends a worker's maintenance at {@code now}. Returns the effective entry, or null if the list
   * does not contain the worker at present.
   */
  Endpoint end(String name, double now) {
    if (isInMaintenance(name)) {
      put(MaintenanceEntry.returned(name, nextVersion(name), now));
    }
    return effectiveEntry(name);
  }

  /** Returns the latest decision on this worker; null if there is none. */
  MaintenanceEntry decision(String name) {
    return entries.get(name);
  }

  /** Returns the latest decision on each worker for which operators have made one. */
  List<MaintenanceEntry> decisions() {
    return List.copyOf(entries.values());
  }

  /**
   * Applies a decision of another process unless it is already known or superseded. Returns true if
   * it was applied.
   */
  boolean merge(MaintenanceEntry decision) {
    boolean supersedes = decision.supersedes(entries.get(decision.worker()));
    if (supersedes) {
      put(decision);
    }
    return supersedes;
  }

  /** Returns the number of listed workers in maintenance. */
  public int inMaintenanceCount() {
    return (int) listed.keySet().stream().filter(this::isInMaintenance).count();
  }

  /** Returns the number of listed workers in any state. */
  public int listedCount() {
    return listed.size();
  }

  /**
   * The state that a later process restores: the names of the workers in maintenance, and for each
   * returned worker the time at which its maintenance ended. Outside the node, for example in a
   * file, the times are wall clock times.
   */
  public record Saved(Set<String> inMaintenance, Map<String, Double> returnedAt) {
    public Saved {
      inMaintenance = Set.copyOf(inMaintenance);
      returnedAt = Map.copyOf(returnedAt);
    }

    /** Returns a copy with its times converted to another clock. */
    Saved translated(DoubleUnaryOperator clock) {
      Map<String, Double> times = new HashMap<>();
      returnedAt.forEach((name, time) -> times.put(name, clock.applyAsDouble(time)));
      return new Saved(inMaintenance, times);
    }
  }

  /** Returns the state for a later process to restore. */
  public Saved saved() {
    Set<String> inMaintenance = new HashSet<>();
    Map<String, Double> returnedAt = new HashMap<>();
    for (MaintenanceEntry decision : entries.values()) {
      if (decision.inMaintenance()) {
        inMaintenance.add(decision.worker());
      } else if (!restartedSinceReturn.contains(decision.worker())) {
        returnedAt.put(decision.worker(), decision.returnedAt());
      }
    }
    return new Saved(inMaintenance, returnedAt);
  }

  /**
   * Restores the state that an earlier process saved, for workers on which no decision with a
   * version is known.
   */
  public void restore(Saved saved) {
    saved
        .inMaintenance()
        .forEach(name -> merge(MaintenanceEntry.inMaintenance(name, MaintenanceEntry.UNVERSIONED)));
    saved
        .returnedAt()
        .forEach(
            (name, at) -> merge(MaintenanceEntry.returned(name, MaintenanceEntry.UNVERSIONED, at)));
  }
}
