package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The workers of the endpoint list, their zones and groups, and the slots that attempts from here
 * hold. Event thread only.
 */
final class WorkerRegistry {
  /** Time in which the endpoint list comes to show a job sent, ms. */
  private static final double LIST_DELAY_MS = 1000;

  /** Weight of one load report in the learned slots of a group. */
  private static final double SLOTS_WEIGHT = 0.1;

  /** Free slots from which on one is free: reports are a little noisy. */
  private static final double MIN_FREE_SLOTS = 0.5;

  private final int ownZone;
  private final int classes;
  private final Map<Long, WorkerStats> workers = new HashMap<>();
  private final Map<Integer, ZoneStats> zones = new HashMap<>();
  private List<WorkerStats> local = new ArrayList<>();
  private List<WorkerStats> remote = new ArrayList<>();
  private double heldSlots;

  /** An empty registry of a dispatcher in this zone, for so many job classes. */
  WorkerRegistry(int ownZone, int classes) {
    this.ownZone = ownZone;
    this.classes = classes;
  }

  /** Takes entries of the endpoint list; all but CHANGES replace the whole list. */
  void update(EndpointListUpdate update, List<Worker> entries) {
    if (update != EndpointListUpdate.CHANGES) {
      workers.values().forEach(worker -> worker.listed = false);
    }
    for (Worker entry : entries) {
      update(entry);
    }
    rebuildPools();
  }

  private void update(Worker entry) {
    WorkerStats worker = workers.get(entry.id());
    if (worker == null || worker.entry.startedAt() != entry.startedAt()) {
      // A restarted process shares nothing with the old one: neither its jobs nor what was learned.
      if (worker != null) {
        worker.listed = false;
      }
      worker = new WorkerStats(entry, classes);
      workers.put(entry.id(), worker);
    }
    worker.entry = entry;
    worker.listed = entry.state() != WorkerState.GONE;
    Map<Integer, WorkerGroup> groups = zone(entry.zone()).groups;
    worker.group = groups.computeIfAbsent(entry.kind(), kind -> new WorkerGroup());
    worker.group.size = Math.max(worker.group.size, entry.weight());
    worker.load = entry.weight() > 0 ? worker.group.size / entry.weight() - 1 : 0;
  }

  /** Sorts the ready workers by zone; one that is no longer listed is gone at once. */
  private void rebuildPools() {
    local = new ArrayList<>();
    remote = new ArrayList<>();
    for (WorkerStats worker : workers.values()) {
      if (worker.listed && worker.entry.state() == WorkerState.READY) {
        (worker.entry.zone() == ownZone ? local : remote).add(worker);
      }
    }
    local.sort(Comparator.comparingLong(worker -> worker.id));
    remote.sort(Comparator.comparingLong(worker -> worker.id));
  }

  /** All workers ever listed, in no order that means anything. */
  Collection<WorkerStats> all() {
    return workers.values();
  }

  /** The ready workers of this dispatcher's zone, by id. */
  List<WorkerStats> local() {
    return local;
  }

  /** The ready workers of all other zones, by id. */
  List<WorkerStats> remote() {
    return remote;
  }

  /** The ready workers. */
  Stream<WorkerStats> ready() {
    return Stream.concat(local.stream(), remote.stream());
  }

  /** The number of ready workers. */
  int readyCount() {
    return local.size() + remote.size();
  }

  /** The slots of all attempts from here that are in flight. */
  double heldSlots() {
    return heldSlots;
  }

  /** The zone of a worker. */
  ZoneStats zone(WorkerStats worker) {
    return zone(worker.entry.zone());
  }

  private ZoneStats zone(int index) {
    return zones.computeIfAbsent(index, key -> new ZoneStats());
  }

  /** True if the worker is in this dispatcher's zone. */
  boolean isLocal(WorkerStats worker) {
    return worker.entry.zone() == ownZone;
  }

  /** Round-trip time to the worker's zone, ms; 0 until a start has shown it. */
  double roundTripTime(WorkerStats worker) {
    double time = zone(worker).roundTripTime;
    return time == Double.MAX_VALUE ? 0 : time;
  }

  /** Counts an attempt that is sent to the worker. */
  void attemptSent(WorkerStats worker, Job job, double now) {
    worker.heldSlots += job.slots();
    heldSlots += job.slots();
    worker.recentSlots = recentSlots(worker, now) + job.slots();
    worker.recentAt = now;
    worker.objects.use(job.object(), Math.max(worker.group.size, worker.group.slots));
  }

  /** Counts an attempt that the worker has begun to run. */
  void attemptStarted(WorkerStats worker, Job job) {
    worker.startedSlots += job.slots();
  }

  /** Counts an attempt that has ended. */
  void attemptEnded(WorkerStats worker, Job job) {
    worker.heldSlots -= job.slots();
    heldSlots -= job.slots();
  }

  /**
   * Notes that an attempt at this worker has run or failed, so that its held slots mean something.
   */
  void markProven(WorkerStats worker) {
    worker.proven = true;
  }

  /** Slots held at a worker; one that has proven nothing counts as holding the mean at least. */
  double effectiveHeldSlots(WorkerStats worker) {
    double mean = heldSlots / readyCount();
    return worker.proven ? worker.heldSlots : Math.max(worker.heldSlots, mean);
  }

  /** Slots sent to the worker that the endpoint list cannot show yet. */
  double recentSlots(WorkerStats worker, double now) {
    return worker.recentSlots * Math.exp((worker.recentAt - now) / LIST_DELAY_MS);
  }

  /**
   * Learns the slots of the worker's group from a load report. What the worker holds is not used:
   * it is reported late, and all dispatchers would send to the one that was idle then.
   */
  void learnSlots(WorkerStats worker, LoadReport report) {
    if (report.held() >= 0 && report.freeSlots() >= MIN_FREE_SLOTS) {
      double slots = report.freeSlots() + report.held();
      double known = worker.group.slots;
      double weight = known == 1 ? 1 : SLOTS_WEIGHT;
      worker.group.slots = Math.max(1, known + weight * (slots - known));
    }
  }
}
