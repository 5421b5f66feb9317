package ferngrade.server;

import ferngrade.config.NodeConfig;
import ferngrade.discovery.Discovery;
import ferngrade.discovery.DiscoveryWatch;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.JobClass;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.http.ArrivalClock;
import ferngrade.http.ConnectionPool;
import ferngrade.http.ForcedCloses;
import ferngrade.http.HttpFrontend;
import ferngrade.http.OncePerTurn;
import ferngrade.http.OperatorCalls;
import ferngrade.http.RequestReader;
import ferngrade.http.ShutdownBudget;
import ferngrade.http.UpgradePeers;
import ferngrade.http.WorkerClient;
import ferngrade.node.BudgetReporter;
import ferngrade.node.Clock;
import ferngrade.node.DiscoveryRecord;
import ferngrade.node.Endpoint;
import ferngrade.node.FileOperations;
import ferngrade.node.LoopMonitor;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.peer.UdpPeers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.FaultOrigin;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A node on sockets: the composition root, which puts the parts together on one event loop and
 * stops them in order. Its public methods may be called from any thread, except where they say
 * otherwise.
 */
public final class NodeServer {
  /** How often a start is retried that fails for a lack of this machine. */
  private static final int START_RETRIES = 100;

  /** The pause between two starts, ms. */
  private static final long START_BACKOFF = 20;

  /** The Retry-After of a rejection for lack of capacity, ms. */
  private static final double OVERLOAD_RETRY_AFTER = 1000;

  /**
   * Requests held for each MB of the memory limit: with their attempts and timers they take some KB
   * each, a sixteenth of it.
   */
  private static final int REQUESTS_PER_MB = 16;

  /**
   * How long a process at the most leaves new connections to an earlier one until it can serve, ms.
   */
  private static final double MAX_HOLD = 500;

  /** How often a process looks for what other processes of the node were told, ms. */
  private static final double REFRESH_INTERVAL = 100;

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
  private final LoopMonitor loopMonitor;
  private final PauseDetector pauses;
  private final ProcessLimits processLimits;
  private final HttpFrontend front;
  private final UpgradePeers upgradePeers;
  private RequestCoordinator coordinator;
  private ConnectionPool pool;
  private UdpPeers peers;

  /** What is shared with other processes of the node; null where operators cannot call. */
  private SharedState sharedState;

  private Discovery discovery;
  private final CountDownLatch finished = new CountDownLatch(1);

  /** Where operators call; null where they cannot. */
  private OperatorsEndpoint operators;

  private int reloadsOk;
  private int reloadsFailed;

  /**
   * What the platform passes to a process beside its configuration.
   *
   * @param accepted the clients' listening socket, or null where the node binds its own
   * @param state a folder that a later process of the node shares, or null for none
   * @param files how files in that folder are read and written
   * @param process what attempts say of the process that sends them, or null for nothing
   */
  public record Platform(
      ServerSocketChannel accepted, Path state, FileOperations files, String process) {
    /** Nothing passed on: the node binds its own socket and keeps no state. */
    public static final Platform NONE = new Platform(null, null);

    /** On the machine's own file system. */
    public Platform(ServerSocketChannel accepted, Path state) {
      this(accepted, state, FileOperations.SYSTEM);
    }

    /** On other file operations than the machine's. */
    public Platform(ServerSocketChannel accepted, Path state, FileOperations files) {
      this(accepted, state, files, null);
    }

    /** The same for a process that attempts name. */
    public Platform identifiedAs(String sender) {
      return new Platform(accepted, state, files, sender);
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
    this.loopMonitor = new LoopMonitor(clock, log);
    this.pauses = new PauseDetector(clock, timers);
    arrivals.onTurn(loopMonitor::turnEnded);
    timers.onDelay(loopMonitor::timerDelayed);
    // Only a process on an inherited socket can have others beside it.
    this.upgradePeers =
        platform.accepted() == null ? null : new UpgradePeers(group, timers, log, channels);
    this.processLimits = new ProcessLimits(config, log);
    this.front =
        new HttpFrontend(
            processLimits.limits(1),
            clock,
            arrivals,
            timers,
            loop,
            upgradePeers,
            channels,
            new ForcedCloses("clients", loopMonitor, log));
  }

  /** Makes the dispatcher of a node, which acts through the given actions. */
  @FunctionalInterface
  public interface Decisions {
    /** The dispatcher, from {@code now}, ms on the node's clock. */
    Dispatcher start(NodeConfig config, double now, Actions actions);
  }

  /**
   * Starts a node, which listens when this returns.
   *
   * @throws Exception if it cannot, for example because the address is in use
   */
  public static NodeServer start(NodeConfig config, Clock clock, RateLimitedLog log)
      throws Exception {
    return start(config, Platform.NONE, clock, log);
  }

  /** Starts a node with what the platform passes on. */
  public static NodeServer start(
      NodeConfig config, Platform platform, Clock clock, RateLimitedLog log) throws Exception {
    return start(config, platform, clock, log, ChannelProvider.SOCKETS);
  }

  /** Starts a node on other channels than ordinary sockets. */
  public static NodeServer start(
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
        (started, now, actions) ->
            new ThrottlingDispatcher(started.settings(), started.seed(), now, actions),
        channels);
  }

  /** Starts a node with another dispatcher than the usual one, to compare the two. */
  public static NodeServer start(
      NodeConfig config, Clock clock, RateLimitedLog log, Decisions decisions) throws Exception {
    return start(config, Platform.NONE, clock, log, decisions, ChannelProvider.SOCKETS);
  }

  /**
   * Starts a node, with retries for a while where the machine lacks what it needs; without any on
   * an inherited socket, which a start that fails closes.
   */
  public static NodeServer start(
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
        log.line("start failed for a lack of local resources, retrying: " + failed.getMessage());
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
              + (config.admin() != null ? "; operators' calls at " + server.adminAddress() : ""));
      return server;
    } catch (Exception failed) {
      server
          .group
          .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
          .await(START_RETRIES * START_BACKOFF);
      throw failed;
    }
  }

  private RequestCoordinator.RequestLimits requestLimits() {
    long bytes = ((long) config.memoryMb() << 20) / 16;
    return new RequestCoordinator.RequestLimits(
        Math.min(config.mostOpen(), REQUESTS_PER_MB * config.memoryMb()),
        bytes,
        Math.min(OVERLOAD_RETRY_AFTER, config.settings().limits().retryAfterMax()));
  }

  /** Puts the parts together, on the event loop; returns the sockets that are being bound. */
  private List<ChannelFuture> assemble() {
    pool =
        new ConnectionPool(
            clock, timers, config.connectionIdle(), processLimits.limits(1).workers());
    WorkerClient workers =
        new WorkerClient(group, clock, timers, pool, config.connectTimeout(), log, channels);
    peers = new UdpPeers(config.peers(), config.peersAll(), log, channels);
    discovery = new Discovery(this::newWatch);
    coordinator =
        new RequestCoordinator(
            new RequestCoordinator.Surroundings(clock, timers, loop, workers, peers, log),
            requestLimits(),
            actions -> decisions.start(config, clock.now(), actions));
    StateFolder folder =
        platform.state() == null
            ? null
            : new StateFolder(platform.state(), platform.files(), log, this::report);
    sharedState = folder == null || config.admin() == null ? null : shareState(folder);
    if (folder != null) {
      folder.restoreMaintenance(coordinator);
    }
    if (config.known() != null) {
      useStoredList(config.known().members());
    }
    List<ChannelFuture> bound = new ArrayList<>();
    if (config.peerListen() != null) {
      bound.add(peers.listen(group, config.peerListen(), coordinator::heard));
    }
    RequestReader reader = new RequestReader(config.settings());
    if (sharedState != null && sharedState.othersRun()) {
      holdAcceptingUntilReady();
    }
    bound.add(front.listen(group, config.listen(), platform.accepted(), coordinator, reader, log));
    if (config.admin() != null) {
      operators = operatorsEndpoint(folder);
      bound.add(operators.listen(group, config.admin(), channels));
    }
    discovery.watch(config.discovery());
    if (sharedState != null) {
      sharedState.applyEarlierDecisions();
    }
    workers.beforeAttempt(
        () -> {
          discovery.readPending();
          if (sharedState != null && upgradePeers != null) {
            sharedState.refresh();
          }
        });
    workers.readCallbacksBy(new OncePerTurn(arrivals, this::readCallbacks));
    workers.identifyAs(platform.process());
    pauses.start();
    new BudgetReporter(coordinator, timers, log).start();
    return bound;
  }

  /** Reads the callbacks of workers, and those that other processes of the node relay. */
  private void readCallbacks() {
    front.readPending();
    if (operators != null) {
      operators.readPending();
    }
  }

  /** Follows what the processes of the node tell each other, from before this one serves. */
  private SharedState shareState(StateFolder folder) {
    SharedState state =
        new SharedState(
            folder,
            new SharedState.Parts(
                coordinator,
                front,
                upgradePeers,
                this::discoveryMoved,
                share -> processLimits.apply(share, coordinator, front, pool),
                loop,
                clock,
                timers,
                log));
    state.open();
    if (upgradePeers != null) {
      refreshPeriodically(state);
    }
    return state;
  }

  /** While an earlier process serves, this one accepts clients once it can serve them. */
  private void holdAcceptingUntilReady() {
    front.holdAccepting(true);
    coordinator.whenReady(() -> front.holdAccepting(false));
    timers.after(MAX_HOLD, () -> front.holdAccepting(false));
  }

  /** Another process of the node was told that discovery has moved. */
  private void discoveryMoved(DiscoveryRecord moved) {
    if (moved.former().equals(discovery.address())) {
      log.line("another process has moved discovery to " + moved.current());
      discovery.watch(moved.current());
    }
  }

  /** Also a process that sends nothing reports the metrics and the readiness of the node. */
  private void refreshPeriodically(SharedState state) {
    state.refresh();
    timers.after(REFRESH_INTERVAL, () -> refreshPeriodically(state));
  }

  /** Where operators call; {@code folder} is null if no state is kept. */
  private OperatorsEndpoint operatorsEndpoint(StateFolder folder) {
    List<String> classes = config.settings().classes().stream().map(JobClass::name).toList();
    OperatorCalls.Parts parts =
        new OperatorCalls.Parts(
            coordinator,
            front,
            upgradePeers,
            classes,
            sharedState,
            arrivals,
            loopMonitor,
            new ForcedCloses("operators", loopMonitor, log),
            () -> reloadsOk,
            () -> reloadsFailed);
    return new OperatorsEndpoint(parts, sharedState, folder, clock, timers, loop, log);
  }

  private DiscoveryWatch newWatch(InetSocketAddress address, Runnable whenListed) {
    DiscoveryWatch.Mode mode =
        config.settings().asks() ? DiscoveryWatch.Mode.ASKED : DiscoveryWatch.Mode.PUSHED;
    return new DiscoveryWatch(
        group,
        address,
        config.memberReader(),
        coordinator,
        timers,
        log,
        mode,
        whenListed,
        channels);
  }

  /**
   * Uses the endpoint list of an earlier process. Where lists are pushed, the agent on this machine
   * answers at once, and what it holds counts from the first moment: the stored list waits for
   * that. Where discovery is polled, nothing counts before its answer, which may take long.
   */
  private void useStoredList(List<Endpoint> stored) {
    if (config.settings().asks()) {
      coordinator.members(EndpointListUpdate.STORED, stored);
    } else {
      coordinator.stored(stored);
    }
  }

  /**
   * Applies the address of discovery from a configuration that was read while the node runs; the
   * rest applies from the next start on. Jobs in flight, the last endpoint list and all learned
   * estimates stay.
   */
  public void reload(NodeConfig changed) {
    boolean settingsChanged = !changed.settingsWrittenAs(config);
    later(
        () -> {
          reloadsOk++;
          log.line("configuration read anew, discovery is at " + changed.discovery());
          if (settingsChanged) {
            log.line("the settings have changed too; they count from the next start on");
          }
          InetSocketAddress former = discovery.address();
          discovery.watch(changed.discovery());
          if (sharedState != null && !former.equals(changed.discovery())) {
            sharedState.moved(new DiscoveryRecord(former, changed.discovery()));
          }
        });
  }

  /** Writes a line to the node's log. */
  public void report(String line) {
    later(() -> log.line(line));
  }

  /** Runs this on the loop, unless that has ended: a signal may come while the process ends. */
  private void later(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException ended) {
      // There is no node left to apply it to.
    }
  }

  /** Counts a configuration that could not be used, and logs why. */
  public void reloadFailed(String line) {
    later(
        () -> {
          reloadsFailed++;
          log.line(line);
        });
  }

  /** Where the node takes operators' calls; null if it does not. */
  public InetSocketAddress adminAddress() {
    return operators == null ? null : operators.address();
  }

  /** Where the node listens. */
  public InetSocketAddress address() {
    return front.address();
  }

  /**
   * Stops in order: for a moment still accepts, closes each connection behind its next response,
   * and finishes every job that was accepted. Returns when all is done, at the latest at the end of
   * the {@link ShutdownBudget}.
   */
  public void stop() throws InterruptedException {
    stop(Double.POSITIVE_INFINITY);
  }

  /** Stops, and accepts jobs for at most this long, ms. */
  void stop(double grace) throws InterruptedException {
    if (!loop.isShuttingDown()) {
      finish(grace, () -> {});
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
    }
  }

  /**
   * Stops and runs {@code exit}, which ends the process, on the event loop. When any other thread
   * ends the process, the runtime waits up to 0.3 s for threads in a system call, as the loop is.
   */
  public void stopAndExit(Runnable exit) throws InterruptedException {
    finish(Double.POSITIVE_INFINITY, exit);
  }

  private void finish(double grace, Runnable whenDone) throws InterruptedException {
    // Counted from the call: the loop may come to it late.
    double requested = clock.now();
    loop.execute(() -> beginShutdown(requested, grace, whenDone));
    finished.await();
  }

  private void beginShutdown(double requested, double grace, Runnable whenDone) {
    double earliest = pauses.earliestSignal(requested);
    Runnable end =
        () -> {
          whenDone.run();
          finished.countDown();
        };
    new GracefulShutdown(front, coordinator, clock, timers, log, this::handOver, this::acceptNoMore)
        .begin(
            ShutdownBudget.of(earliest, requested, config.settings()),
            requested + grace,
            requested - earliest,
            () -> finishOperatorsCalls(end));
  }

  /** Leaves what was granted to this process to the others that accept jobs. */
  private void acceptNoMore() {
    coordinator.acceptNoMore();
    if (sharedState != null) {
      sharedState.finishing();
    }
  }

  /** Leaves to the other processes of the node what only one of them can have. */
  private void handOver() {
    if (platform.accepted() != null) {
      peers.handOver();
    }
  }

  private void finishOperatorsCalls(Runnable done) {
    if (operators == null) {
      done.run();
    } else {
      operators.finish(front.budget().end(), done);
    }
  }
}
