package ferngrade.http;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.PendingReads;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Where operators call: HTTP/1.1, one call to a connection, 2xx for yes and 4xx or 5xx for no. It
 * runs on the event loop; what the calls do is in {@link OperatorCalls}. A caller has {@link
 * #CALL_TIMEOUT} to bring its whole call, and a few callers are held at a time, those that say
 * nothing giving way, so that silent ones cost nobody else. The node's other processes call here,
 * too, and may keep their connections.
 */
public final class Admin {
  /** How long a caller may take to bring a whole call, ms; callers wait 1 s for the answer. */
  static final double CALL_TIMEOUT = 1000;

  /** Between the close of the listener and the end of the process, ms. */
  private static final long CLOSE_DELAY = 1;

  /** The largest body of a call, in bytes: a relayed callback is as large as any. */
  static final int MAX_CALL_BYTES = HttpFrontend.MAX_BODY;

  /** Callers that may be silent at a time: the staff makes one call at a time. */
  private static final int MAX_SILENT = 8;

  /** Calls that may wait for the disk at a time. */
  private static final int MAX_WAITING = 16;

  /** Connections that may be open at a time, those of the node's other processes included. */
  private static final int MAX_OPEN = MAX_SILENT + MAX_WAITING + UpgradePeers.MAX_PEERS;

  private final OperatorCalls calls;
  private final Clock clock;
  private final AcceptTimeEstimator acceptTimes;
  private final AcceptSwitch acceptSwitch;
  private final ConnectionTable<AdminHandler> connections;
  private Channel listener;
  private boolean finishing;

  /** What runs once no call is open; null if nothing waits for that. */
  private Runnable whenAnswered;

  /** The listener for {@code calls}; {@code loop} runs tasks at the end of the present turn. */
  public Admin(OperatorCalls calls, Clock clock, Timers timers, Executor loop) {
    this.calls = calls;
    this.clock = clock;
    // A call that has waited for longer has the least time for the disk in any case.
    this.acceptTimes =
        new AcceptTimeEstimator(calls.arrivals(), this::acceptsAtOnce, OperatorCalls.STORE_TIMEOUT);
    this.acceptSwitch = new AcceptSwitch(timers, acceptTimes);
    this.connections =
        new ConnectionTable<>(
            new ConnectionTable.Limits(MAX_OPEN, MAX_SILENT),
            CALL_TIMEOUT,
            acceptSwitch,
            new ConnectionTable.Surroundings(clock, timers, loop, calls.closes()));
  }

  private int acceptsAtOnce() {
    return acceptSwitch.acceptsAtOnce();
  }

  /** The earliest time at which the connection accepted last may have come, ms on the clock. */
  double acceptedSince() {
    return acceptTimes.waitingSince();
  }

  /** The time, ms on the clock. */
  double now() {
    return clock.now();
  }

  /** What the calls do. */
  OperatorCalls calls() {
    return calls;
  }

  /** Begins to listen at {@code address}. */
  public ChannelFuture listen(
      EventLoopGroup group, InetSocketAddress address, ChannelProvider channels) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> channels.listener(Purpose.ADMIN, null))
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(acceptTimes, acceptSwitch);
                  }
                })
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    new AdminHandler(Admin.this).addTo(channel.pipeline());
                  }
                })
            .bind(address);
    listener = bound.channel();
    connections.startSweeping();
    return bound;
  }

  /**
   * Answers every call that has reached this machine, stores what they ask for, and then runs
   * {@code done}, which ends the process. It listens until nothing is left to do: who connects
   * between the last look and the close is reset. A caller that sends nothing is awaited for {@link
   * #CALL_TIMEOUT} at most.
   *
   * @param store runs a task once all that was answered is stored
   */
  public void finish(Consumer<Runnable> store, Runnable done) {
    finishing = true;
    whenAnswered(() -> store.accept(() -> endUnlessCalled(store, done)));
  }

  /** Accepts and reads what has come and the event loop has not come to read. */
  public void readPending() {
    connections.readPending();
  }

  /** True once the process ends: each connection closes behind its answer. */
  boolean finishing() {
    return finishing;
  }

  /** Runs a task once no call is open, counting those that wait to be accepted. */
  private void whenAnswered(Runnable task) {
    acceptWaiting();
    connections.idle().forEach(AdminHandler::closeAfterReading);
    if (connections.isEmpty()) {
      task.run();
    } else {
      whenAnswered = task;
    }
  }

  private void endUnlessCalled(Consumer<Runnable> store, Runnable done) {
    acceptWaiting();
    if (connections.isEmpty()) {
      listener.close();
      // The system closes the listener with the next select; from then on callers are refused, also
      // while the runtime ends, which takes some ms.
      listener.eventLoop().schedule(done, CLOSE_DELAY, TimeUnit.MILLISECONDS);
    } else {
      finish(store, done);
    }
  }

  private void acceptWaiting() {
    PendingReads.acceptWaiting(
        (AbstractNioChannel) listener, connections::accepted, connections::hasPlace);
  }

  /** The connections of callers. */
  ConnectionTable<AdminHandler> connections() {
    return connections;
  }

  /** A caller's connection has ended. */
  void closed(AdminHandler caller) {
    connections.closed(caller);
    if (whenAnswered != null && connections.isEmpty()) {
      Runnable task = whenAnswered;
      whenAnswered = null;
      whenAnswered(task);
    }
  }
}
