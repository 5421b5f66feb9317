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
import ferngrade.http.RequestIdClaims;
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
import ferngrade.node.MemoryBudget;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.peer.UdpPeers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.FaultOrigin;
import ferngrade.transport.OpenChannels;
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
 * Runs a node on sockets. This is the composition root: it wires the components together on one
 * event loop and shuts them down in order. Public methods may be called from any thread unless
 * documented otherwise.
 */
public final class NodeServer {
  /** The maximum number of start retries after failures caused by a lack of local resources. */
  private static final int MAX_START_RETRIES = 100;

  /** The delay between two start attempts, in ms. */
  private static final long START_BACKOFF_MILLIS = 20;

  /** The Retry-After value of a rejection for lack of capacity, in ms. */
  private static final double OVERLOAD_RETRY_AFTER_MILLIS = 1000;

  /**
   * The maximum number of open requests per MB of the memory limit. {@link MemoryBudget} bounds the
   * memory that they take.
   */
  private static final int REQUESTS_PER_MB = 16;

  /**
   * The number of other processes' request ids that are remembered for each request that may be
   * open here.
   */
  private static final int FOREIGN_IDS_PER_REQUEST = 4;

  /**
   * The interval at which a process reads the state shared by the other processes of the node, in
   * ms.
   */
  private static final double REFRESH_INTERVAL_MILLIS = 100;

  private final NodeConfig config;
  private final Platform platform;
  private final ChannelProvider channels;
  private final Clock clock;
  private final RateLimitedLog log;
  private final DispatcherFactory dispatcherFactory;
  private final ArrivalClock arrivalClock;
  private final EventLoopGroup group;
  private final EventLoop loop;

  /** The channels that hold an address of this node. */
  private final OpenChannels boundChannels = new OpenChannels();

  private final Timers timers;
  private final LoopMonitor loopMonitor;
  private final PauseDetector pauseDetector;
  private final ProcessLimits processLimits;
  private final MemoryBudget memory;
  private final HttpFrontend frontend;
  private final UpgradePeers upgradePeers;
  private RequestCoordinator coordinator;
  private ConnectionPool pool;
  private UdpPeers peers;

  /** State shared with the other processes of the node; null without an operators' listener. */
  private SharedState sharedState;

  /** Keeps request ids unique among the processes of the node; null if it runs alone. */
  private RequestIdClaims requestIds;

  private Discovery discovery;
  private final CountDownLatch finished = new CountDownLatch(1);

  /** The operators' listener; null if none is configured. */
  private OperatorsEndpoint operatorsEndpoint;

  private int reloadsOk;
  private int reloadsFailed;

  /**
   * Holds the inputs that the platform passes to a process in addition to its configuration.
   *
   * @param inheritedListener the clients' listening socket, or null if the node binds its own
   * @param stateFolder the folder shared by all processes of the node, or null if no state is kept
   * @param files the operations used to read and write files in that folder
   * @param process the process name that attempts carry, or null if they carry none
   */
  public record Platform(
      ServerSocketChannel inheritedListener,
      Path stateFolder,
      FileOperations files,
      String process) {
    /** No platform inputs: the node binds its own socket and keeps no state. */
    public static final Platform NONE = new Platform(null, null);

    /** Creates inputs that use the machine's file system. */
    public Platform(ServerSocketChannel inheritedListener, Path stateFolder) {
      this(inheritedListener, stateFolder, FileOperations.SYSTEM);
    }

    /** Creates inputs that use the given file operations. */
    public Platform(ServerSocketChannel inheritedListener, Path stateFolder, FileOperations files) {
      this(inheritedListener, stateFolder, files, null);
    }

    /** Returns a copy whose attempts carry the given process name. */
    public Platform withProcessName(String processName) {
      return new Platform(inheritedListener, stateFolder, files, processName);
    }
  }

  private NodeServer(
      NodeConfig config,
      Platform platform,
      Clock clock,
      RateLimitedLog log,
      DispatcherFactory dispatcherFactory,
      ChannelProvider channels) {
    this.channels = channels;
    this.dispatcherFactory = dispatcherFactory;
    this.platform = platform;
    this.config = config;
    this.clock = clock;
    this.log = log;
    this.arrivalClock = new ArrivalClock(clock);
    this.group =
        new MultiThreadIoEventLoopGroup(
            1, NioIoHandler.newFactory(SelectorProvider.provider(), arrivalClock));
    this.loop = group.next();
    this.timers =
        new Timers(
            clock,
            (delayMillis, task) ->
                loop.schedule(
                    () -> {
                      arrivalClock.markWorking();
                      task.run();
                    },
                    (long) Math.ceil(delayMillis * 1000),
                    TimeUnit.MICROSECONDS));
    this.loopMonitor = new LoopMonitor(clock, log);
    this.pauseDetector = new PauseDetector(clock, timers);
    arrivalClock.setTurnListener(loopMonitor::turnEnded);
    timers.onDelay(loopMonitor::timerDelayed);
    this.processLimits = new ProcessLimits(config, log);
    this.memory = new MemoryBudget(processLimits.peerMemory(1));
    // Only a process on an inherited socket can run in parallel with other processes of the node.
    this.upgradePeers =
        platform.inheritedListener() == null
            ? null
            : new UpgradePeers(group, timers, log, channels, memory);
    this.frontend =
        new HttpFrontend(
            processLimits.limits(1),
            memory,
            clock,
            arrivalClock,
            timers,
            loop,
            upgradePeers,
            channels,
            new ForcedCloses("clients", loopMonitor, log));
  }

  /** Creates the dispatcher of a node. */
  @FunctionalInterface
  public interface DispatcherFactory {
    /**
     * Creates a dispatcher that acts through {@code actions}; {@code now} is in ms on the node's
     * clock.
     */
    Dispatcher create(NodeConfig config, double now, Actions actions);
  }

  /**
   * Starts a node. It is listening when this method returns.
   *
   * @throws Exception if the start fails, for example because the address is in use
   */
  public static NodeServer start(NodeConfig config, Clock clock, RateLimitedLog log)
      throws Exception {
    return start(config, Platform.NONE, clock, log);
  }

  /** Starts a node with the given platform inputs. */
  public static NodeServer start(
      NodeConfig config, Platform platform, Clock clock, RateLimitedLog log) throws Exception {
    return start(config, platform, clock, log, ChannelProvider.SOCKETS);
  }

  /** Starts a node that creates its channels through {@code channels}. */
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
        (nodeConfig, now, actions) ->
            new ThrottlingDispatcher(nodeConfig.settings(), nodeConfig.seed(), now, actions),
        channels);
  }

  /** Starts a node with a different dispatcher, for comparison with the default one. */
  public static NodeServer start(
      NodeConfig config, Clock clock, RateLimitedLog log, DispatcherFactory dispatcherFactory)
      throws Exception {
    return start(config, Platform.NONE, clock, log, dispatcherFactory, ChannelProvider.SOCKETS);
  }

  /**
   * Starts a node. The start is retried while it fails because this machine lacks a resource,
   * except on an inherited socket: a failed start closes that socket.
   */
  public static NodeServer start(
      NodeConfig config,
      Platform platform,
      Clock clock,
      RateLimitedLog log,
      DispatcherFactory dispatcherFactory,
      ChannelProvider channels)
      throws Exception {
    for (int retries = platform.inheritedListener() == null ? MAX_START_RETRIES : 0; ; retries--) {
      try {
        return startOnce(config, platform, clock, log, dispatcherFactory, channels);
      } catch (Exception failed) {
        if (retries == 0 || !FaultOrigin.isTemporaryShortage(failed)) {
          throw failed;
        }
        log.line(
            "start failed because this machine lacks resources, retrying: " + failed.getMessage());
        Thread.sleep(START_BACKOFF_MILLIS);
      }
    }
  }

  private static NodeServer startOnce(
      NodeConfig config,
      Platform platform,
      Clock clock,
      RateLimitedLog log,
      DispatcherFactory dispatcherFactory,
      ChannelProvider channels)
      throws Exception {
    NodeServer server = new NodeServer(config, platform, clock, log, dispatcherFactory, channels);
    try {
      for (ChannelFuture pendingBind : server.loop.submit(server::assemble).get()) {
        pendingBind.get();
      }
      log.line(
          "listening at "
              + server.address()
              + (platform.inheritedListener() != null ? ", on the socket handed over" : "")
              + (config.admin() != null ? "; operators' calls at " + server.adminAddress() : ""));
      return server;
    } catch (Exception failed) {
      // The next attempt binds the same addresses.
      server.boundChannels.closeAndEnd(server.group, 0, MAX_START_RETRIES * START_BACKOFF_MILLIS);
      throw failed;
    }
  }

  private RequestCoordinator.RequestLimits requestLimits() {
    return new RequestCoordinator.RequestLimits(
        Math.min(config.maxOpenRequests(), REQUESTS_PER_MB * config.memoryMb()),
        memory,
        Math.min(OVERLOAD_RETRY_AFTER_MILLIS, config.settings().limits().maxRetryAfterMs()));
  }

  /** Wires the components together on the event loop and returns the pending binds. */
  private List<ChannelFuture> assemble() {
    pool =
        new ConnectionPool(
            clock, timers, config.connectionIdle(), processLimits.limits(1).workers());
    WorkerClient workers =
        new WorkerClient(group, clock, timers, pool, config.connectTimeout(), log, channels);
    peers = new UdpPeers(config.peers(), config.peersAll(), log, channels);
    discovery = new Discovery(this::createWatch);
    coordinator =
        new RequestCoordinator(
            new RequestCoordinator.Dependencies(clock, timers, loop, workers, peers, log),
            requestLimits(),
            actions -> dispatcherFactory.create(config, clock.now(), actions));
    StateFolder folder =
        platform.stateFolder() == null
            ? null
            : new StateFolder(platform.stateFolder(), platform.files(), log, this::report);
    sharedState = folder == null || config.admin() == null ? null : openSharedState(folder);
    requestIds = sharedState == null || upgradePeers == null ? null : createRequestIds();
    if (folder != null) {
      folder.restoreMaintenance(coordinator);
    }
    if (config.known() != null) {
      useStoredList(config.known().members());
    }
    List<ChannelFuture> pendingBinds = new ArrayList<>();
    if (config.peerListen() != null) {
      pendingBinds.add(
          boundChannels.addWhenBound(
              peers.listen(group, config.peerListen(), coordinator::peerMessageReceived)));
    }
    RequestReader reader = new RequestReader(config.settings());
    ProcessJoin processJoin =
        requestIds == null
            ? null
            : new ProcessJoin(requestIds, sharedState, frontend, coordinator, timers);
    if (processJoin != null) {
      processJoin.pauseAccepting();
    }
    pendingBinds.add(
        boundChannels.addWhenBound(
            frontend.listen(
                group, config.listen(), platform.inheritedListener(), coordinator, reader, log)));
    if (config.admin() != null) {
      operatorsEndpoint = createOperatorsEndpoint(folder);
      ChannelFuture operatorsBind = operatorsEndpoint.listen(group, config.admin(), channels);
      if (processJoin != null) {
        operatorsBind.addListener(bound -> processJoin.start());
      }
      pendingBinds.add(boundChannels.addWhenBound(operatorsBind));
    }
    discovery.watch(config.discovery());
    if (sharedState != null) {
      sharedState.applyEarlierDecisions();
    }
    workers.setBeforeAttempt(
        () -> {
          discovery.readPending();
          if (sharedState != null && upgradePeers != null) {
            sharedState.refresh();
          }
        });
    workers.setCallbackReader(new OncePerTurn(arrivalClock, this::readCallbacks));
    workers.setProcessIdentification(platform.process());
    pauseDetector.start();
    new BudgetReporter(coordinator, timers, log).start();
    return pendingBinds;
  }

  /** Creates the claims that keep request ids unique among the processes of the node. */
  private RequestIdClaims createRequestIds() {
    int maxForeignIds = FOREIGN_IDS_PER_REQUEST * requestLimits().requests();
    RequestIdClaims claims =
        new RequestIdClaims(upgradePeers, coordinator, timers, log, maxForeignIds);
    coordinator.setRequestIds(claims);
    return claims;
  }

  /** Reads pending callbacks from workers and callbacks relayed by other processes of the node. */
  private void readCallbacks() {
    frontend.readPending();
    if (operatorsEndpoint != null) {
      operatorsEndpoint.readPending();
    }
  }

  /** Opens the state shared by the processes of the node, before this process serves clients. */
  private SharedState openSharedState(StateFolder folder) {
    SharedState state =
        new SharedState(
            folder,
            new SharedState.Parts(
                coordinator,
                frontend,
                upgradePeers,
                this::discoveryMoved,
                processShare ->
                    processLimits.apply(processShare, coordinator, frontend, pool, memory),
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

  /** Switches to the discovery address that another process of the node has recorded. */
  private void discoveryMoved(DiscoveryRecord move) {
    if (move.former().equals(discovery.address())) {
      log.line("another process has moved discovery to " + move.current());
      discovery.watch(move.current());
    }
  }

  /**
   * Reads the shared state at a fixed interval, since a process that sends no attempts still
   * reports the metrics and the readiness of the node.
   */
  private void refreshPeriodically(SharedState state) {
    state.refresh();
    timers.after(REFRESH_INTERVAL_MILLIS, () -> refreshPeriodically(state));
  }

  /** Creates the operators' listener; {@code folder} is null if no state is kept. */
  private OperatorsEndpoint createOperatorsEndpoint(StateFolder folder) {
    List<String> classes = config.settings().classes().stream().map(JobClass::name).toList();
    OperatorCalls.Parts parts =
        new OperatorCalls.Parts(
            coordinator,
            frontend,
            upgradePeers,
            requestIds,
            classes,
            sharedState,
            arrivalClock,
            loopMonitor,
            new ForcedCloses("operators", loopMonitor, log),
            () -> reloadsOk,
            () -> reloadsFailed);
    return new OperatorsEndpoint(parts, sharedState, folder, clock, timers, loop, log);
  }

  private DiscoveryWatch createWatch(InetSocketAddress address, Runnable whenListed) {
    DiscoveryWatch.Mode mode =
        config.settings().watchesEndpoints()
            ? DiscoveryWatch.Mode.ASKED
            : DiscoveryWatch.Mode.PUSHED;
    return new DiscoveryWatch(
        group,
        address,
        config.endpointListParser(),
        coordinator,
        timers,
        log,
        mode,
        whenListed,
        channels);
  }

  /**
   * Uses the endpoint list stored by a predecessor process. If discovery pushes lists, its local
   * agent answers immediately and the pushed list takes precedence, so the stored list is held back
   * and used only if the agent does not answer. If discovery is polled, the answer may take long,
   * so the stored list is used at once.
   */
  private void useStoredList(List<Endpoint> entries) {
    if (config.settings().watchesEndpoints()) {
      coordinator.updateEndpoints(EndpointListUpdate.STORED, entries);
    } else {
      coordinator.keepStoredEndpoints(entries);
    }
  }

  /**
   * Applies the discovery address of a reloaded configuration; all other settings take effect at
   * the next start. Jobs in flight, the current endpoint list and all learned estimates are kept.
   */
  public void reload(NodeConfig changed) {
    boolean settingsChanged = !changed.hasSameSettingsText(config);
    runOnLoop(
        () -> {
          reloadsOk++;
          log.line("configuration read anew, discovery is at " + changed.discovery());
          if (settingsChanged) {
            log.line("the settings have changed too; they take effect at the next start");
          }
          InetSocketAddress former = discovery.address();
          discovery.watch(changed.discovery());
          if (sharedState != null && !former.equals(changed.discovery())) {
            sharedState.recordDiscoveryMove(new DiscoveryRecord(former, changed.discovery()));
          }
        });
  }

  /** Writes a line to the node's log. */
  public void report(String line) {
    runOnLoop(() -> log.line(line));
  }

  /**
   * Runs a task on the event loop. The task is dropped after the loop has terminated, since a
   * signal may arrive while the process exits.
   */
  private void runOnLoop(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException ended) {
      // The event loop has terminated, so the task is dropped.
    }
  }

  /** Counts a failed reload and logs the given reason. */
  public void reloadFailed(String line) {
    runOnLoop(
        () -> {
          reloadsFailed++;
          log.line(line);
        });
  }

  /** Returns the address of the operators' listener; null if there is none. */
  public InetSocketAddress adminAddress() {
    return operatorsEndpoint == null ? null : operatorsEndpoint.address();
  }

  /** Returns the address on which the node listens for clients. */
  public InetSocketAddress address() {
    return frontend.address();
  }

  /**
   * Shuts down gracefully: keeps accepting for a short grace period, closes each connection after
   * its next response, and finishes every accepted job. Returns when this is done, at the latest at
   * the end of the {@link ShutdownBudget}.
   */
  public void stop() throws InterruptedException {
    stop(Double.POSITIVE_INFINITY);
  }

  /** Shuts down gracefully; accepts jobs for at most {@code grace} ms. */
  void stop(double grace) throws InterruptedException {
    if (!loop.isShuttingDown()) {
      finish(grace, () -> {});
      group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
    }
  }

  /**
   * Shuts down gracefully and then runs {@code exit}, which ends the process, on the event loop. If
   * another thread ended the process, the runtime would wait up to 0.3 s for the thread of the
   * event loop, which is blocked in a system call.
   */
  public void stopAndExit(Runnable exit) throws InterruptedException {
    finish(Double.POSITIVE_INFINITY, exit);
  }

  private void finish(double grace, Runnable whenDone) throws InterruptedException {
    // The budget starts at this call, since the event loop may run the task late.
    double requested = clock.now();
    loop.execute(() -> beginShutdown(requested, grace, whenDone));
    finished.await();
  }

  private void beginShutdown(double requested, double grace, Runnable whenDone) {
    double earliest = pauseDetector.earliestSignal(requested);
    Runnable end =
        () -> {
          whenDone.run();
          finished.countDown();
        };
    new GracefulShutdown(
            frontend, coordinator, clock, timers, log, this::handOver, this::stopAccepting)
        .begin(
            ShutdownBudget.of(earliest, requested, config.settings()),
            requested + grace,
            requested - earliest,
            () -> finishOperatorsCalls(end));
  }

  /**
   * Stops accepting jobs and leaves this process's share to the other processes that accept jobs.
   */
  private void stopAccepting() {
    coordinator.stopAccepting();
    handOverIds();
    if (sharedState != null) {
      sharedState.recordFinishing();
    }
  }

  /** Hands over to the other processes the resources that only one process of the node can hold. */
  private void handOver() {
    if (platform.inheritedListener() != null) {
      peers.handOver();
    }
    handOverIds();
  }

  private void handOverIds() {
    if (requestIds != null) {
      requestIds.handOver();
    }
  }

  private void finishOperatorsCalls(Runnable done) {
    if (operatorsEndpoint == null) {
      done.run();
    } else {
      operatorsEndpoint.finish(frontend.budget().end(), done);
    }
  }
}
