package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Tracks the workers of the endpoint list, their zones and groups, and the slots of the attempts
 * that this dispatcher has in flight. Event thread only.
 */
final class WorkerRegistry {
  /** Time constant of the delay after which the endpoint list includes a job that was sent. */
  private static final double LIST_DELAY_MS = 1000;

  /** Weight of one load report in the estimated number of slots of a group. */
  private static final double SLOTS_SAMPLE_WEIGHT = 0.1;

  /**
   * Minimum reported number of free slots at which a slot counts as free; reports are slightly
   * noisy.
   */
  private static final double MIN_FREE_SLOTS = 0.5;

  private final int ownZone;
  private final int classes;
  private final Map<Long, WorkerStats> workers = new HashMap<>();
  private final Map<Integer, ZoneStats> zones = new HashMap<>();
  private List<WorkerStats> local = new ArrayList<>();
  private List<WorkerStats> remote = new ArrayList<>();
  private double slotsInFlight;

  /** Creates an empty registry for a dispatcher in this zone and for this number of job classes. */
  WorkerRegistry(int ownZone, int classes) {
    this.ownZone = ownZone;
    this.classes = classes;
  }

  /**
   * Applies entries of the endpoint list. Any update other than CHANGES replaces the whole list.
   */
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
      // A restarted process has none of the jobs of the previous one, and the estimates learned for
      // the previous process do not apply to it.
      if (worker != null) {
        worker.listed = false;
      }
      worker = new WorkerStats(entry, classes);
      workers.put(entry.id(), worker);
    }
    worker.entry = entry;
    worker.listed = entry.state() != WorkerState.GONE;
    Map<Integer, WorkerGroup> groups = zone(entry.zone()).groups;
    worker.group = groups.computeIfAbsent(entry.workerType(), workerType -> new WorkerGroup());
    worker.group.size = Math.max(worker.group.size, entry.weight());
    worker.load = entry.weight() > 0 ? worker.group.size / entry.weight() - 1 : 0;
  }

  /**
   * Rebuilds the lists of local and remote ready workers. A worker that is no longer listed is
   * removed immediately.
   */
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

  /** Returns all workers that were ever listed, in no particular order. */
  Collection<WorkerStats> all() {
    return workers.values();
  }

  /** Returns the ready workers in this dispatcher's zone, ordered by id. */
  List<WorkerStats> local() {
    return local;
  }

  /** Returns the ready workers in all other zones, ordered by id. */
  List<WorkerStats> remote() {
    return remote;
  }

  /** Returns the ready workers of all zones. */
  Stream<WorkerStats> ready() {
    return Stream.concat(local.stream(), remote.stream());
  }

  /** Returns the number of ready workers. */
  int readyCount() {
    return local.size() + remote.size();
  }

  /** Returns the slots of all attempts from this dispatcher that are in flight. */
  double slotsInFlight() {
    return slotsInFlight;
  }

  /** Returns the statistics of the worker's zone. */
  ZoneStats zone(WorkerStats worker) {
    return zone(worker.entry.zone());
  }

  private ZoneStats zone(int index) {
    return zones.computeIfAbsent(index, key -> new ZoneStats());
  }

  /** Returns true if the worker is in this dispatcher's zone. */
  boolean isLocal(WorkerStats worker) {
    return worker.entry.zone() == ownZone;
  }

  /**
   * Returns the round-trip time to the worker's zone in ms, or 0 until the first start there is
   * reported.
   */
  double roundTripTime(WorkerStats worker) {
    double time = zone(worker).roundTripTime;
    return time == Double.MAX_VALUE ? 0 : time;
  }

  /** Counts an attempt that is being sent to the worker. */
  void attemptSent(WorkerStats worker, Job job, double now) {
    worker.slotsInFlight += job.slots();
    slotsInFlight += job.slots();
    worker.recentSlots = recentSlots(worker, now) + job.slots();
    worker.recentAt = now;
    worker.cachedObjects.recordUse(job.object(), Math.max(worker.group.size, worker.group.slots));
  }

  /** Counts an attempt that the worker has started. */
  void attemptStarted(WorkerStats worker, Job job) {
    worker.startedSlots += job.slots();
  }

  /** Counts an attempt that has ended. */
  void attemptEnded(WorkerStats worker, Job job) {
    worker.slotsInFlight -= job.slots();
    slotsInFlight -= job.slots();
  }

  /**
   * Records that an attempt at this worker has succeeded or failed, so that its slots in flight are
   * meaningful.
   */
  void markObserved(WorkerStats worker) {
    worker.observed = true;
  }

  /**
   * Returns the slots in flight at a worker. A worker without any outcome so far counts as having
   * at least the mean of the ready workers.
   */
  double effectiveSlotsInFlight(WorkerStats worker) {
    double meanSlotsInFlight = slotsInFlight / readyCount();
    return worker.observed
        ? worker.slotsInFlight
        : Math.max(worker.slotsInFlight, meanSlotsInFlight);
  }

  /**
   * Returns the number of slots of the jobs recently sent to the worker. The worker's listed load
   * does not include these slots yet. The number decays with the time constant {@link
   * #LIST_DELAY_MS}.
   */
  double recentSlots(WorkerStats worker, double now) {
    return worker.recentSlots * StrictMath.exp((worker.recentAt - now) / LIST_DELAY_MS);
  }

  /**
   * Updates the estimated number of slots of the worker's group from a load report. The reported
   * load itself is not used: it arrives late, and all dispatchers would send to the worker that was
   * idle at that time.
   */
  void learnSlots(WorkerStats worker, LoadReport report) {
    if (report.jobs() >= 0 && report.freeSlots() >= MIN_FREE_SLOTS) {
      double reportedSlots = report.freeSlots() + report.jobs();
      double oldSlots = worker.group.slots;
      double weight = oldSlots == 1 ? 1 : SLOTS_SAMPLE_WEIGHT;
      worker.group.slots = Math.max(1, oldSlots + weight * (reportedSlots - oldSlots));
    }
  }
}
