package ferngrade.emulator;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.WorkerState;
import ferngrade.node.Endpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Emulates the discovery service. It detects changes of the fleet with a delay and publishes them
 * to all nodes in the same order. It can be made to stop publishing, repeat updates, publish
 * outdated lists, and list a draining worker as active.
 */
public final class EmulatedDiscovery {
  private static final double REPEAT_DELAY_MILLIS = 500;

  private final DiscoverySpec spec;
  private final Scheduler time;
  private final UniformRandomProvider random;
  private final Publisher publisher;
  private final Map<Long, Endpoint> listed = new LinkedHashMap<>();
  private final Deque<Runnable> deferredUpdates = new ArrayDeque<>();
  private double lastDetection = Double.NEGATIVE_INFINITY;
  private int openOutages;
  private double unreportedDrainShare;
  private long revision = 1;

  /** Delivers list updates to all nodes. */
  @FunctionalInterface
  public interface Publisher {
    /** Delivers an update to all nodes within {@code spread} ms. */
    void publish(EndpointListUpdate update, List<Endpoint> entries, long revision, double spread);
  }

  /** Creates the discovery service of {@code fleet}, which publishes through {@code publisher}. */
  public EmulatedDiscovery(
      DiscoverySpec spec,
      Scheduler time,
      UniformRandomProvider random,
      Fleet fleet,
      Publisher publisher) {
    this.spec = spec;
    this.time = time;
    this.random = random;
    this.publisher = publisher;
    fleet.all().forEach(worker -> listed.put(worker.id, worker.entry()));
    if (spec.weightPeriod > 0) {
      time.after(spec.weightPeriod, () -> publishWeights(fleet));
    }
  }

  /** Returns the current worker list. */
  public List<Endpoint> list() {
    return List.copyOf(listed.values());
  }

  /** Returns the revision of the current worker list. */
  public long revision() {
    return revision;
  }

  /** Returns true during an outage, in which nothing is published. */
  public boolean inOutage() {
    return openOutages > 0;
  }

  /** Schedules the detection of a change of the worker. */
  void workerChanged(EmulatedWorker worker, boolean added) {
    if (worker.state == WorkerState.DRAINING && random.nextDouble() < unreportedDrainShare) {
      return;
    }
    double delay =
        added
            ? Draw.between(random, spec.addLeast, spec.addMost)
            : Draw.between(random, spec.noticeLeast, spec.noticeMost);
    Endpoint entry = worker.entry();
    // All nodes receive one ordered feed: a change is never published before an earlier one.
    lastDetection = Math.max(lastDetection, time.now() + delay);
    time.after(lastDetection - time.now(), () -> publishChange(entry));
  }

  private void publishChange(Endpoint entry) {
    if (openOutages > 0) {
      deferredUpdates.add(() -> publishChange(entry));
      return;
    }
    List<Endpoint> previous = list();
    if (entry.worker().state() == WorkerState.GONE) {
      listed.remove(entry.worker().id());
    } else {
      listed.put(entry.worker().id(), entry);
    }
    revision++;
    List<Endpoint> change = List.of(entry);
    publisher.publish(EndpointListUpdate.CHANGES, change, revision, spec.spread);
    if (random.nextDouble() < spec.repeats) {
      time.after(
          REPEAT_DELAY_MILLIS,
          () -> publisher.publish(EndpointListUpdate.CHANGES, change, revision, spec.spread));
    }
    if (random.nextDouble() < spec.stale) {
      time.after(
          REPEAT_DELAY_MILLIS,
          () -> {
            publisher.publish(EndpointListUpdate.WHOLE, previous, revision - 1, spec.spread);
            time.after(
                REPEAT_DELAY_MILLIS + spec.spread,
                () -> publisher.publish(EndpointListUpdate.WHOLE, list(), revision, spec.spread));
          });
    }
  }

  /**
   * Publishes the weights of all workers, {@code weightLate} ms after they were read. A live weight
   * decreases with the number of jobs at the worker.
   */
  private void publishWeights(Fleet fleet) {
    List<Endpoint> changes = new ArrayList<>();
    for (EmulatedWorker worker : fleet.all()) {
      Endpoint known = listed.get(worker.id);
      if (known != null && worker.model.up()) {
        Endpoint entry = worker.entry();
        if (entry.worker().state() == known.worker().state()
            && entry.worker().startedAt() == known.worker().startedAt()) {
          listed.put(worker.id, entry);
          changes.add(entry);
        }
      }
    }
    time.after(
        spec.weightLate,
        () -> {
          // Drops the entries that a more recent, already published change has replaced.
          List<Endpoint> current = changes.stream().filter(this::stillListed).toList();
          if (openOutages == 0) {
            publisher.publish(EndpointListUpdate.CHANGES, current, ++revision, spec.spread);
          }
        });
    time.after(spec.weightPeriod, () -> publishWeights(fleet));
  }

  /**
   * Returns true if the list contains this entry itself. A later entry with equal content does not
   * count.
   */
  @SuppressWarnings("ReferenceEquality") // a later, equal entry is published separately
  private boolean stillListed(Endpoint entry) {
    return listed.get(entry.worker().id()) == entry;
  }

  /** Begins or ends an outage; updates that were held back are published when the last one ends. */
  void setOutage(boolean begins) {
    openOutages += begins ? 1 : -1;
    while (openOutages == 0 && !deferredUpdates.isEmpty()) {
      deferredUpdates.poll().run();
    }
  }

  /** Sets the share of draining workers whose state change is never published. */
  void setUnreportedDrainShare(double share) {
    unreportedDrainShare = share;
  }
}
