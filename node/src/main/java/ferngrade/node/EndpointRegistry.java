package ferngrade.node;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Worker;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The endpoint list in force: as discovery sent it, with start times on this process's clock, and
 * with the operators' maintenance laid over it. Belongs to the loop's thread.
 */
final class EndpointRegistry {
  private final Clock clock;
  private final BiConsumer<EndpointListUpdate, List<Worker>> listener;
  private final EndpointList endpoints = new EndpointList();
  private final StartTimes startTimes;
  private final MaintenanceOverrides maintenance = new MaintenanceOverrides();

  /** The list of an earlier process while none has been received; null from then on. */
  private List<Endpoint> stored;

  /** Passes each update, as it is in force, to {@code listener}. */
  EndpointRegistry(Clock clock, BiConsumer<EndpointListUpdate, List<Worker>> listener) {
    this.clock = clock;
    this.listener = listener;
    this.startTimes = new StartTimes(clock);
  }

  boolean isEmpty() {
    return endpoints.isEmpty();
  }

  /** The worker's endpoint; null if the list does not hold it. */
  Endpoint get(long worker) {
    return endpoints.get(worker);
  }

  /** True while a job picked for this endpoint may be sent to it. */
  boolean isCurrent(Endpoint endpoint) {
    return endpoints.isCurrent(endpoint);
  }

  /** An update of the list, whose start times are by the wall clock. */
  void update(EndpointListUpdate kind, List<Endpoint> entries) {
    stored = null;
    apply(kind, maintenance.over(kind, startTimes.translate(kind, entries)));
  }

  /** Discovery reports that nothing has changed. */
  void unchanged() {
    startTimes.unchanged();
  }

  /** Keeps the list of an earlier process, for {@link #useStored}. */
  void store(List<Endpoint> entries) {
    stored = entries;
  }

  /** Puts the stored list in force, if none has been received. */
  void useStored() {
    if (stored != null) {
      update(EndpointListUpdate.STORED, stored);
    }
  }

  /** Puts a worker in maintenance; false if nobody has that name. */
  boolean startMaintenance(String name) {
    return mayExist(name) && changed(maintenance.take(name));
  }

  /** Ends a worker's maintenance; false if nobody has that name. */
  boolean endMaintenance(String name) {
    return mayExist(name) && changed(maintenance.giveBack(name, clock.now()));
  }

  /** Before the first list any name may be that of a worker, and decisions on it must hold. */
  private boolean mayExist(String name) {
    return endpoints.isEmpty() || maintenance.knows(name);
  }

  /**
   * Takes over a decision of another process of this node, with times by the wall clock.
   *
   * @param notBefore when the decision had not been made yet, ms on the monotonic clock: the wall
   *     clock may have been stepped since
   * @return false if it is known or superseded
   */
  boolean mergeMaintenance(MaintenanceEntry decision, double notBefore) {
    boolean isNew =
        maintenance.merge(
            decision.translated(wall -> Math.max(notBefore, startTimes.toMonotonic(wall))));
    if (isNew) {
      changed(maintenance.inForce(decision.worker()));
    }
    return isNew;
  }

  /**
   * The latest decision on this worker, with times by the wall clock; null if there has been none.
   */
  MaintenanceEntry maintenanceDecision(String name) {
    MaintenanceEntry decision = maintenance.decision(name);
    return decision == null ? null : decision.translated(startTimes::toWall);
  }

  /** The latest decision on each worker that operators have named, with times by the wall clock. */
  List<MaintenanceEntry> maintenanceDecisions() {
    return maintenance.decisions().stream()
        .map(decision -> decision.translated(startTimes::toWall))
        .toList();
  }

  private boolean changed(Endpoint entry) {
    if (entry != null) {
      apply(EndpointListUpdate.CHANGES, List.of(entry));
    }
    return true;
  }

  /** What is in maintenance, with times by the wall clock. */
  MaintenanceOverrides.Saved savedMaintenance() {
    return maintenance.saved().translated(startTimes::toWall);
  }

  /** Takes over saved maintenance, with times by the wall clock. */
  void restoreMaintenance(MaintenanceOverrides.Saved saved) {
    maintenance.restore(saved.translated(startTimes::toMonotonic));
  }

  /** The number of listed workers. */
  int listed() {
    return maintenance.listedAll();
  }

  /** The number of listed workers in maintenance. */
  int inMaintenance() {
    return maintenance.listedOut();
  }

  private void apply(EndpointListUpdate kind, List<Endpoint> entries) {
    // In force at once, not with the next batch of events: the drain rule counts from the receipt.
    endpoints.update(kind, entries);
    listener.accept(kind, entries.stream().map(Endpoint::worker).toList());
  }
}
