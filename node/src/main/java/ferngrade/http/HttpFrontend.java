package ferngrade.http;

import ferngrade.http.AcceptSwitch.Reason;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
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

/**
 * The address to which clients send jobs and workers their callbacks. It listens, owns the counts
 * of jobs in flight and of waiting bytes, and answers its connections whether the node drains;
 * which connection must close is up to {@link ConnectionTable}, the order of a shutdown to {@link
 * FrontendShutdown}. Belongs to the event loop.
 */
public final class HttpFrontend {
  /** The largest body, in bytes. */
  static final int MAX_BODY = 64 << 10;

  private static final int BACKLOG = 1024;

  /** Sizes of the buffer for one read, in bytes: a connection may hold one that is not decoded. */
  private static final int MIN_READ = 64;

  private static final int FIRST_READ = 2048;
  private static final int MAX_READ = 16 << 10;

  /** How long a connection may be awaited, ms: with the response on top it ends well within 3 s. */
  private static final double INPUT_TIMEOUT = 1500;

  /**
   * How long a connection is taken to have waited in the backlog at most, ms: an answer that is
   * late by no more than that is not lost.
   */
  static final double MAX_BACKLOG_WAIT = 500;

  private ConnectionLimits limits;
  private final UpgradePeers upgradePeers;
  private final ChannelProvider channels;
  private final Clock clock;
  private final RequestPacer pacer;
  private final AcceptTimeEstimator acceptTimes;
  private final AcceptSwitch acceptSwitch;
  private final ConnectionTable<ClientConnection> connections;
  private final FrontendShutdown shutdown;
  private final ForcedCloses closes;
  private Channel listener;
  private boolean inherited;
  private boolean drainedByOperators;
  private int jobsInFlight;

  /** Bytes of the bodies of pipelined requests that wait for their turn, on all connections. */
  private long waitingBytes;

  public HttpFrontend(
      ConnectionLimits limits,
      Clock clock,
      ArrivalClock arrivals,
      Timers timers,
      Executor loop,
      UpgradePeers upgradePeers,
      ChannelProvider channels,
      ForcedCloses closes) {
    this.closes = closes;
    this.limits = limits;
    this.upgradePeers = upgradePeers;
    this.channels = channels;
    this.clock = clock;
    this.pacer = new RequestPacer(arrivals, timers);
    this.acceptTimes = new AcceptTimeEstimator(arrivals, this::acceptsAtOnce, MAX_BACKLOG_WAIT);
    this.acceptSwitch = new AcceptSwitch(timers, acceptTimes);
    this.connections =
        new ConnectionTable<>(
            limitsOf(limits),
            INPUT_TIMEOUT,
            acceptSwitch,
            new ConnectionTable.Surroundings(clock, timers, loop, closes));
    this.shutdown =
        new FrontendShutdown(connections, () -> jobsInFlight, listening(), clock, timers, loop);
  }

  private int acceptsAtOnce() {
    return acceptSwitch.acceptsAtOnce();
  }

  private static ConnectionTable.Limits limitsOf(ConnectionLimits limits) {
    return new ConnectionTable.Limits(limits.clients(), limits.awaited());
  }

  /**
   * Begins to listen: on {@code inheritedSocket}, a listening socket that this process was handed,
   * or if that is null on a socket of its own at {@code address}.
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
      bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true);
    }
    bootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(acceptTimes, acceptSwitch);
          }
        });
    bootstrap
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(MIN_READ, FIRST_READ, MAX_READ))
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                new ClientConnectionHandler(
                        HttpFrontend.this, requests, log, pacer, acceptTimes.waitingSince())
                    .addTo(channel.pipeline());
              }
            });
    // An inherited socket is bound already: it is only registered with the loop.
    ChannelFuture bound = inherited ? bootstrap.register() : bootstrap.bind(address);
    listener = bound.channel();
    connections.startSweeping();
    return bound;
  }

  /** What the shutdown does with the listener. */
  private FrontendShutdown.Listening listening() {
    return new FrontendShutdown.Listening() {
      @Override
      public void acceptTheRest() {
        // On a socket that another process shares, that one accepts it.
        if (!inherited) {
          PendingReads.acceptWaiting(
              (AbstractNioChannel) listener, connections::accepted, connections::hasPlace);
        }
        if (inherited || connections.hasPlace()) {
          listener.close();
        }
      }

      @Override
      public boolean listens() {
        return listener.isActive();
      }

      @Override
      public void close() {
        listener.close();
      }
    };
  }

  /** The address at which the frontend listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Changes the limits of connections; jobs in flight go on. */
  public void limitTo(ConnectionLimits changed) {
    limits = changed;
    connections.limitTo(limitsOf(changed));
  }

  /** Leaves new connections to an earlier process that serves, or accepts them again. */
  public void holdAccepting(boolean hold) {
    acceptSwitch.pause(Reason.NOT_READY, hold);
  }

  /** Accepts and reads what has come and the event loop has not come to read. */
  public void readPending() {
    connections.readPending();
  }

  // ---- Draining and shutdown ----

  /** True while every response closes its connection: the node or its operators drain it. */
  boolean draining() {
    return !shutdown.serving() || drainedByOperators;
  }

  /**
   * Starts a graceful shutdown: from here on every response closes its connection. New connections
   * are still accepted on a socket of this process's own; an inherited one is left to the next
   * process, which listens on it already.
   *
   * @return the budget of the first call, which is the one that counts
   */
  public ShutdownBudget drain(ShutdownBudget requested) {
    ShutdownBudget budget = shutdown.drain(requested);
    if (inherited) {
      acceptSwitch.pause(Reason.HANDED_OVER, true);
    }
    return budget;
  }

  /**
   * Operators drain the node: it is not ready, every response closes its connection, and idle ones
   * close at once, so that the load balancer's new connections go elsewhere. Jobs in flight end as
   * ever.
   */
  public void drainForOperators() {
    drainedByOperators = true;
    connections.idle().forEach(ClientConnection::closeAfterReading);
  }

  /** Operators end the draining. */
  public void resume() {
    drainedByOperators = false;
  }

  /**
   * Rejects new jobs, closes idle connections, and runs {@code done} when every job is answered and
   * clients have read their responses. It listens until the last job is answered: the workers'
   * callbacks that jobs wait for come on connections of their own.
   */
  public void finish(Runnable done) {
    shutdown.finish(done);
  }

  /** True from {@link #finish} on: new jobs are rejected. */
  boolean finishing() {
    return shutdown.finishing();
  }

  /** The budget of the shutdown in progress; null if there is none. */
  public ShutdownBudget budget() {
    return shutdown.budget();
  }

  // ---- What the connections report ----

  /** How many client connections are open, by their state. */
  public Map<ConnectionState, Integer> openConnections() {
    Map<ConnectionState, Integer> counts = new EnumMap<>(ConnectionState.class);
    connections.open().forEach(each -> counts.merge(each.state(), 1, Integer::sum));
    return counts;
  }

  /** The connections that the frontend has closed unasked. */
  ForcedCloses closes() {
    return closes;
  }

  /** The open connections of this frontend. */
  ConnectionTable<ClientConnection> connections() {
    return connections;
  }

  /**
   * The other processes of this node that share the clients' socket; null where the socket is not
   * shared.
   */
  UpgradePeers upgradePeers() {
    return upgradePeers;
  }

  /** True if so many jobs are in flight that the connections left are reserved for callbacks. */
  boolean atJobLimit() {
    return jobsInFlight >= limits.jobs();
  }

  /** A job has been accepted from a client. */
  void jobStarted() {
    jobsInFlight++;
  }

  /** A job's response has been written, or its client has gone. */
  void jobEnded() {
    jobsInFlight--;
    shutdown.advance();
  }

  /** The connection is between two requests. */
  void rest(ClientConnection connection) {
    if (finishing() || drainedByOperators) {
      connection.closeGracefully();
    } else {
      connections.rest(connection);
    }
  }

  /** The connection has ended. */
  void closed(ClientConnection connection) {
    connections.closed(connection);
    shutdown.advance();
  }

  /** Reserves memory for a body that waits for its turn; false if there is no capacity for it. */
  boolean reserveWaitingBytes(int bytes) {
    boolean fits = waitingBytes + bytes <= limits.waitingBytes();
    waitingBytes += fits ? bytes : 0;
    return fits;
  }

  /** Returns the reservation of a body that waits no longer. */
  void releaseWaitingBytes(int bytes) {
    waitingBytes -= bytes;
  }
}
