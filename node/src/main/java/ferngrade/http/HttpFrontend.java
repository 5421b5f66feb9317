package ferngrade.http;

import ferngrade.http.AcceptSwitch.Reason;
import ferngrade.node.Clock;
import ferngrade.node.MemoryBudget;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.HeapBufferAllocator;
import ferngrade.transport.PendingReads;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * Accepts the connections on which clients send jobs and workers send their callbacks. Counts the
 * jobs in flight, and holds the draining state that its connections query. {@link ConnectionTable}
 * decides which connections must close, and {@link FrontendShutdown} the order of a shutdown.
 * Confined to the event loop.
 */
public final class HttpFrontend {
  /** The maximum size of a request or response body, in bytes. */
  static final int MAX_BODY_BYTES = 64 << 10;

  private static final int LISTEN_BACKLOG = 1024;

  /**
   * The minimum size of the buffer for one read, in bytes. The next two constants are the initial
   * and the maximum size. The undecoded rest of a read keeps its whole buffer.
   */
  private static final int MIN_READ_BUFFER_BYTES = 64;

  private static final int INITIAL_READ_BUFFER_BYTES = 2048;
  private static final int MAX_READ_BUFFER_BYTES = 16 << 10;

  /**
   * The maximum time to wait for a peer's input, in ms. A connection whose input times out ends
   * well within 3 s, including the time for the response.
   */
  private static final double INPUT_TIMEOUT_MILLIS = 1500;

  /**
   * The maximum time that a connection is assumed to have waited in the backlog, in ms. An answer
   * that is late by no more than this time is not counted as lost.
   */
  static final double MAX_BACKLOG_WAIT_MILLIS = 500;

  private ConnectionLimits limits;
  private final MemoryBudget memory;
  private final UpgradePeers upgradePeers;
  private final ChannelProvider channels;
  private final Clock clock;
  private final RequestPacer pacer;
  private final AcceptTimeEstimator acceptTimes;
  private final AcceptSwitch acceptSwitch;
  private final ConnectionTable<ClientConnection> connections;
  private final FrontendShutdown shutdown;
  private final ForcedCloses forcedCloses;
  private Channel listener;
  private boolean inherited;
  private boolean drainedByOperators;
  private int jobsInFlight;

  public HttpFrontend(
      ConnectionLimits limits,
      MemoryBudget memory,
      Clock clock,
      ArrivalClock arrivals,
      Timers timers,
      Executor loop,
      UpgradePeers upgradePeers,
      ChannelProvider channels,
      ForcedCloses forcedCloses) {
    this.forcedCloses = forcedCloses;
    this.limits = limits;
    this.memory = memory;
    this.upgradePeers = upgradePeers;
    this.channels = channels;
    this.clock = clock;
    this.pacer = new RequestPacer(arrivals, timers);
    this.acceptTimes =
        new AcceptTimeEstimator(arrivals, this::acceptsAtOnce, MAX_BACKLOG_WAIT_MILLIS);
    this.acceptSwitch = new AcceptSwitch(timers, acceptTimes);
    this.connections =
        new ConnectionTable<>(
            tableLimits(limits),
            INPUT_TIMEOUT_MILLIS,
            acceptSwitch,
            new ConnectionTable.Dependencies(clock, timers, loop, forcedCloses));
    memory.setReclaimer(this::reclaimMemory);
    this.shutdown =
        new FrontendShutdown(
            connections, () -> jobsInFlight, listenerControl(), clock, timers, loop);
  }

  private int acceptsAtOnce() {
    return acceptSwitch.acceptsAtOnce();
  }

  /**
   * Frees memory that peers hold and whose requests may still be refused. Requests that wait behind
   * another one on their connection give way first, since clients send one request at a time.
   */
  private void reclaimMemory(BooleanSupplier enough) {
    for (ClientConnection connection : connections.open()) {
      if (enough.getAsBoolean()) {
        return;
      }
      connection.discardPipelinedInput();
    }
    connections.evictForMemory(enough, (double) memory.limit());
  }

  private static ConnectionTable.Limits tableLimits(ConnectionLimits limits) {
    return new ConnectionTable.Limits(limits.clients(), limits.awaitedConnections());
  }

  /**
   * Starts to listen on {@code inheritedSocket}, a listening socket that an earlier process handed
   * over, or on a new socket bound to {@code address} if {@code inheritedSocket} is null.
   */
  public ChannelFuture listen(
      EventLoopGroup group,
      InetSocketAddress address,
      ServerSocketChannel inheritedSocket,
      RequestCoordinator coordinator,
      RequestReader reader,
      RateLimitedLog log) {
    inherited = inheritedSocket != null;
    ClientRequestHandler requests = new ClientRequestHandler(this, coordinator, reader, clock);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> channels.listener(Purpose.CLIENTS, inheritedSocket));
    if (!inherited) {
      bootstrap
          .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
          .option(ChannelOption.SO_REUSEADDR, true);
    }
    bootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(acceptTimes, acceptSwitch);
          }
        });
    bootstrap
        .childOption(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(
                MIN_READ_BUFFER_BYTES, INITIAL_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES))
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                new ClientConnectionHandler(
                        HttpFrontend.this, requests, log, pacer, acceptTimes.waitingSince())
                    .addTo(channel.pipeline());
              }
            });
    // An inherited socket is already bound and only has to be registered with the event loop.
    ChannelFuture bound = inherited ? bootstrap.register() : bootstrap.bind(address);
    listener = bound.channel();
    connections.startSweeping();
    return bound;
  }

  /** Returns the operations on the listener that a shutdown needs. */
  private FrontendShutdown.ListenerControl listenerControl() {
    return new FrontendShutdown.ListenerControl() {
      @Override
      public void acceptWaiting() {
        // On an inherited socket, the process that shares it accepts the waiting connections.
        if (!inherited) {
          PendingReads.acceptWaiting(
              (AbstractNioChannel) listener, connections::accepted, connections::hasCapacity);
        }
        if (inherited || connections.hasCapacity()) {
          listener.close();
        }
      }

      @Override
      public boolean isListening() {
        return listener.isActive();
      }

      @Override
      public void close() {
        listener.close();
      }
    };
  }

  /** Returns the address at which the frontend listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Changes the connection limits. Jobs in flight are not affected. */
  public void setLimits(ConnectionLimits changed) {
    limits = changed;
    connections.setLimits(tableLimits(changed));
  }

  /**
   * Stops accepting connections while an earlier process serves on the same socket, or resumes
   * accepting.
   */
  public void pauseAccepting(boolean pause) {
    acceptSwitch.pause(Reason.NOT_READY, pause);
  }

  /**
   * Accepts the connections and reads the bytes that have arrived but that the event loop has not
   * read yet.
   */
  public void readPending() {
    connections.readPending();
  }

  // ---- Draining and shutdown ----

  /**
   * Returns true while the node is shutting down or is drained by its operators. Every response
   * then closes its connection.
   */
  boolean draining() {
    return !shutdown.serving() || drainedByOperators;
  }

  /**
   * Starts a graceful shutdown, after which every response closes its connection. New connections
   * are still accepted on a socket that this process opened; an inherited socket is left to the
   * next process, which already listens on it.
   *
   * @return the budget passed to the first call, which later calls do not change
   */
  public ShutdownBudget drain(ShutdownBudget requested) {
    ShutdownBudget budget = shutdown.drain(requested);
    if (inherited) {
      acceptSwitch.pause(Reason.HANDED_OVER, true);
    }
    return budget;
  }

  /**
   * Drains the node on behalf of its operators: the node reports not ready, every response closes
   * its connection, and idle connections close at once, so that the load balancer opens new
   * connections elsewhere. Jobs in flight complete normally.
   */
  public void drainForOperators() {
    drainedByOperators = true;
    connections.idle().forEach(ClientConnection::closeAfterReading);
  }

  /**
   * Ends the drain that operators requested: clients' connections stay open after their responses
   * again, unless the node is shutting down.
   */
  public void resume() {
    drainedByOperators = false;
  }

  /**
   * Rejects new jobs, closes idle connections, and runs {@code done} when every job is answered and
   * the clients have read their responses. The frontend listens until the last job is answered,
   * because the workers' callbacks for the jobs in flight arrive on new connections.
   */
  public void finish(Runnable done) {
    shutdown.finish(done);
  }

  /** Returns true after {@link #finish} was called: new jobs are rejected. */
  boolean finishing() {
    return shutdown.finishing();
  }

  /** Returns the budget of the shutdown in progress, or null if there is none. */
  public ShutdownBudget budget() {
    return shutdown.budget();
  }

  // ---- Notifications from connections ----

  /** Returns the number of open client connections by state. */
  public Map<ConnectionState, Integer> openConnections() {
    Map<ConnectionState, Integer> counts = new EnumMap<>(ConnectionState.class);
    connections.open().forEach(connection -> counts.merge(connection.state(), 1, Integer::sum));
    return counts;
  }

  /**
   * Returns the statistics of the connections that the frontend closed because of a limit or a
   * timeout.
   */
  ForcedCloses forcedCloses() {
    return forcedCloses;
  }

  /** Returns the budget of the memory that the node holds for its peers. */
  MemoryBudget memory() {
    return memory;
  }

  /** Returns the open connections of this frontend. */
  ConnectionTable<ClientConnection> connections() {
    return connections;
  }

  /**
   * Returns the other processes of this node that share the client socket, or null if the socket is
   * not shared.
   */
  UpgradePeers upgradePeers() {
    return upgradePeers;
  }

  /**
   * Returns true if the limit of jobs in flight is reached. The remaining connections are reserved
   * for callbacks.
   */
  boolean atJobLimit() {
    return jobsInFlight >= limits.jobs();
  }

  /** Counts a job that has been accepted from a client. */
  void jobStarted() {
    jobsInFlight++;
  }

  /**
   * Releases the count of a job whose response has been written or whose client has disconnected.
   */
  void jobEnded() {
    jobsInFlight--;
    shutdown.advance();
  }

  /**
   * Closes a connection that has no request in progress if the node is draining or shutting down;
   * otherwise keeps it open for the next request.
   */
  void betweenRequests(ClientConnection connection) {
    if (finishing() || drainedByOperators) {
      connection.closeGracefully();
    } else {
      connections.betweenRequests(connection);
    }
  }

  /** Removes a connection that has ended. */
  void closed(ClientConnection connection) {
    connections.closed(connection);
    shutdown.advance();
  }
}
