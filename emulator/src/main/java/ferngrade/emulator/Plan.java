package ferngrade.emulator;

import ferngrade.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Carries out a plan of faults: each begins at its time, ends after its length, and what it set in
 * motion goes on.
 */
public final class Plan {
  /** How long a worker drains before its process ends, ms. */
  private static final double DRAIN = 5000;

  private final Scenario scenario;
  private final Scheduler time;
  private final UniformRandomProvider chance;
  private final Observer observer;
  private final Fleet fleet;
  private final EmulatedDiscovery roll;
  private final Clients clients;
  private final FaultInjector levers;

  /** The scenario's plan over these parties. */
  public Plan(
      Scenario scenario,
      Scheduler time,
      UniformRandomProvider chance,
      Observer observer,
      Fleet fleet,
      EmulatedDiscovery roll,
      Clients clients,
      FaultInjector levers) {
    this.scenario = scenario;
    this.time = time;
    this.chance = chance;
    this.observer = observer;
    this.fleet = fleet;
    this.roll = roll;
    this.clients = clients;
    this.levers = levers;
  }

  /** Sets all faults up. */
  public void begin() {
    scenario.faults.forEach(
        fault ->
            time.after(
                fault.at(),
                () -> {
                  observer.fault(time.now(), fault, true);
                  Runnable end = start(fault);
                  time.after(
                      fault.length(),
                      () -> {
                        end.run();
                        observer.fault(time.now(), fault, false);
                      });
                }));
  }

  /** Starts a fault; returns what ends it. */
  private Runnable start(Fault fault) {
    return switch (fault.kind()) {
      case BURST -> {
        clients.boost(fault.size());
        yield () -> clients.boost(1 / fault.size());
      }
      case TENANT_FLOOD -> {
        int tenant = target(fault, scenario.workload.tenants.size());
        clients.boost(tenant, fault.size());
        yield () -> clients.boost(tenant, 1 / fault.size());
      }
      case ZONE_SURGE -> {
        int zone = target(fault, scenario.zones.size());
        clients.surge(zone, fault.size());
        yield () -> clients.surge(zone, 1 / fault.size());
      }
      case DEPLOY -> deploy(fault);
      case SHRINK -> shrink(fault);
      case ZONE_CUT -> cut(fault);
      case SLOW_WORKER -> {
        EmulatedWorker worker = worker(fault);
        worker.model.slow(fault.size());
        yield () -> worker.model.slow(1);
      }
      case HUNG_WORKER -> {
        EmulatedWorker worker = worker(fault);
        worker.model.hang(true);
        yield () -> worker.model.hang(false);
      }
      case WORKER_LOST -> {
        EmulatedWorker worker = worker(fault);
        worker.vanished = true;
        worker.model.kill(false);
        levers.workerVanished(worker);
        gone(worker);
        yield () -> {};
      }
      case WORKER_CRASH -> {
        EmulatedWorker worker = worker(fault);
        worker.model.kill(true);
        levers.workerDown(worker);
        yield () -> restart(worker);
      }
      case ZONE_LOST -> {
        int zone = target(fault, scenario.zones.size());
        List<EmulatedWorker> lost =
            fleet.serving().stream().filter(each -> each.zone == zone).toList();
        lost.forEach(this::crash);
        yield () -> lost.forEach(this::restart);
      }
      case NODE_KILL -> {
        int node = target(fault, scenario.nodes);
        levers.killNode(node);
        yield () -> levers.startNode(node);
      }
      case HERD_KILL -> {
        List<Integer> killed = herd(fault);
        killed.forEach(levers::killNode);
        yield () -> killed.forEach(levers::startNode);
      }
      case NODE_PAUSE -> {
        int node = target(fault, scenario.nodes);
        levers.pauseNode(node, true);
        yield () -> levers.pauseNode(node, false);
      }
      case DISCOVERY_OUT -> {
        roll.silence(true);
        yield () -> roll.silence(false);
      }
      case DISCOVERY_LIES -> {
        roll.lie(fault.part());
        yield () -> roll.lie(0);
      }
    };
  }

  private int target(Fault fault, int count) {
    int drawn = chance.nextInt(count);
    return fault.target() >= 0 ? fault.target() % count : drawn;
  }

  private EmulatedWorker worker(Fault fault) {
    List<EmulatedWorker> serving = fleet.serving();
    List<EmulatedWorker> from = serving.isEmpty() ? fleet.all() : serving;
    return from.get(target(fault, from.size()));
  }

  /** The share {@code part} of the nodes, at least one, drawn by chance. */
  private List<Integer> herd(Fault fault) {
    List<Integer> nodes = new ArrayList<>();
    for (int node = 0; node < scenario.nodes; node++) {
      nodes.add(chance.nextInt(nodes.size() + 1), node);
    }
    return List.copyOf(
        nodes.subList(0, (int) Math.max(1, Math.round(scenario.nodes * fault.part()))));
  }

  private Runnable cut(Fault fault) {
    int zone = target(fault, scenario.zones.size());
    boolean oneWay = fault.part() > 0;
    cut(zone, oneWay, true);
    return () -> cut(zone, oneWay, false);
  }

  private void cut(int zone, boolean oneWay, boolean begins) {
    for (int other = 0; other < scenario.zones.size(); other++) {
      if (other != zone) {
        levers.cut(other, zone, begins);
        if (!oneWay) {
          levers.cut(zone, other, begins);
        }
      }
    }
  }

  private Runnable deploy(Fault fault) {
    List<EmulatedWorker> old = new ArrayList<>(fleet.serving());
    int replaced = (int) Math.round(old.size() * Math.min(1, fault.part()));
    int batch = (int) Math.max(1, Math.round(old.size() * fault.size()));
    int batches = Math.max(1, (replaced + batch - 1) / batch);
    for (int i = 0; i < replaced; i++) {
      EmulatedWorker worker = old.get(i);
      int batchesBefore = i / batch;
      time.after(fault.length() * batchesBefore / batches, () -> retire(worker, true));
    }
    return () -> {};
  }

  private Runnable shrink(Fault fault) {
    List<EmulatedWorker> old = new ArrayList<>(fleet.serving());
    int kept = (int) Math.max(1, Math.round(old.size() / fault.size()));
    clients.boost(1 / fault.size());
    for (int i = kept; i < old.size(); i++) {
      EmulatedWorker worker = old.get(i);
      time.after(fault.length() * (i - kept) / (old.size() - kept), () -> retire(worker, false));
    }
    return () -> {};
  }

  /** Drains a worker and ends its process; a successor on a new machine starts cold. */
  private void retire(EmulatedWorker worker, boolean replace) {
    if (worker.phase != WorkerState.READY || !worker.model.up()) {
      return;
    }
    worker.phase = WorkerState.DRAINING;
    worker.model.drain();
    roll.changed(worker, false);
    time.after(DRAIN, () -> end(worker, replace));
  }

  private void end(EmulatedWorker worker, boolean replace) {
    if (!worker.model.up()) {
      return;
    }
    if (worker.model.running() + worker.model.waiting() > 0) {
      time.after(DRAIN / 10, () -> end(worker, replace));
      return;
    }
    worker.model.kill(true);
    levers.workerDown(worker);
    gone(worker);
    if (replace) {
      EmulatedWorker fresh = fleet.add(worker.kind, worker.zone, time.now());
      levers.workerUp(fresh);
      roll.changed(fresh, true);
    }
  }

  private void gone(EmulatedWorker worker) {
    worker.phase = WorkerState.GONE;
    roll.changed(worker, false);
  }

  /** The process dies, and discovery notices that it is gone. */
  private void crash(EmulatedWorker worker) {
    worker.model.kill(true);
    levers.workerDown(worker);
    gone(worker);
  }

  private void restart(EmulatedWorker worker) {
    worker.phase = WorkerState.READY;
    worker.model.restart();
    levers.workerUp(worker);
    roll.changed(worker, true);
  }
}
