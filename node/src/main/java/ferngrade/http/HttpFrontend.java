package ferngrade.http;

import ferngrade.http.AcceptSwitch.Reason;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The address where clients bring jobs and workers call back. It owns the count of connections and
 * decides which must go. One that owes something, a whole request or its end, is given little time
 * and little room, so that connections which never ask for anything push out nobody. One that has
 * brought a job or a call-back may stand idle for as long as there is room: a client that finds it
 * closed has lost its request.
 */
public final class HttpFrontend {
  /** The largest body, in bytes. */
  static final int MOST_BODY = 64 << 10;

  /**
   * How long a connection may owe something, ms: with an answer on top it is over well within 3 s.
   */
  private static final double PATIENCE = 1500;

  private static final double SWEEP = 250;

  /**
   * How long a node whose last job has its answer waits for clients to read theirs and end, ms;
   * less if time is up.
   */
  private static final double LINGER = 1000;

  private static final int BACKLOG = 1024;

  /**
   * Connections that the listener accepts in one turn, as Netty has it; after so many, more may
   * wait.
   */
  private static final int ACCEPTS = 16;

  private final ConnectionLimits bounds;
  private final UpgradePeer sibling;
  private final ChannelProvider channels;
  private final Clock clock;
  private final ArrivalClock arrivals;
  private final Timers timers;
  private final Set<ClientConnectionHandler> open = new LinkedHashSet<>();
  private final Set<ClientConnectionHandler> idle = new LinkedHashSet<>();

  /** What owes something, and since when; the oldest comes first. */
  private final Map<ClientConnectionHandler, Double> owing = new LinkedHashMap<>();

  private final AcceptSwitch acceptSwitch;
  private Channel listener;
  private boolean inherited;
  private Stage stage = Stage.SERVING;
  private boolean drained;

  /** The times of the shutdown; null while none has been asked for. */
  private ShutdownBudget budget;

  private Runnable whenDone;
  private int jobs;

  /** Bytes of the bodies that wait behind requests in work, on all connections. */
  private long waitingBytes;

  /**
   * Since when connections may have waited to be accepted; the accepts of this turn, and if there
   * are more.
   */
  private double waiting;

  private int accepts;
  private boolean more;

  /**
   * SERVING. DRAINING: told to stop, each answer ends its connection. FINISHING: jobs that come are
   * refused, and those in work wait for their call-backs. LINGERING: all have their answers,
   * clients still read them. ENDED.
   */
  private enum Stage {
    SERVING,
    DRAINING,
    FINISHING,
    LINGERING,
    ENDED
  }

  public HttpFrontend(
      ConnectionLimits bounds,
      Clock clock,
      ArrivalClock arrivals,
      Timers timers,
      UpgradePeer sibling,
      ChannelProvider channels) {
    this.sibling = sibling;
    this.channels = channels;
    this.bounds = bounds;
    this.clock = clock;
    this.arrivals = arrivals;
    this.timers = timers;
    this.acceptSwitch = new AcceptSwitch(timers);
  }

  /**
   * Begins to listen: on {@code taken}, a listening socket that this process was handed, or else on
   * a socket of its own at {@code address}.
   */
  public ChannelFuture listen(
      EventLoopGroup group,
      InetSocketAddress address,
      ServerSocketChannel taken,
      RequestCoordinator node,
      RequestReader reader,
      RateLimitedLog log) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> channels.listener(Purpose.CLIENTS, taken));
    if (taken == null) {
      bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true);
    }
    inherited = taken != null;
    bootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(arrivalCounter(), acceptSwitch);
          }
        });
    bootstrap
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                new ClientConnectionHandler(
                        HttpFrontend.this, node, reader, clock, log, arrivals, waiting)
                    .addTo(channel.pipeline());
              }
            });
    // A socket handed over is bound already: it is only registered with the loop.
    ChannelFuture bound = taken != null ? bootstrap.register() : bootstrap.bind(address);
    listener = bound.channel();
    timers.after(SWEEP, this::sweep);
    return bound;
  }

  /** Notes since when the connections accepted in one turn may have waited. */
  private ChannelInboundHandlerAdapter arrivalCounter() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object accepted) {
        if (accepts++ == 0 && !more) {
          waiting = arrivals.since();
        }
        ctx.fireChannelRead(accepted);
      }

      @Override
      public void channelReadComplete(ChannelHandlerContext ctx) {
        more = accepts >= ACCEPTS;
        accepts = 0;
        ctx.fireChannelReadComplete();
      }
    };
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** True while every answer ends its connection: the node stops, or operators have drained it. */
  boolean draining() {
    return stage != Stage.SERVING || drained;
  }

  /**
   * True unless the node stops or operators have drained it; the client front then sends no one
   * new.
   */
  boolean takesClients() {
    return stage == Stage.SERVING && !drained;
  }

  /**
   * The other process of this node, while two share the clients' socket; null where the socket is
   * its own.
   */
  UpgradePeer sibling() {
    return sibling;
  }

  /**
   * From here on every answer ends its connection, and all fit into the budget, which is that of
   * the first call and is returned. New ones are still accepted on a socket of its own; on one
   * handed over, the next process has said yes and the platform holds the socket, so this one takes
   * none.
   */
  public ShutdownBudget drain(ShutdownBudget shutdown) {
    if (stage == Stage.SERVING) {
      stage = Stage.DRAINING;
      budget = shutdown;
    }
    if (inherited) {
      acceptSwitch.pause(Reason.HANDED_OVER, true);
    }
    return budget;
  }

  /**
   * Operators send clients away: ready says no, every answer ends its connection, and what stands
   * idle ends at once, so that the client front's new connections go elsewhere. Jobs in work end as
   * ever.
   */
  void drainForOperators() {
    drained = true;
    new ArrayList<>(idle).forEach(ClientConnectionHandler::shut);
  }

  /** Operators take clients again. */
  void resume() {
    drained = false;
  }

  /**
   * Takes no more jobs, ends what is idle, and calls {@code done} when every job has its answer and
   * clients have read theirs. Till the last answer it listens: the workers' call-backs, which those
   * answers wait for, come on connections of their own.
   */
  public void finish(Runnable done) {
    if (stage.compareTo(Stage.FINISHING) < 0) {
      stage = Stage.FINISHING;
      whenDone = done;
      new ArrayList<>(idle).forEach(ClientConnectionHandler::shut);
      at(budget.unfinishedUntil(), this::refuseUnfinished);
      at(budget.end(), this::ended);
      checkDone();
    }
  }

  /** True from {@link #finish} on: a job that comes now is refused. */
  boolean finishing() {
    return stage.compareTo(Stage.FINISHING) >= 0;
  }

  /** The budget of the shutdown under way; null if there is none. */
  ShutdownBudget budget() {
    return budget;
  }

  /** True if so many jobs are in work that the connections left are for call-backs. */
  boolean crowded() {
    return jobs >= bounds.jobs();
  }

  /** A job has been taken from a client. */
  void took() {
    jobs++;
  }

  /** A job's answer has been written, or its client has gone. */
  void gave() {
    jobs--;
    checkDone();
  }

  void opened(ClientConnectionHandler connection) {
    open.add(connection);
    owes(connection);
    makeRoom();
  }

  /** From now on the connection owes something; one that owed before starts anew. */
  void owes(ClientConnectionHandler connection) {
    idle.remove(connection);
    owing.remove(connection);
    if (!open.contains(connection)) {
      return;
    }
    owing.put(connection, clock.now());
    boundOwing();
  }

  private void boundOwing() {
    // One that is ending holds nothing but its descriptor.
    if (owing.keySet().stream().filter(each -> !each.ending()).count() > bounds.owing()) {
      // Those that have proved themselves are spared: a flood of strangers must not cost them
      // anything.
      owing.keySet().stream()
          .filter(each -> !each.proven() && !each.ending())
          .findFirst()
          .ifPresent(this::end);
    }
  }

  /** The connection's first bytes of a request have come. */
  void receives(ClientConnectionHandler connection) {
    if (!owing.containsKey(connection)) {
      owes(connection);
    }
  }

  /** A whole request has come. */
  void busy(ClientConnectionHandler connection) {
    idle.remove(connection);
    owing.remove(connection);
  }

  void idle(ClientConnectionHandler connection) {
    if (finishing() || drained) {
      connection.shut();
    } else if (connection.proven()) {
      idle.add(connection);
    } else {
      owes(connection);
    }
  }

  void closed(ClientConnectionHandler connection) {
    open.remove(connection);
    idle.remove(connection);
    owing.remove(connection);
    makeRoom();
    checkDone();
  }

  /**
   * Takes so many bytes in that wait behind a request in work; false if there is no room for them.
   */
  boolean holds(int bytes) {
    boolean room = waitingBytes + bytes <= bounds.waiting();
    waitingBytes += room ? bytes : 0;
    return room;
  }

  /** So many bytes wait no more. */
  void held(int bytes) {
    waitingBytes -= bytes;
  }

  private void makeRoom() {
    if (open.size() >= bounds.front()) {
      Stream.of(
              owing.keySet().stream().filter(each -> each.ending() || each.resting()),
              idle.stream(),
              owing.keySet().stream())
          .flatMap(each -> each)
          .findFirst()
          .ifPresent(this::end);
    }
    acceptSwitch.pause(Reason.FULL, open.size() >= bounds.front());
  }

  private void end(ClientConnectionHandler connection) {
    idle.remove(connection);
    owing.remove(connection);
    connection.endForRoom();
  }

  private void sweep() {
    double limit = clock.now() - PATIENCE;
    List<ClientConnectionHandler> late = new ArrayList<>();
    for (Map.Entry<ClientConnectionHandler, Double> each : owing.entrySet()) {
      if (each.getValue() > limit) {
        break;
      }
      late.add(each.getKey());
    }
    late.forEach(ClientConnectionHandler::late);
    timers.after(SWEEP, this::sweep);
  }

  /**
   * The one place where the front ends: once its last job, then its last connection has, or
   * clients' time is up.
   */
  private void checkDone() {
    if (stage == Stage.FINISHING && jobs == 0) {
      linger();
      at(clock.now() + LINGER - ShutdownBudget.READING_REFUSALS, this::refuseUnfinished);
      at(clock.now() + LINGER, this::ended);
    }
    if (stage == Stage.LINGERING && open.isEmpty()) {
      ended();
    }
  }

  /** No answer is awaited any more: no one new is let in, and what is between two requests ends. */
  private void linger() {
    stage = Stage.LINGERING;
    listener.close();
    new ArrayList<>(open)
        .stream().filter(ClientConnectionHandler::resting).forEach(ClientConnectionHandler::shut);
  }

  /**
   * Time is up for requests that have come in part: each is refused, so that nothing that was read
   * goes unanswered.
   */
  private void refuseUnfinished() {
    if (stage == Stage.FINISHING) {
      linger();
    }
    new ArrayList<>(open).forEach(ClientConnectionHandler::refuseUnfinished);
  }

  private void ended() {
    if (stage != Stage.ENDED) {
      stage = Stage.ENDED;
      listener.close();
      whenDone.run();
    }
  }

  private void at(double instant, Runnable task) {
    timers.after(instant - clock.now(), task);
  }
}
