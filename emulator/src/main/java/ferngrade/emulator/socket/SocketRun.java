package ferngrade.emulator.socket;

import com.eclipsesource.json.JsonObject;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.emulator.Clients;
import ferngrade.emulator.EmulatedDiscovery;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.FaultInjector;
import ferngrade.emulator.FaultPlan;
import ferngrade.emulator.Fleet;
import ferngrade.emulator.Network;
import ferngrade.emulator.Observer;
import ferngrade.emulator.Observers;
import ferngrade.emulator.RandomStreams;
import ferngrade.emulator.Request;
import ferngrade.emulator.Scenario;
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
 * Runs a scenario on loopback sockets and in real time: the same clients, fleet, discovery, faults
 * and invariant checkers as in virtual time, around nodes in separate processes. All emulated
 * components share one event loop, whose lateness is measured: a run on an overloaded machine is
 * invalid.
 *
 * <p>A socket run differs from virtual time because of the limits of loopback: an unreachable
 * machine still completes the TCP handshake, and delays are applied in the emulated components, not
 * in the network.
 */
public final class SocketRun implements FaultInjector {
  /** The number of listeners per worker that are opened before the run for later replacements. */
  private static final int SPARE_LISTENERS_PER_WORKER = 2;

  private static final double FRONT_POLL_MILLIS = 100;
  private static final long READY_TIMEOUT_MILLIS = 30_000;

  final Scenario scenario;
  final Observer observer;
  final RealTime time;
  final Network network;
  final HttpPool http;
  final Fleet fleet;
  final EmulatedDiscovery discovery;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final RandomStreams streams;
  private final UniformRandomProvider frontRandom;
  private final Clients clients;
  private final FaultPlan faultPlan;
  private final List<HttpListener> listeners = new ArrayList<>();
  private final List<DiscoverySocket> discoveryAgents = new ArrayList<>();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<InetSocketAddress> peerAddresses = new ArrayList<>();
  private final boolean[] markedDown;
  private final int[] incarnations;
  private final ClientSockets sockets;
  private final Map<String, Runnable> giveUpCallbacks = new HashMap<>();
  private PeerRelay relay;
  private double startedAt;

  /**
   * Creates a run of production nodes, each of which is started by {@code command}. Their
   * configuration files and logs are written to {@code folder}.
   */
  public SocketRun(
      Scenario scenario,
      long seed,
      List<String> command,
      Path folder,
      List<? extends Observer> observers)
      throws InterruptedException, IOException {
    this.scenario = scenario;
    this.markedDown = new boolean[scenario.nodes];
    this.incarnations = new int[scenario.nodes];
    this.observer = new Observers(observers);
    this.streams = new RandomStreams(seed);
    this.time = new RealTime(loop);
    this.network = new Network(scenario.network, scenario.zones.size(), streams.stream("network"));
    this.http = new HttpPool(group);
    int listenerCount = scenario.workers * (1 + SPARE_LISTENERS_PER_WORKER);
    for (int i = 0; i < listenerCount; i++) {
      int number = i;
      HttpListener listener = new HttpListener(group, () -> new WorkerSocket(this, worker(number)));
      listener.listen();
      listeners.add(listener);
    }
    this.fleet =
        new Fleet(scenario, time, streams, observer, number -> listeners.get(number).address());
    this.frontRandom = streams.stream("front");
    this.sockets =
        new ClientSockets(
            scenario,
            time,
            network,
            http,
            observer,
            this::pick,
            this::nodeAddress,
            node -> !nodes.get(node).alive() || markedDown[node]);
    this.clients = new Clients(scenario, time, streams, observer, sockets);
    sockets.setClients(clients);
    this.discovery =
        new EmulatedDiscovery(
            scenario.discovery, time, streams.stream("discovery"), fleet, this::publishToNodes);
    this.faultPlan =
        new FaultPlan(
            scenario, time, streams.stream("faults"), observer, fleet, discovery, clients, this);
    for (int i = 0; i < scenario.nodes; i++) {
      DiscoverySocket agent = new DiscoverySocket(this, i, group);
      agent.listener().listen();
      discoveryAgents.add(agent);
      nodes.add(new NodeProcess(command, folder, "n" + i, freeTcp()));
      peerAddresses.add(freeUdp());
    }
    if (scenario.peers) {
      relay = new PeerRelay(this, scenario.nodes, group, peerAddresses);
    }
  }

  private static InetSocketAddress freeTcp() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(numericLoopback(), socket.getLocalPort());
    }
  }

  private static InetSocketAddress freeUdp() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(numericLoopback(), socket.getLocalPort());
    }
  }

  /** Returns 127.0.0.1 without a host name, because nodes write this address into Host headers. */
  private static InetAddress numericLoopback() throws UnknownHostException {
    return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
  }

  private EmulatedWorker worker(int number) {
    return fleet.all().get(number);
  }

  /** Executes the run. Returns the reason why it is invalid, or null if it is valid. */
  public String run() throws InterruptedException, IOException {
    try {
      for (int i = 0; i < nodes.size(); i++) {
        launchNode(i);
      }
      for (NodeProcess node : nodes) {
        awaitReady(node);
      }
      CountDownLatch done = new CountDownLatch(1);
      loop.execute(
          () -> {
            startedAt = time.now();
            time.watchLateness();
            discoveryAgents.forEach(DiscoverySocket::begin);
            faultPlan.begin();
            clients.begin();
            time.after(scenario.duration, () -> finish(done));
          });
      long longestDeadline =
          (long)
              scenario.workload.classes.stream()
                  .mapToDouble(jobClass -> jobClass.deadline)
                  .max()
                  .orElse(0);
      if (!done.await((long) scenario.duration + longestDeadline + 20_000, TimeUnit.MILLISECONDS)) {
        return "clients were still waiting for answers long after the last deadline";
      }
      return time.invalidReason();
    } finally {
      for (NodeProcess node : nodes) {
        node.stop();
      }
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
    }
  }

  private void finish(CountDownLatch done) {
    if (clients.openRequests() > 0) {
      time.after(100, () -> finish(done));
    } else {
      time.after(500, done::countDown);
    }
  }

  /** Returns the time at which arrivals began, in ms of the machine's clock. */
  public double startedAt() {
    return startedAt;
  }

  /** Returns the time since arrivals began, in ms. */
  public double elapsedMillis() {
    return time.now() - startedAt;
  }

  private void launchNode(int node) {
    incarnations[node]++;
    String seed = Long.toHexString(streams.seed("node-" + node + "-" + incarnations[node]));
    JsonObject known = NodeFile.list(scenario, discovery.list(), discovery.revision(), true);
    nodes
        .get(node)
        .start(
            NodeFile.configuration(
                scenario,
                node,
                seed,
                nodes.get(node).listen(),
                discoveryAgents.get(node).listener().address(),
                peerAddresses.get(node),
                relay == null ? List.of() : relay.peersOf(node),
                known));
  }

  private void awaitReady(NodeProcess node) throws InterruptedException, IOException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
    while (System.nanoTime() < until) {
      if (!node.alive()) {
        throw new IOException("a node exited during startup: " + node.lastLines(5));
      }
      try {
        HttpURLConnection connection =
            (HttpURLConnection)
                URI.create("http://" + NodeFile.addressText(node.listen()) + "/-/ready")
                    .toURL()
                    .openConnection();
        connection.setConnectTimeout(1000);
        connection.setReadTimeout(1000);
        if (connection.getResponseCode() == 200) {
          return;
        }
      } catch (IOException notListening) {
        // The node is not listening yet.
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new IOException(
        "a node was not ready within " + READY_TIMEOUT_MILLIS + " ms: " + node.lastLines(5));
  }

  // ---- State shared by the emulated components ----

  Request request(String id) {
    return sockets.request(id);
  }

  int zoneOf(Request request) {
    return scenario.zoneOfNode(Math.max(0, request.node()));
  }

  InetSocketAddress nodeAddress(int node) {
    return nodes.get(node).listen();
  }

  /** Registers an attempt in flight; {@code givenUp} is called when the node gives it up. */
  void registerAttempt(String id, EmulatedWorker worker, Runnable givenUp) {
    giveUpCallbacks.put(id + "@" + worker.number, givenUp);
  }

  void attemptGivenUp(String id, EmulatedWorker worker) {
    Runnable attempt = giveUpCallbacks.remove(id + "@" + worker.number);
    if (attempt != null) {
      attempt.run();
    }
  }

  // ---- The front load balancer ----

  /**
   * Picks a random node that the front load balancer considers up: a node of the request's zone, or
   * of any zone if there is none in the request's zone. Returns -1 if the load balancer considers
   * all nodes down.
   */
  private int pick(Request request) {
    List<Integer> sameZone = new ArrayList<>();
    List<Integer> otherZones = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      if (!markedDown[i]) {
        (scenario.zoneOfNode(i) == request.zone ? sameZone : otherZones).add(i);
      }
    }
    List<Integer> candidates = sameZone.isEmpty() ? otherZones : sameZone;
    return candidates.isEmpty() ? -1 : candidates.get(frontRandom.nextInt(candidates.size()));
  }

  // ---- Discovery ----

  private void publishToNodes(
      EndpointListUpdate update, List<Endpoint> entries, long revision, double spread) {
    for (int i = 0; i < discoveryAgents.size(); i++) {
      DiscoverySocket agent = discoveryAgents.get(i);
      time.after(
          spread * (i + 1) / discoveryAgents.size(),
          () -> agent.publish(update, entries, revision));
    }
  }

  // ---- Fault injection ----

  @Override
  public void killNode(int node) {
    nodes.get(node).kill();
    observer.nodeStateChanged(time.now(), node, false);
    time.after(scenario.frontNotice, () -> markedDown[node] = !nodes.get(node).alive());
  }

  @Override
  public void startNode(int node) {
    if (!nodes.get(node).alive()) {
      launchNode(node);
      observer.nodeStateChanged(time.now(), node, true);
      markedDown[node] = true;
      awaitFront(node);
    }
  }

  /**
   * Polls a restarted node until it reports ready, and then marks it as up for the front load
   * balancer.
   */
  private void awaitFront(int node) {
    http.send(
        nodeAddress(node),
        () -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/-/ready"),
        new HttpPool.Listener() {
          @Override
          public void responseReceived(FullHttpResponse response) {
            if (response.status().code() == 200) {
              markedDown[node] = false;
            } else {
              connectFailed();
            }
          }

          @Override
          public void connectFailed() {
            time.after(FRONT_POLL_MILLIS, () -> awaitFront(node));
          }

          @Override
          public void connectionClosed() {
            connectFailed();
          }
        });
  }

  @Override
  public void pauseNode(int node, boolean begins) {
    nodes.get(node).pause(begins);
    observer.nodePauseChanged(time.now(), node, begins);
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
  public void workerUnreachable(EmulatedWorker worker) {
    // Connections stay open, but no data arrives on them.
  }

  @Override
  public void workerUp(EmulatedWorker worker) {
    if (worker.number < scenario.workers) {
      listeners.get(worker.number).reopen();
    }
  }
}
