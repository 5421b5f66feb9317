package ferngrade.emulator;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;
import ferngrade.node.Endpoint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Runs a scenario in virtual time: emulated clients, workers, discovery and network around nodes
 * that execute production code. A run is deterministic: the same scenario, seed and policy produce
 * the same events in the same order.
 */
public final class VirtualRun implements Clients.Transport, FaultInjector {
  /**
   * The time at the start of a run, in ms. It is above 0, because a start time of 0 means 'long
   * ago' in worker lists.
   */
  public static final double START_MILLIS = 1_000_000;

  private static final double SAMPLE_PERIOD_MILLIS = 500;

  /** The largest fleet size for which the load of every worker is sampled. */
  private static final int MAX_SAMPLED_WORKERS = 64;

  final Scenario scenario;
  final RandomStreams streams;
  final Policy policy;
  final Mutation mutation;
  final Observer observer;
  final VirtualTime time = new VirtualTime(START_MILLIS);
  final Network network;
  final double[] allowances;
  final Fleet fleet;
  final Clients clients;
  private final EmulatedDiscovery discovery;
  private final FaultPlan faultPlan;
  private final UniformRandomProvider frontRandom;
  private final List<VirtualNode> nodes = new ArrayList<>();
  private final List<List<VirtualNode>> nodesByZone = new ArrayList<>();

  /** The nodes that the front load balancer considers down. */
  private final Set<VirtualNode> markedDown = new HashSet<>();

  /** Creates a run that reports its events to {@code observers}. */
  public VirtualRun(
      Scenario scenario,
      long seed,
      Policy policy,
      Mutation mutation,
      List<? extends Observer> observers) {
    this.scenario = scenario;
    this.streams = new RandomStreams(seed);
    this.policy = policy;
    this.mutation = mutation;
    this.observer = new Observers(observers);
    this.network = new Network(scenario.network, scenario.zones.size(), streams.stream("network"));
    this.allowances = scenario.allowances();
    this.fleet = new Fleet(scenario, time, streams, observer, EmulatedWorker::syntheticAddress);
    this.clients = new Clients(scenario, time, streams, observer, this);
    this.discovery =
        new EmulatedDiscovery(
            scenario.discovery, time, streams.stream("discovery"), fleet, this::publishToNodes);
    this.faultPlan =
        new FaultPlan(
            scenario, time, streams.stream("faults"), observer, fleet, discovery, clients, this);
    this.frontRandom = streams.stream("front");
    for (int i = 0; i < scenario.nodes; i++) {
      VirtualNode node = new VirtualNode(this, i);
      nodes.add(node);
      while (nodesByZone.size() <= node.zone) {
        nodesByZone.add(new ArrayList<>());
      }
      nodesByZone.get(node.zone).add(node);
    }
  }

  /** Executes the run until every client has received its answer or has given up. */
  public void run() {
    List<Endpoint> known = discovery.list();
    for (VirtualNode node : nodes) {
      node.start(known);
      node.receiveEndpoints(EndpointListUpdate.WHOLE, known);
    }
    time.after(SAMPLE_PERIOD_MILLIS, this::sample);
    faultPlan.begin();
    clients.begin();
    time.run(START_MILLIS + scenario.duration);
    double longestDeadline = 0;
    for (ClassSpec jobClass : scenario.workload.classes) {
      longestDeadline = Math.max(longestDeadline, jobClass.deadline);
    }
    double end = time.now() + longestDeadline + 1000;
    while (clients.openRequests() > 0 && time.now() < end) {
      time.run(time.now() + 100);
    }
    // Also runs the events that were in flight when the last client received its answer.
    time.run(time.now() + 1000);
  }

  /** Returns the virtual time that has elapsed since the start of the run, in ms. */
  public double elapsedMillis() {
    return time.now() - START_MILLIS;
  }

  /** Returns the number of events that the run has executed. */
  public long eventCount() {
    return time.eventCount();
  }

  /** Returns the number of jobs that workers dropped because their key was a repeat. */
  public long repeatsDropped() {
    return fleet.repeatsDropped();
  }

  private void sample() {
    double now = time.now();
    for (VirtualNode node : nodes) {
      double slice = node.slice();
      if (!Double.isNaN(slice)) {
        observer.sliceSampled(now, node.number, slice);
      }
    }
    if (fleet.all().size() <= MAX_SAMPLED_WORKERS) {
      for (EmulatedWorker worker : fleet.all()) {
        if (worker.model.up()) {
          observer.queueSampled(
              now, worker, worker.model.runningCount(), worker.model.waitingCount());
        }
      }
    }
    time.after(SAMPLE_PERIOD_MILLIS, this::sample);
  }

  // ---- Clients and the front load balancer ----

  @Override
  public void submit(Request request) {
    VirtualNode node = pick(request);
    request.node = node == null ? -1 : node.number;
    double delay = network.clientDelay();
    if (node == null) {
      time.after(2 * delay, () -> clients.answer(request, Answer.UNREACHED, 0));
      return;
    }
    time.after(
        delay,
        () -> {
          if (!node.up()) {
            time.after(delay, () -> clients.answer(request, Answer.UNREACHED, 0));
          } else {
            node.inProcess(
                    () -> {
                      if (!request.ended) {
                        node.accept(request);
                      }
                    })
                .run();
          }
        });
  }

  /**
   * Picks a random node that the front load balancer considers up: a node of the request's zone, or
   * of any zone if there is none in the request's zone. Returns null if the load balancer considers
   * all nodes down.
   */
  private VirtualNode pick(Request request) {
    List<VirtualNode> candidates =
        request.zone < nodesByZone.size() ? nodesByZone.get(request.zone) : nodes;
    if (!markedDown.isEmpty()) {
      List<VirtualNode> sameZone =
          candidates.stream().filter(node -> !markedDown.contains(node)).toList();
      candidates =
          !sameZone.isEmpty()
              ? sameZone
              : nodes.stream().filter(node -> !markedDown.contains(node)).toList();
    }
    return candidates.isEmpty() ? null : candidates.get(frontRandom.nextInt(candidates.size()));
  }

  @Override
  public void disconnect(Request request) {
    if (request.node >= 0) {
      VirtualNode node = nodes.get(request.node);
      time.after(network.clientDelay(), node.inProcess(() -> node.clientDisconnected(request)));
    }
  }

  // ---- Discovery and peers ----

  private void publishToNodes(
      EndpointListUpdate update, List<Endpoint> entries, long revision, double spread) {
    for (VirtualNode node : nodes) {
      // The delay of a node is always the same, so that it receives the updates in order.
      double delay = spread * (node.number + 1) / nodes.size();
      time.after(delay, node.inProcess(() -> node.receiveEndpoints(update, entries)));
    }
  }

  /**
   * Returns true if observers are notified of each entry of an update. In large fleets complete
   * lists are not reported, because the removal of a worker is announced only as a change.
   */
  boolean observesEntries(EndpointListUpdate update, List<Endpoint> entries) {
    return update == EndpointListUpdate.CHANGES || entries.size() <= MAX_SAMPLED_WORKERS;
  }

  boolean informed(int node, EmulatedWorker worker) {
    // A node sends only to workers on its list, and the list contains the process start time.
    return node >= 0 && worker.model.startedAt() > 0;
  }

  /** Sends a message to one peer, or to all nodes if {@code peer} is negative. */
  void sendToPeers(VirtualNode from, int peer, byte[] message) {
    for (VirtualNode to : peer < 0 ? nodes : List.of(nodes.get(peer))) {
      double delay = network.datagramDelay(from.zone, to.zone);
      if (delay != Network.NEVER) {
        time.after(
            delay, () -> to.inProcess(() -> to.receivePeerMessage(from.number, message)).run());
      }
    }
  }

  // ---- Fault injection ----

  @Override
  public void killNode(int node) {
    VirtualNode killed = nodes.get(node);
    killed.kill();
    time.after(
        scenario.frontNotice,
        () -> {
          if (!killed.up()) {
            markedDown.add(killed);
          }
        });
  }

  @Override
  public void startNode(int node) {
    VirtualNode started = nodes.get(node);
    if (!started.up()) {
      started.start(discovery.list());
      if (!discovery.inOutage()) {
        started.receiveEndpoints(EndpointListUpdate.WHOLE, discovery.list());
      }
      markedDown.remove(started);
    }
  }

  @Override
  public void pauseNode(int node, boolean begins) {
    nodes.get(node).pause(begins);
  }

  @Override
  public void cut(int from, int to, boolean begins) {
    network.cut(from, to, begins);
  }

  @Override
  public void workerDown(EmulatedWorker worker) {
    nodes.forEach(node -> node.workerProcessEnded(worker));
  }

  @Override
  public void workerUnreachable(EmulatedWorker worker) {
    // No node is notified. Connections stay open, but no data arrives on them.
  }

  @Override
  public void workerUp(EmulatedWorker worker) {
    worker.connections = 0;
  }

  /** Returns the true state of the fleet, for a policy that runs in this node. */
  FleetState fleetState(VirtualNode node) {
    return new TrueFleetState(node);
  }

  private final class TrueFleetState implements FleetState {
    private final VirtualNode node;

    TrueFleetState(VirtualNode node) {
      this.node = node;
    }

    @Override
    public double estimateCompletionTime(long workerId, double work) {
      EmulatedWorker worker = fleet.byId(workerId);
      if (worker.unreachable || worker.state != WorkerState.READY) {
        return Double.POSITIVE_INFINITY;
      }
      return worker.model.estimateCompletionTime(work)
          + worker.inFlight / Math.max(1e-9, worker.model.capacity());
    }

    @Override
    public double work(String id) {
      return node.openRequest(id).work;
    }
  }
}
