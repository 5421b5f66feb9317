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
 * One run in virtual time: the emulated clients, fleet, discovery and network round the program's
 * own nodes. Scenario, seed and policy decide everything that happens; the same three give the same
 * run, event for event.
 */
public final class VirtualRun implements Clients.Carrier, FaultInjector {
  /** The clock at a run's start, ms; above 0, which stands for 'long ago' in lists. */
  public static final double START = 1_000_000;

  private static final double SAMPLE = 500;

  /** Fleets larger than this are not sampled worker by worker. */
  private static final int MOST_SAMPLED = 64;

  final Scenario scenario;
  final Streams streams;
  final Policy policy;
  final Mutation mutation;
  final Observer observer;
  final VirtualTime time = new VirtualTime(START);
  final Network network;
  final double[] allowances;
  final Fleet fleet;
  final Clients clients;
  private final EmulatedDiscovery roll;
  private final Plan plan;
  private final UniformRandomProvider front;
  private final List<VirtualNode> nodes = new ArrayList<>();
  private final List<List<VirtualNode>> byZone = new ArrayList<>();

  /** The nodes that the front holds for dead. */
  private final Set<VirtualNode> believedDown = new HashSet<>();

  /** A run that these observers see. */
  public VirtualRun(
      Scenario scenario,
      long seed,
      Policy policy,
      Mutation mutation,
      List<? extends Observer> observers) {
    this.scenario = scenario;
    this.streams = new Streams(seed);
    this.policy = policy;
    this.mutation = mutation;
    this.observer = new Observers(observers);
    this.network = new Network(scenario.network, scenario.zones.size(), streams.stream("network"));
    this.allowances = scenario.allowances();
    this.fleet = new Fleet(scenario, time, streams, observer, EmulatedWorker::madeUp);
    this.clients = new Clients(scenario, time, streams, observer, this);
    this.roll =
        new EmulatedDiscovery(
            scenario.discovery, time, streams.stream("discovery"), fleet, this::spread);
    this.plan =
        new Plan(scenario, time, streams.stream("faults"), observer, fleet, roll, clients, this);
    this.front = streams.stream("front");
    for (int i = 0; i < scenario.nodes; i++) {
      VirtualNode node = new VirtualNode(this, i);
      nodes.add(node);
      while (byZone.size() <= node.zone) {
        byZone.add(new ArrayList<>());
      }
      byZone.get(node.zone).add(node);
    }
  }

  /** Plays the run to its end: until the last client has its answer or has left. */
  public void run() {
    List<Endpoint> known = roll.list();
    for (VirtualNode node : nodes) {
      node.start(known);
      node.hear(EndpointListUpdate.WHOLE, known);
    }
    time.after(SAMPLE, this::sample);
    plan.begin();
    clients.begin();
    time.run(START + scenario.duration);
    double longest = 0;
    for (ClassSpec each : scenario.workload.classes) {
      longest = Math.max(longest, each.deadline);
    }
    double end = time.now() + longest + 1000;
    while (clients.open() > 0 && time.now() < end) {
      time.run(time.now() + 100);
    }
    // What was still on its way when the last client had its answer counts too.
    time.run(time.now() + 1000);
  }

  /** The time that has passed in the run, ms, and the events that it took. */
  public double passed() {
    return time.now() - START;
  }

  /** The events that the run took. */
  public long events() {
    return time.ran();
  }

  /** Repeats of keys that workers dropped. */
  public long repeatsDropped() {
    return fleet.repeatsDropped();
  }

  private void sample() {
    double now = time.now();
    for (VirtualNode node : nodes) {
      double slice = node.slice();
      if (!Double.isNaN(slice)) {
        observer.slice(now, node.number, slice);
      }
    }
    if (fleet.all().size() <= MOST_SAMPLED) {
      for (EmulatedWorker worker : fleet.all()) {
        if (worker.model.up()) {
          observer.depth(now, worker, worker.model.running(), worker.model.waiting());
        }
      }
    }
    time.after(SAMPLE, this::sample);
  }

  // ---- Clients and their front ----

  @Override
  public void submit(Request request) {
    VirtualNode node = pick(request);
    request.node = node == null ? -1 : node.number;
    double way = network.client();
    if (node == null) {
      time.after(2 * way, () -> clients.answer(request, Answer.UNREACHED, 0));
      return;
    }
    time.after(
        way,
        () -> {
          if (!node.up()) {
            time.after(way, () -> clients.answer(request, Answer.UNREACHED, 0));
          } else {
            node.here(
                    () -> {
                      if (!request.over) {
                        node.take(request);
                      }
                    })
                .run();
          }
        });
  }

  /**
   * The front deals requests out among the nodes of their zone that it holds for alive, else among
   * all.
   */
  private VirtualNode pick(Request request) {
    List<VirtualNode> from = request.zone < byZone.size() ? byZone.get(request.zone) : nodes;
    if (!believedDown.isEmpty()) {
      List<VirtualNode> near = from.stream().filter(node -> !believedDown.contains(node)).toList();
      from =
          !near.isEmpty()
              ? near
              : nodes.stream().filter(node -> !believedDown.contains(node)).toList();
    }
    return from.isEmpty() ? null : from.get(front.nextInt(from.size()));
  }

  @Override
  public void leave(Request request) {
    if (request.node >= 0) {
      VirtualNode node = nodes.get(request.node);
      time.after(network.client(), node.here(() -> node.leave(request)));
    }
  }

  // ---- Discovery and peers ----

  private void spread(
      EndpointListUpdate news, List<Endpoint> entries, long revision, double spread) {
    for (VirtualNode node : nodes) {
      // The same delay for a node each time, so that its news stay in their order.
      double late = spread * (node.number + 1) / nodes.size();
      time.after(late, node.here(() -> node.hear(news, entries)));
    }
  }

  /**
   * Whole lists are told entry by entry only in small fleets, and never at a start: nothing in them
   * is an end.
   */
  boolean tells(EndpointListUpdate news, List<Endpoint> entries) {
    return news == EndpointListUpdate.CHANGES || entries.size() <= MOST_SAMPLED;
  }

  boolean informed(int node, EmulatedWorker worker) {
    // Who sends to a worker had it from its list, and the list tells when its process started.
    return node >= 0 && worker.model.startedAt() > 0;
  }

  void tell(VirtualNode from, int peer, byte[] message) {
    for (VirtualNode to : peer < 0 ? nodes : List.of(nodes.get(peer))) {
      double way = network.datagram(from.zone, to.zone);
      if (way != Network.NEVER) {
        time.after(way, () -> to.here(() -> to.hear(from.number, message)).run());
      }
    }
  }

  // ---- Levers ----

  @Override
  public void killNode(int node) {
    VirtualNode killed = nodes.get(node);
    killed.kill();
    time.after(
        scenario.frontNotice,
        () -> {
          if (!killed.up()) {
            believedDown.add(killed);
          }
        });
  }

  @Override
  public void startNode(int node) {
    VirtualNode started = nodes.get(node);
    if (!started.up()) {
      started.start(roll.list());
      if (!roll.silent()) {
        started.hear(EndpointListUpdate.WHOLE, roll.list());
      }
      believedDown.remove(started);
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
    nodes.forEach(node -> node.broken(worker));
  }

  @Override
  public void workerVanished(EmulatedWorker worker) {
    // Nobody is told: connections stay open and silent.
  }

  @Override
  public void workerUp(EmulatedWorker worker) {
    worker.connections = 0;
  }

  /** The true state, as a policy in this node may see it. */
  FleetState truth(VirtualNode node) {
    return new FleetTruth(node);
  }

  private final class FleetTruth implements FleetState {
    private final VirtualNode node;

    FleetTruth(VirtualNode node) {
      this.node = node;
    }

    @Override
    public double finishIn(long worker, double work) {
      EmulatedWorker each = fleet.byId(worker);
      if (each.vanished || each.phase != WorkerState.READY) {
        return Double.POSITIVE_INFINITY;
      }
      return each.model.finishIn(work) + each.inFlight / Math.max(1e-9, each.model.capacity());
    }

    @Override
    public double work(String id) {
      return node.held(id).work;
    }
  }
}
