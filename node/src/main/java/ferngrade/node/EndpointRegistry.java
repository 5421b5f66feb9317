package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Worker;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Maintains the effective endpoint list: the list that discovery sent, with start times converted
 * to this process's monotonic clock and with the operators' maintenance applied. Confined to the
 * event loop's thread.
 */
final class EndpointRegistry {
  private final Clock clock;
  private final BiConsumer<EndpointListUpdate, List<Worker>> listener;
  private final EndpointList endpoints = new EndpointList();
  private final StartTimes startTimes;
  private final MaintenanceOverrides maintenance = new MaintenanceOverrides();

  /** The list that an earlier process stored; null once a list has been received. */
  private List<Endpoint> storedList;

  /** Creates a registry that passes each update, with maintenance applied, to {@code listener}. */
  EndpointRegistry(Clock clock, BiConsumer<EndpointListUpdate, List<Worker>> listener) {
    this.clock = clock;
    this.listener = listener;
    this.startTimes = new StartTimes(clock);
  }

  boolean isEmpty() {
    return endpoints.isEmpty();
  }

  /** Returns the worker's endpoint; null if the list does not contain the worker. */
  Endpoint get(long worker) {
    return endpoints.get(worker);
  }

  /** Returns true while a job for which this endpoint was selected may be sent to it. */
  boolean isCurrent(Endpoint endpoint) {
    return endpoints.isCurrent(endpoint);
  }

  /** Applies an update of the list, whose start times are wall clock times. */
  void update(EndpointListUpdate updateType, List<Endpoint> entries) {
    storedList = null;
    apply(updateType, maintenance.apply(updateType, startTimes.translate(updateType, entries)));
  }

  /** Records that discovery has confirmed the current list. */
  void listConfirmed() {
    startTimes.listConfirmed();
  }

  /** Keeps the list of an earlier process for {@link #useStored}. */
  void keepStored(List<Endpoint> entries) {
    storedList = entries;
  }

  /** Puts the stored list into effect, unless a list has been received. */
  void useStored() {
    if (storedList != null) {
      update(EndpointListUpdate.STORED, storedList);
    }
  }

  /** Starts a worker's maintenance; returns false if no worker has this name. */
  boolean startMaintenance(String name) {
    return mayBeWorker(name) && publish(maintenance.start(name));
  }

  /** Ends a worker's maintenance; returns false if no worker has this name. */
  boolean endMaintenance(String name) {
    return mayBeWorker(name) && publish(maintenance.end(name, clock.now()));
  }

  /**
   * Returns true if operators may name this worker. Before the first list, any name may be the name
   * of a worker, and a decision on that worker must take effect.
   */
  private boolean mayBeWorker(String name) {
    return endpoints.isEmpty() || maintenance.isKnown(name);
  }

  /**
   * Applies a decision of another process of this node, with times of the wall clock.
   *
   * @param notBefore a time before the decision was made, ms on the monotonic clock; a lower bound
   *     for the converted time, since the wall clock may have been stepped in the meantime
   * @return false if the decision is already known or superseded
   */
  boolean mergeMaintenance(MaintenanceEntry decision, double notBefore) {
    boolean applied =
        maintenance.merge(
            decision.translated(wall -> Math.max(notBefore, startTimes.toMonotonic(wall))));
    if (applied) {
      publish(maintenance.effectiveEntry(decision.worker()));
    }
    return applied;
  }

  /**
   * Returns the latest decision on this worker, with times of the wall clock; null if there is
   * none.
   */
  MaintenanceEntry maintenanceDecision(String name) {
    MaintenanceEntry decision = maintenance.decision(name);
    return decision == null ? null : decision.translated(startTimes::toWall);
  }

  /**
   * Returns the latest decision on each worker for which operators have made one, with times of the
   * wall clock.
   */
  List<MaintenanceEntry> maintenanceDecisions() {
    return maintenance.decisions().stream()
        .map(decision -> decision.translated(startTimes::toWall))
        .toList();
  }

  private boolean publish(Endpoint entry) {
    if (entry != null) {
      apply(EndpointListUpdate.CHANGES, List.of(entry));
    }
    return true;
  }

  /** Returns the maintenance state, with times of the wall clock. */
  MaintenanceOverrides.Saved savedMaintenance() {
    return maintenance.saved().translated(startTimes::toWall);
  }

  /** Restores saved maintenance state, with times of the wall clock. */
  void restoreMaintenance(MaintenanceOverrides.Saved saved) {
    maintenance.restore(saved.translated(startTimes::toMonotonic));
  }

  /** Returns the number of listed workers. */
  int listedCount() {
    return maintenance.listedCount();
  }

  /** Returns the number of listed workers in maintenance. */
  int inMaintenanceCount() {
    return maintenance.inMaintenanceCount();
  }

  private void apply(EndpointListUpdate updateType, List<Endpoint> entries) {
    // The update takes effect immediately instead of with the next batch of events: the time limit
    // for the last send to a draining worker runs from the receipt of the update.
    endpoints.update(updateType, entries);
    listener.accept(updateType, entries.stream().map(Endpoint::worker).toList());
  }
}
