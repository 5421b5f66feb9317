package ferngrade.emulator.socket;

import com.eclipsesource.json.JsonObject;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.emulator.Clients;
import ferngrade.emulator.EmulatedDiscovery;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.FaultInjector;
import ferngrade.emulator.Fleet;
import ferngrade.emulator.Network;
import ferngrade.emulator.Observer;
import ferngrade.emulator.Observers;
import ferngrade.emulator.Plan;
import ferngrade.emulator.Request;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.Streams;
import ferngrade.node.Endpoint;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run on loopback sockets and in real time: the same clients, fleet, discovery, faults and
 * judges as in virtual time, round nodes that are processes of their own. All stand-ins share one
 * event loop, whose lateness is watched: a run on a machine that was too busy is void.
 *
 * <p>It differs from virtual time in what loopback cannot do: a machine that has vanished still
 * completes TCP's handshake, and delays are spent in the stand-ins rather than on the way.
 */
public final class SocketRun implements FaultInjector {
  /** Rolling deploys bring new workers; listeners for them are opened before the run. */
  private static final int SPARES = 2;

  private static final double FRONT_RETRY = 100;
  private static final long READY_WITHIN_MS = 30_000;

  final Scenario scenario;
  final Observer observer;
  final RealTime time;
  final Network network;
  final HttpPool http;
  final Fleet fleet;
  final EmulatedDiscovery roll;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Streams streams;
  private final UniformRandomProvider front;
  private final Clients clients;
  private final Plan plan;
  private final List<HttpListener> listeners = new ArrayList<>();
  private final List<DiscoverySocket> discoveries = new ArrayList<>();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<InetSocketAddress> peerListens = new ArrayList<>();
  private final boolean[] believedDown;
  private final int[] incarnations;
  private final ClientSockets sockets;
  private final Map<String, Runnable> attempts = new HashMap<>();
  private PeerRelay relay;
  private double start;

  /**
   * A run of real nodes, each started by {@code command}; their files and logs go into {@code
   * folder}.
   */
  public SocketRun(
      Scenario scenario,
      long seed,
      List<String> command,
      Path folder,
      List<? extends Observer> observers)
      throws InterruptedException, IOException {
    this.scenario = scenario;
    this.believedDown = new boolean[scenario.nodes];
    this.incarnations = new int[scenario.nodes];
    this.observer = new Observers(observers);
    this.streams = new Streams(seed);
    this.time = new RealTime(loop);
    this.network = new Network(scenario.network, scenario.zones.size(), streams.stream("network"));
    this.http = new HttpPool(group);
    int most = scenario.workers * (1 + SPARES);
    for (int i = 0; i < most; i++) {
      int number = i;
      HttpListener listener = new HttpListener(group, () -> new WorkerSocket(this, worker(number)));
      listener.listen();
      listeners.add(listener);
    }
    this.fleet =
        new Fleet(scenario, time, streams, observer, number -> listeners.get(number).address());
    this.front = streams.stream("front");
    this.sockets =
        new ClientSockets(
            scenario,
            time,
            network,
            http,
            observer,
            this::pick,
            this::nodeAddress,
            node -> !nodes.get(node).alive() || believedDown[node]);
    this.clients = new Clients(scenario, time, streams, observer, sockets);
    sockets.serve(clients);
    this.roll =
        new EmulatedDiscovery(
            scenario.discovery, time, streams.stream("discovery"), fleet, this::spread);
    this.plan =
        new Plan(scenario, time, streams.stream("faults"), observer, fleet, roll, clients, this);
    for (int i = 0; i < scenario.nodes; i++) {
      DiscoverySocket discovery = new DiscoverySocket(this, i, group);
      discovery.listener().listen();
      discoveries.add(discovery);
      nodes.add(new NodeProcess(command, folder, "n" + i, freeTcp()));
      peerListens.add(freeUdp());
    }
    if (scenario.peers) {
      relay = new PeerRelay(this, scenario.nodes, group, peerListens);
    }
  }

  private static InetSocketAddress freeTcp() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(numericLoopback(), free.getLocalPort());
    }
  }

  private static InetSocketAddress freeUdp() throws IOException {
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(numericLoopback(), free.getLocalPort());
    }
  }

  /** 127.0.0.1 without a host name: a node writes the address it was given into Host headers. */
  private static InetAddress numericLoopback() throws UnknownHostException {
    return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
  }

  private EmulatedWorker worker(int number) {
    return fleet.all().get(number);
  }

  /** Plays the run; returns why it is void, or null if it counts. */
  public String run() throws InterruptedException, IOException {
    try {
      for (int i = 0; i < nodes.size(); i++) {
        launch(i);
      }
      for (NodeProcess node : nodes) {
        awaitReady(node);
      }
      CountDownLatch done = new CountDownLatch(1);
      loop.execute(
          () -> {
            start = time.now();
            time.watch();
            discoveries.forEach(DiscoverySocket::begin);
            plan.begin();
            clients.begin();
            time.after(scenario.duration, () -> finish(done));
          });
      long longest =
          (long)
              scenario.workload.classes.stream().mapToDouble(each -> each.deadline).max().orElse(0);
      if (!done.await((long) scenario.duration + longest + 20_000, TimeUnit.MILLISECONDS)) {
        return "clients still waited long after the last deadline";
      }
      return time.tooBusy();
    } finally {
      for (NodeProcess node : nodes) {
        node.stop();
      }
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
    }
  }

  private void finish(CountDownLatch done) {
    if (clients.open() > 0) {
      time.after(100, () -> finish(done));
    } else {
      time.after(500, done::countDown);
    }
  }

  /** When the first arrivals could come; the machine's clock, ms. */
  public double startedAt() {
    return start;
  }

  /** The time that has passed since then, ms. */
  public double passed() {
    return time.now() - start;
  }

  private void launch(int node) {
    incarnations[node]++;
    String seed = Long.toHexString(streams.seed("node-" + node + "-" + incarnations[node]));
    JsonObject known = NodeFile.list(scenario, roll.list(), roll.revision(), true);
    nodes
        .get(node)
        .start(
            NodeFile.configuration(
                scenario,
                node,
                seed,
                nodes.get(node).listen(),
                discoveries.get(node).listener().address(),
                peerListens.get(node),
                relay == null ? List.of() : relay.peersOf(node),
                known));
  }

  private void awaitReady(NodeProcess node) throws InterruptedException, IOException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MS);
    while (System.nanoTime() < until) {
      if (!node.alive()) {
        throw new IOException("a node ended at its start: " + node.lastLines(5));
      }
      try {
        HttpURLConnection asked =
            (HttpURLConnection)
                URI.create("http://" + NodeFile.text(node.listen()) + "/-/ready")
                    .toURL()
                    .openConnection();
        asked.setConnectTimeout(1000);
        asked.setReadTimeout(1000);
        if (asked.getResponseCode() == 200) {
          return;
        }
      } catch (IOException notYet) {
        // It does not listen yet.
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new IOException(
        "a node was not ready in " + READY_WITHIN_MS + " ms: " + node.lastLines(5));
  }

  // ---- What the stand-ins ask for ----

  Request request(String id) {
    return sockets.request(id);
  }

  int zoneOf(Request request) {
    return scenario.zoneOfNode(Math.max(0, request.node()));
  }

  InetSocketAddress nodeAddress(int node) {
    return nodes.get(node).listen();
  }

  /** An attempt is out; {@code givenUp} is called when the node gives it up. */
  void out(String id, EmulatedWorker worker, Runnable givenUp) {
    attempts.put(id + "@" + worker.number, givenUp);
  }

  void givenUp(String id, EmulatedWorker worker) {
    Runnable attempt = attempts.remove(id + "@" + worker.number);
    if (attempt != null) {
      attempt.run();
    }
  }

  // ---- The front ----

  /**
   * Deals a request out among the nodes of its zone that the front holds for alive, else among all;
   * -1 for none.
   */
  private int pick(Request request) {
    List<Integer> near = new ArrayList<>();
    List<Integer> far = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      if (!believedDown[i]) {
        (scenario.zoneOfNode(i) == request.zone ? near : far).add(i);
      }
    }
    List<Integer> from = near.isEmpty() ? far : near;
    return from.isEmpty() ? -1 : from.get(front.nextInt(from.size()));
  }

  // ---- Discovery ----

  private void spread(
      EndpointListUpdate news, List<Endpoint> entries, long revision, double spread) {
    for (int i = 0; i < discoveries.size(); i++) {
      DiscoverySocket discovery = discoveries.get(i);
      time.after(
          spread * (i + 1) / discoveries.size(), () -> discovery.tell(news, entries, revision));
    }
  }

  // ---- Levers ----

  @Override
  public void killNode(int node) {
    nodes.get(node).kill();
    observer.node(time.now(), node, false);
    time.after(scenario.frontNotice, () -> believedDown[node] = !nodes.get(node).alive());
  }

  @Override
  public void startNode(int node) {
    if (!nodes.get(node).alive()) {
      launch(node);
      observer.node(time.now(), node, true);
      believedDown[node] = true;
      awaitFront(node);
    }
  }

  /** The front takes a node in once it says that it is ready. */
  private void awaitFront(int node) {
    http.send(
        nodeAddress(node),
        () -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/-/ready"),
        new HttpPool.Listener() {
          @Override
          public void answered(FullHttpResponse response) {
            if (response.status().code() == 200) {
              believedDown[node] = false;
            } else {
              unreached();
            }
          }

          @Override
          public void unreached() {
            time.after(FRONT_RETRY, () -> awaitFront(node));
          }

          @Override
          public void broken() {
            unreached();
          }
        });
  }

  @Override
  public void pauseNode(int node, boolean begins) {
    nodes.get(node).pause(begins);
    observer.paused(time.now(), node, begins);
  }

  @Override
  public void cut(int from, int to, boolean begins) {
    network.cut(from, to, begins);
  }

  @Override
  public void workerDown(EmulatedWorker worker) {
    listeners.get(worker.number).close();
  }

  @Override
  public void workerVanished(EmulatedWorker worker) {
    // Its connections stay open and silent.
  }

  @Override
  public void workerUp(EmulatedWorker worker) {
    if (worker.number < scenario.workers) {
      listeners.get(worker.number).reopen();
    }
  }
}
