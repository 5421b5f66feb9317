package ferngrade.server;

import ferngrade.config.EndpointListParser;
import ferngrade.config.MaintenanceCodec;
import ferngrade.config.NodeConfig;
import ferngrade.discovery.Discovery;
import ferngrade.discovery.DiscoveryWatch;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.JobClass;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.http.Admin;
import ferngrade.http.ArrivalClock;
import ferngrade.http.ConnectionLimits;
import ferngrade.http.ConnectionPool;
import ferngrade.http.HttpFrontend;
import ferngrade.http.RequestReader;
import ferngrade.http.ShutdownBudget;
import ferngrade.http.UpgradePeer;
import ferngrade.http.WorkerClient;
import ferngrade.node.AtomicFile;
import ferngrade.node.Clock;
import ferngrade.node.Endpoint;
import ferngrade.node.FileOperations;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.TaskScheduler;
import ferngrade.node.Timers;
import ferngrade.peer.UdpPeers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.FaultOrigin;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** A node on sockets: puts the parts together on one event loop, and takes them down in order. */
public final class NodeServer {
  /**
   * How often a start is tried again that fails for a lack of this machine, and the pause between,
   * ms.
   */
  private static final int START_RETRIES = 100;

  private static final long START_BACKOFF = 20;

  /** What a client is told to wait that finds no room, ms. */
  private static final double FULL_RETRY = 1000;

  /**
   * Requests held for each MB of the limit: with their attempts and timers some KB each, a
   * sixteenth of it.
   */
  private static final int REQUESTS_A_MB = 16;

  /**
   * Operators' callers held at a time, beside all else: a few, as the ops staff call one at a time.
   */
  private static final int CALLERS = 8;

  /** The file in the platform's temporary folder that passes maintenance on to the next process. */
  private static final String MAINTENANCE_FILE = "ferngrade-maintenance.json";

  /**
   * The file in that folder that says where the newest process of this node takes operators' calls.
   */
  private static final String ADMIN_FILE = "ferngrade-admin.txt";

  private final NodeConfig config;
  private final Platform platform;
  private final ChannelProvider channels;
  private final Clock clock;
  private final RateLimitedLog log;
  private final Decisions decisions;
  private final ArrivalClock arrivals;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final Timers timers;
  private final ConnectionLimits bounds;
  private final HttpFrontend front;
  private final UpgradePeer sibling;
  private RequestCoordinator node;
  private Discovery discovery;
  private final CountDownLatch finished = new CountDownLatch(1);
  private io.netty.channel.Channel adminChannel;
  private int reloadsOk;
  private int reloadsFailed;

  /**
   * What the platform hands a process beside its configuration: {@code accepted}, the clients'
   * listening socket, or null where the node binds its own; {@code state}, a folder that a later
   * process of the node shares, or null for none, and {@code files}, by which files in it are read
   * and written.
   */
  public record Platform(ServerSocketChannel accepted, Path state, FileOperations files) {
    /** Nothing handed over: the node binds its own socket and keeps nothing. */
    public static final Platform NONE = new Platform(null, null);

    /** On the machine's own file system. */
    public Platform(ServerSocketChannel accepted, Path state) {
      this(accepted, state, FileOperations.SYSTEM);
    }
  }

  private NodeServer(
      NodeConfig config,
      Platform platform,
      Clock clock,
      RateLimitedLog log,
      Decisions decisions,
      ChannelProvider channels) {
    this.channels = channels;
    this.decisions = decisions;
    this.platform = platform;
    this.config = config;
    this.clock = clock;
    this.log = log;
    this.arrivals = new ArrivalClock(clock);
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, NioIoHandler.newFactory(SelectorProvider.provider(), arrivals));
    this.loop = group.next();
    this.timers =
        new Timers(
            clock,
            (millis, run) ->
                loop.schedule(
                    () -> {
                      arrivals.working();
                      run.run();
                    },
                    (long) Math.ceil(millis * 1000),
                    TimeUnit.MICROSECONDS));
    this.bounds = ConnectionLimits.within(config.sockets(), config.memoryMb());
    // Only a process on a handed socket can have another beside it.
    this.sibling =
        platform.accepted() == null ? null : new UpgradePeer(group, timers, log, null, channels);
    this.front = new HttpFrontend(bounds, clock, arrivals, timers, sibling, channels);
  }

  /** Starts the decisions of a node, which ask for what they want done by these actions. */
  @FunctionalInterface
  public interface Decisions {
    /** Starts them. */
    Dispatcher start(NodeConfig config, double now, Actions actions);
  }

  /** Starts a node, which listens when this returns; an address in use ends in an exception. */
  public static NodeServer start(NodeConfig config, Clock clock, RateLimitedLog log)
      throws Exception {
    return start(config, Platform.NONE, clock, log);
  }

  /** Starts a node with what the platform hands over. */
  public static NodeServer start(
      NodeConfig config, Platform platform, Clock clock, RateLimitedLog log) throws Exception {
    return start(config, platform, clock, log, ChannelProvider.SOCKETS);
  }

  /** Starts a node on channels of the caller's making. */
  static NodeServer start(
      NodeConfig config,
      Platform platform,
      Clock clock,
      RateLimitedLog log,
      ChannelProvider channels)
      throws Exception {
    return start(
        config,
        platform,
        clock,
        log,
        (told, now, actions) ->
            new ThrottlingDispatcher(told.settings(), told.seed(), now, actions),
        channels);
  }

  /**
   * Starts a node round other decisions than the module's, for those that hold the two against each
   * other.
   */
  public static NodeServer start(
      NodeConfig config, Clock clock, RateLimitedLog log, Decisions decisions) throws Exception {
    return start(config, Platform.NONE, clock, log, decisions, ChannelProvider.SOCKETS);
  }

  /**
   * Starts a node, again and again for a while where the machine lacks what it needs. Not on a
   * socket handed over: a start that fails closes it.
   */
  private static NodeServer start(
      NodeConfig config,
      Platform platform,
      Clock clock,
      RateLimitedLog log,
      Decisions decisions,
      ChannelProvider channels)
      throws Exception {
    for (int retries = platform.accepted() == null ? START_RETRIES : 0; ; retries--) {
      try {
        return startOnce(config, platform, clock, log, decisions, channels);
      } catch (Exception failed) {
        if (retries == 0 || !FaultOrigin.isPassingLack(failed)) {
          throw failed;
        }
        log.line("start failed for a lack of this machine, tried again: " + failed.getMessage());
        Thread.sleep(START_BACKOFF);
      }
    }
  }

  private static NodeServer startOnce(
      NodeConfig config,
      Platform platform,
      Clock clock,
      RateLimitedLog log,
      Decisions decisions,
      ChannelProvider channels)
      throws Exception {
    NodeServer server = new NodeServer(config, platform, clock, log, decisions, channels);
    try {
      for (ChannelFuture bound : server.loop.submit(server::assemble).get()) {
        bound.get();
      }
      log.line(
          "listening at "
              + server.address()
              + (platform.accepted() != null ? ", on the socket handed over" : "")
              + (config.admin() != null ? "; operators' calls at " + config.admin() : ""));
      return server;
    } catch (Exception failed) {
      server
          .group
          .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
          .await(START_RETRIES * START_BACKOFF);
      throw failed;
    }
  }

  private RequestCoordinator.RequestLimits room() {
    long bytes = ((long) config.memoryMb() << 20) / 16;
    return new RequestCoordinator.RequestLimits(
        Math.min(config.mostOpen(), REQUESTS_A_MB * config.memoryMb()),
        bytes,
        Math.min(FULL_RETRY, config.settings().limits().retryAfterMax()));
  }

  private List<ChannelFuture> assemble() {
    ConnectionPool pool =
        new ConnectionPool(clock, timers, config.connectionIdle(), bounds.workers());
    WorkerClient workers =
        new WorkerClient(group, clock, timers, pool, config.connectTimeout(), log, channels);
    UdpPeers peers = new UdpPeers(config.peers(), config.peersAll(), log, channels);
    node =
        new RequestCoordinator(
            new RequestCoordinator.Surroundings(clock, timers, loop, workers, peers, log),
            room(),
            actions -> decisions.start(config, clock.now(), actions));
    TaskScheduler writer = TaskScheduler.onDaemonThread("state-file");
    AtomicFile state = platform.state() == null ? null : stateFile(MAINTENANCE_FILE, writer);
    restore(node, state);
    if (config.known() != null) {
      keep(node, config.known().members());
    }
    List<ChannelFuture> bound = new ArrayList<>();
    if (config.peerListen() != null) {
      bound.add(peers.listen(group, config.peerListen(), node::heard));
    }
    bound.add(
        front.listen(
            group,
            config.listen(),
            platform.accepted(),
            node,
            new RequestReader(config.settings()),
            log));
    if (config.admin() != null) {
      List<String> classes = config.settings().classes().stream().map(JobClass::name).toList();
      Admin admin =
          new Admin(
              new Admin.Parts(
                  node, front, sibling, classes, state, () -> reloadsOk, () -> reloadsFailed),
              loop,
              timers,
              log,
              CALLERS);
      ChannelFuture listening = admin.listen(group, config.admin(), channels);
      adminChannel = listening.channel();
      bound.add(listening);
      if (platform.state() != null && sibling != null) {
        AtomicFile here = stateFile(ADMIN_FILE, writer);
        findSibling(here);
        listening.addListener(
            done -> {
              if (done.isSuccess()) {
                InetSocketAddress own = adminAddress();
                here.write(own.getHostString() + ":" + own.getPort(), () -> {});
                sibling.announce(own);
              }
            });
      }
    }
    double pause =
        config.settings().asks() ? DiscoveryWatch.ASKED_MOST : DiscoveryWatch.PUSHED_MOST;
    discovery =
        new Discovery(
            (address, whenListed) ->
                new DiscoveryWatch(
                    group,
                    address,
                    config.memberReader(),
                    node,
                    timers,
                    log,
                    pause,
                    whenListed,
                    channels));
    discovery.watch(config.discovery());
    workers.beforeAttempt(discovery::readPending);
    return bound;
  }

  private AtomicFile stateFile(String name, TaskScheduler writer) {
    return new AtomicFile(platform.state().resolve(name), platform.files(), writer, this::report);
  }

  /**
   * Where lists are pushed, what the agent here holds counts as told from the first moment, and it
   * answers at once: the stored list waits for that. Where discovery is asked, nothing counts
   * before its answer, which may take long.
   */
  private void keep(RequestCoordinator node, List<Endpoint> stored) {
    if (config.settings().asks()) {
      node.members(EndpointListUpdate.STORED, stored);
    } else {
      node.stored(stored);
    }
  }

  /**
   * Reads where an earlier process of this node takes calls, before this one says where it does;
   * that process may still run beside this one on the clients' socket.
   */
  private void findSibling(AtomicFile here) {
    try {
      String earlier = here.read();
      if (earlier != null) {
        sibling.at(EndpointListParser.address(earlier.trim()));
      }
    } catch (IOException | IllegalArgumentException unusable) {
      log.line("the address of an earlier process is left aside: " + unusable.getMessage());
    }
  }

  /**
   * Takes over the maintenance that an earlier process of this node left. What cannot be read, a
   * torn or foreign file among others, is said in the log and left aside: the node starts without
   * it.
   */
  private void restore(RequestCoordinator node, AtomicFile state) {
    if (state == null) {
      return;
    }
    try {
      String saved = state.read();
      if (saved != null) {
        node.restoreMaintenance(MaintenanceCodec.read(saved));
        log.line("maintenance taken over from an earlier process");
      }
    } catch (IOException | IllegalArgumentException unusable) {
      log.line("maintenance of an earlier process left aside: " + unusable.getMessage());
    }
  }

  /**
   * Takes over what a configuration, read while the node runs, says of discovery; the rest counts
   * from the next start on. Jobs in work, the last worker list and all that was learned stay. Any
   * thread may call this.
   */
  public void reload(NodeConfig changed) {
    later(
        () -> {
          reloadsOk++;
          log.line("configuration read anew, discovery is at " + changed.discovery());
          if (!changed.settings().equals(config.settings())) {
            log.line("the settings have changed too; they count from the next start on");
          }
          discovery.watch(changed.discovery());
        });
  }

  /** Writes a line to the node's log, from any thread. */
  public void report(String line) {
    later(() -> log.line(line));
  }

  /** Runs this on the loop, unless that has ended: a signal may come while the process does. */
  private void later(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException ended) {
      // There is no node left that the signal could be about.
    }
  }

  /** Counts a configuration that could not be used, and says why in the log; from any thread. */
  public void reloadFailed(String line) {
    later(
        () -> {
          reloadsFailed++;
          log.line(line);
        });
  }

  /** Where operators call, or null where they do not. */
  public InetSocketAddress adminAddress() {
    return adminChannel == null ? null : (InetSocketAddress) adminChannel.localAddress();
  }

  /** Where the node listens. */
  public InetSocketAddress address() {
    return front.address();
  }

  /**
   * Stops in order: for a moment still accepts, ends each connection with its next answer, and
   * finishes everything that was taken. Returns when all is done, at the latest at the end of the
   * {@link ShutdownBudget}.
   */
  public void stop() throws InterruptedException {
    stop(Double.POSITIVE_INFINITY);
  }

  /** Stops and takes jobs for at most this long, ms. */
  void stop(double grace) throws InterruptedException {
    if (!loop.isShuttingDown()) {
      finish(grace, () -> {});
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
    }
  }

  /**
   * Stops for the end of the process, which {@code exit} brings about on the event loop when all is
   * done. The runtime waits up to 0.3 s for threads that are in a system call, as the loop is when
   * any other thread ends the process.
   */
  public void stopAndExit(Runnable exit) throws InterruptedException {
    finish(Double.POSITIVE_INFINITY, exit);
  }

  private void finish(double grace, Runnable whenDone) throws InterruptedException {
    // Counted from the call: the loop may come to it late.
    double asked = clock.now();
    loop.execute(() -> stopFrom(asked, grace, whenDone));
    finished.await();
  }

  private void stopFrom(double asked, double grace, Runnable whenDone) {
    log.line("stopping");
    ShutdownBudget budget = front.drain(ShutdownBudget.of(asked, config.settings()));
    node.answerAllBy(budget.answersBy());
    timers.after(
        Math.min(asked + grace, budget.acceptUntil()) - clock.now(),
        () -> {
          log.line("no more jobs are taken");
          front.finish(
              () -> {
                log.line("everything taken has its answer");
                whenDone.run();
                finished.countDown();
              });
        });
  }
}
