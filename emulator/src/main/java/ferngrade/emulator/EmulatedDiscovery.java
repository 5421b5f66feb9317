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
 * Discovery: it notices changes of the fleet late, and tells all nodes in one order. It can fall
 * silent, repeat itself, tell an older list again, and call a worker active that is not.
 */
public final class EmulatedDiscovery {
  private static final double REPEAT_AFTER = 500;

  private final DiscoverySpec spec;
  private final Scheduler time;
  private final UniformRandomProvider chance;
  private final Teller teller;
  private final Map<Long, Endpoint> listed = new LinkedHashMap<>();
  private final Deque<Runnable> heldBack = new ArrayDeque<>();
  private double lastNotice = Double.NEGATIVE_INFINITY;
  private int silent;
  private double lies;
  private long revision = 1;

  /** Brings news to all nodes, each within {@code spread} ms. */
  @FunctionalInterface
  public interface Teller {
    /** Tells all nodes. */
    void tell(EndpointListUpdate news, List<Endpoint> entries, long revision, double spread);
  }

  /** Discovery of this fleet, which {@code teller} brings to the nodes. */
  public EmulatedDiscovery(
      DiscoverySpec spec,
      Scheduler time,
      UniformRandomProvider chance,
      Fleet fleet,
      Teller teller) {
    this.spec = spec;
    this.time = time;
    this.chance = chance;
    this.teller = teller;
    fleet.all().forEach(worker -> listed.put(worker.id, worker.entry()));
    if (spec.weightPeriod > 0) {
      time.after(spec.weightPeriod, () -> renewWeights(fleet));
    }
  }

  /** The list as discovery has it at present. */
  public List<Endpoint> list() {
    return List.copyOf(listed.values());
  }

  /** The list's version. */
  public long revision() {
    return revision;
  }

  /** True while it tells nothing. */
  public boolean silent() {
    return silent > 0;
  }

  /** The worker has changed, and discovery will notice. */
  void changed(EmulatedWorker worker, boolean added) {
    if (worker.phase == WorkerState.DRAINING && chance.nextDouble() < lies) {
      return;
    }
    double late =
        added
            ? Draw.between(chance, spec.addLeast, spec.addMost)
            : Draw.between(chance, spec.noticeLeast, spec.noticeMost);
    Endpoint entry = worker.entry();
    // One feed in one order: what is noticed later is not told earlier.
    lastNotice = Math.max(lastNotice, time.now() + late);
    time.after(lastNotice - time.now(), () -> notice(entry));
  }

  private void notice(Endpoint entry) {
    if (silent > 0) {
      heldBack.add(() -> notice(entry));
      return;
    }
    List<Endpoint> before = list();
    if (entry.worker().state() == WorkerState.GONE) {
      listed.remove(entry.worker().id());
    } else {
      listed.put(entry.worker().id(), entry);
    }
    revision++;
    List<Endpoint> change = List.of(entry);
    teller.tell(EndpointListUpdate.CHANGES, change, revision, spec.spread);
    if (chance.nextDouble() < spec.repeats) {
      time.after(
          REPEAT_AFTER,
          () -> teller.tell(EndpointListUpdate.CHANGES, change, revision, spec.spread));
    }
    if (chance.nextDouble() < spec.stale) {
      time.after(
          REPEAT_AFTER,
          () -> {
            teller.tell(EndpointListUpdate.WHOLE, before, revision - 1, spec.spread);
            time.after(
                REPEAT_AFTER + spec.spread,
                () -> teller.tell(EndpointListUpdate.WHOLE, list(), revision, spec.spread));
          });
    }
  }

  /**
   * A live weight falls with the jobs that a worker holds; it is renewed now and then, and late.
   */
  private void renewWeights(Fleet fleet) {
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
          // What has changed otherwise meanwhile was told already, and stands.
          List<Endpoint> standing = changes.stream().filter(this::stillListed).toList();
          if (silent == 0) {
            teller.tell(EndpointListUpdate.CHANGES, standing, ++revision, spec.spread);
          }
        });
    time.after(spec.weightPeriod, () -> renewWeights(fleet));
  }

  /** Whether the list still holds this very entry, and not a later one of the same content. */
  @SuppressWarnings("ReferenceEquality") // a later entry may be equal, and is announced on its own
  private boolean stillListed(Endpoint entry) {
    return listed.get(entry.worker().id()) == entry;
  }

  void silence(boolean begins) {
    silent += begins ? 1 : -1;
    while (silent == 0 && !heldBack.isEmpty()) {
      heldBack.poll().run();
    }
  }

  void lie(double share) {
    lies = share;
  }
}
