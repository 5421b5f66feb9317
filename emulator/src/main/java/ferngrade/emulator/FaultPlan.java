package ferngrade.emulator;

import ferngrade.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Executes the faults of a scenario. Each fault begins at its time and ends after its length; its
 * consequences, for example the draining of a worker, may last longer.
 */
public final class FaultPlan {
  /** The minimum time for which a worker drains before its process ends, in ms. */
  private static final double DRAIN_MILLIS = 5000;

  private final Scenario scenario;
  private final Scheduler time;
  private final UniformRandomProvider random;
  private final Observer observer;
  private final Fleet fleet;
  private final EmulatedDiscovery discovery;
  private final Clients clients;
  private final FaultInjector faultInjector;

  /** Creates the fault plan of a scenario, which acts on the given components. */
  public FaultPlan(
      Scenario scenario,
      Scheduler time,
      UniformRandomProvider random,
      Observer observer,
      Fleet fleet,
      EmulatedDiscovery discovery,
      Clients clients,
      FaultInjector faultInjector) {
    this.scenario = scenario;
    this.time = time;
    this.random = random;
    this.observer = observer;
    this.fleet = fleet;
    this.discovery = discovery;
    this.clients = clients;
    this.faultInjector = faultInjector;
  }

  /** Schedules all faults. */
  public void begin() {
    scenario.faults.forEach(
        fault ->
            time.after(
                fault.at(),
                () -> {
                  observer.faultChanged(time.now(), fault, true);
                  Runnable end = start(fault);
                  time.after(
                      fault.length(),
                      () -> {
                        end.run();
                        observer.faultChanged(time.now(), fault, false);
                      });
                }));
  }

  /** Starts a fault and returns the action that ends it. */
  private Runnable start(Fault fault) {
    return switch (fault.kind()) {
      case BURST -> {
        clients.multiplyRate(fault.size());
        yield () -> clients.multiplyRate(1 / fault.size());
      }
      case TENANT_FLOOD -> {
        int tenant = target(fault, scenario.workload.tenants.size());
        clients.multiplyTenantRate(tenant, fault.size());
        yield () -> clients.multiplyTenantRate(tenant, 1 / fault.size());
      }
      case ZONE_SURGE -> {
        int zone = target(fault, scenario.zones.size());
        clients.multiplyZoneRate(zone, fault.size());
        yield () -> clients.multiplyZoneRate(zone, 1 / fault.size());
      }
      case DEPLOY -> deploy(fault);
      case SHRINK -> shrink(fault);
      case ZONE_CUT -> cut(fault);
      case SLOW_WORKER -> {
        EmulatedWorker worker = worker(fault);
        worker.model.setSlowdown(fault.size());
        yield () -> worker.model.setSlowdown(1);
      }
      case HUNG_WORKER -> {
        EmulatedWorker worker = worker(fault);
        worker.model.setHung(true);
        yield () -> worker.model.setHung(false);
      }
      case WORKER_LOST -> {
        EmulatedWorker worker = worker(fault);
        worker.unreachable = true;
        worker.model.kill(false);
        faultInjector.workerUnreachable(worker);
        removeFromList(worker);
        yield () -> {};
      }
      case WORKER_CRASH -> {
        EmulatedWorker worker = worker(fault);
        worker.model.kill(true);
        faultInjector.workerDown(worker);
        yield () -> restart(worker);
      }
      case ZONE_LOST -> {
        int zone = target(fault, scenario.zones.size());
        List<EmulatedWorker> lost =
            fleet.serving().stream().filter(worker -> worker.zone == zone).toList();
        lost.forEach(this::crash);
        yield () -> lost.forEach(this::restart);
      }
      case NODE_KILL -> {
        int node = target(fault, scenario.nodes);
        faultInjector.killNode(node);
        yield () -> faultInjector.startNode(node);
      }
      case HERD_KILL -> {
        List<Integer> killed = drawNodes(fault);
        killed.forEach(faultInjector::killNode);
        yield () -> killed.forEach(faultInjector::startNode);
      }
      case NODE_PAUSE -> {
        int node = target(fault, scenario.nodes);
        faultInjector.pauseNode(node, true);
        yield () -> faultInjector.pauseNode(node, false);
      }
      case DISCOVERY_OUT -> {
        discovery.setOutage(true);
        yield () -> discovery.setOutage(false);
      }
      case DISCOVERY_LIES -> {
        discovery.setUnreportedDrainShare(fault.part());
        yield () -> discovery.setUnreportedDrainShare(0);
      }
    };
  }

  private int target(Fault fault, int count) {
    int drawn = random.nextInt(count);
    return fault.target() >= 0 ? fault.target() % count : drawn;
  }

  private EmulatedWorker worker(Fault fault) {
    List<EmulatedWorker> serving = fleet.serving();
    List<EmulatedWorker> candidates = serving.isEmpty() ? fleet.all() : serving;
    return candidates.get(target(fault, candidates.size()));
  }

  /** Draws the share {@code part} of the nodes, at least one, at random. */
  private List<Integer> drawNodes(Fault fault) {
    List<Integer> nodes = new ArrayList<>();
    for (int node = 0; node < scenario.nodes; node++) {
      nodes.add(random.nextInt(nodes.size() + 1), node);
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
        faultInjector.cut(other, zone, begins);
        if (!oneWay) {
          faultInjector.cut(zone, other, begins);
        }
      }
    }
  }

  private Runnable deploy(Fault fault) {
    List<EmulatedWorker> serving = new ArrayList<>(fleet.serving());
    int replaced = (int) Math.round(serving.size() * Math.min(1, fault.part()));
    int batch = (int) Math.max(1, Math.round(serving.size() * fault.size()));
    int batches = Math.max(1, (replaced + batch - 1) / batch);
    for (int i = 0; i < replaced; i++) {
      EmulatedWorker worker = serving.get(i);
      int batchesBefore = i / batch;
      time.after(fault.length() * batchesBefore / batches, () -> retire(worker, true));
    }
    return () -> {};
  }

  private Runnable shrink(Fault fault) {
    List<EmulatedWorker> serving = new ArrayList<>(fleet.serving());
    int remaining = (int) Math.max(1, Math.round(serving.size() / fault.size()));
    clients.multiplyRate(1 / fault.size());
    for (int i = remaining; i < serving.size(); i++) {
      EmulatedWorker worker = serving.get(i);
      time.after(
          fault.length() * (i - remaining) / (serving.size() - remaining),
          () -> retire(worker, false));
    }
    return () -> {};
  }

  /**
   * Drains a worker and then ends its process. With {@code replace}, a cold worker on a new machine
   * replaces it.
   */
  private void retire(EmulatedWorker worker, boolean replace) {
    if (worker.state != WorkerState.READY || !worker.model.up()) {
      return;
    }
    worker.state = WorkerState.DRAINING;
    worker.model.drain();
    discovery.workerChanged(worker, false);
    time.after(DRAIN_MILLIS, () -> endProcess(worker, replace));
  }

  private void endProcess(EmulatedWorker worker, boolean replace) {
    if (!worker.model.up()) {
      return;
    }
    if (worker.model.runningCount() + worker.model.waitingCount() > 0) {
      time.after(DRAIN_MILLIS / 10, () -> endProcess(worker, replace));
      return;
    }
    worker.model.kill(true);
    faultInjector.workerDown(worker);
    removeFromList(worker);
    if (replace) {
      EmulatedWorker replacement = fleet.add(worker.workerType, worker.zone, time.now());
      faultInjector.workerUp(replacement);
      discovery.workerChanged(replacement, true);
    }
  }

  private void removeFromList(EmulatedWorker worker) {
    worker.state = WorkerState.GONE;
    discovery.workerChanged(worker, false);
  }

  /** Crashes a worker's process; discovery detects that the worker is gone. */
  private void crash(EmulatedWorker worker) {
    worker.model.kill(true);
    faultInjector.workerDown(worker);
    removeFromList(worker);
  }

  private void restart(EmulatedWorker worker) {
    worker.state = WorkerState.READY;
    worker.model.restart();
    faultInjector.workerUp(worker);
    discovery.workerChanged(worker, true);
  }
}
