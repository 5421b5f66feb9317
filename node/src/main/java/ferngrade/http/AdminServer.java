package ferngrade.http;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.HeapBufferAllocator;
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
 * The HTTP/1.1 endpoint for operators: one call per connection, answered with 2xx for success and
 * 4xx or 5xx for failure. Runs on the event loop; {@link OperatorCalls} implements the calls. A
 * caller has to send its whole call within {@link #CALL_TIMEOUT_MILLIS}. Only a few callers may be
 * connected at a time, and those that have sent nothing are evicted first, so that idle callers do
 * not keep out others. The other processes of the node make calls here, too, and may keep their
 * connections open.
 */
public final class AdminServer {
  /** The maximum time for a caller to send a whole call, in ms; callers wait 1 s for the answer. */
  static final double CALL_TIMEOUT_MILLIS = 1000;

  /** The delay between the close of the listener and the end of the process, in ms. */
  private static final long CLOSE_DELAY_MILLIS = 1;

  /**
   * The maximum size of the body of a call, in bytes. A relayed callback may have the size of any
   * body.
   */
  static final int MAX_CALL_BYTES = HttpFrontend.MAX_BODY_BYTES;

  /**
   * The maximum number of callers that have not sent a whole call; operators make one call at a
   * time.
   */
  private static final int MAX_AWAITED_CALLERS = 8;

  /** The maximum number of calls that wait for the disk. */
  private static final int MAX_STORING_CALLS = 16;

  /** The maximum number of open connections, including those of the node's other processes. */
  private static final int MAX_OPEN_CONNECTIONS =
      MAX_AWAITED_CALLERS + MAX_STORING_CALLS + UpgradePeers.MAX_PEERS;

  private final OperatorCalls calls;
  private final Clock clock;
  private final AcceptTimeEstimator acceptTimes;
  private final AcceptSwitch acceptSwitch;
  private final ConnectionTable<AdminHandler> connections;
  private Channel listener;
  private boolean finishing;

  /** Runs when no call is open any more; null if nothing waits for that. */
  private Runnable whenAnswered;

  /**
   * Creates an endpoint for {@code calls}; {@code loop} runs tasks at the end of the current turn
   * of the event loop.
   */
  public AdminServer(OperatorCalls calls, Clock clock, Timers timers, Executor loop) {
    this.calls = calls;
    this.clock = clock;
    // A call that has waited longer than this maximum gets the minimum time for the disk in any
    // case.
    this.acceptTimes =
        new AcceptTimeEstimator(
            calls.arrivals(), this::acceptsAtOnce, OperatorCalls.STORE_TIMEOUT_MILLIS);
    this.acceptSwitch = new AcceptSwitch(timers, acceptTimes);
    this.connections =
        new ConnectionTable<>(
            new ConnectionTable.Limits(MAX_OPEN_CONNECTIONS, MAX_AWAITED_CALLERS),
            CALL_TIMEOUT_MILLIS,
            acceptSwitch,
            new ConnectionTable.Dependencies(clock, timers, loop, calls.forcedCloses()));
  }

  private int acceptsAtOnce() {
    return acceptSwitch.acceptsAtOnce();
  }

  /**
   * Returns the earliest time at which the most recently accepted connection may have arrived, in
   * ms on the node's clock.
   */
  double acceptedSince() {
    return acceptTimes.waitingSince();
  }

  /** Returns the time in ms on the node's clock. */
  double now() {
    return clock.now();
  }

  /** Returns the implementation of the calls. */
  OperatorCalls calls() {
    return calls;
  }

  /** Starts to listen at {@code address}. */
  public ChannelFuture listen(
      EventLoopGroup group, InetSocketAddress address, ChannelProvider channels) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> channels.listener(Purpose.ADMIN, null))
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
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
                    new AdminHandler(AdminServer.this).addTo(channel.pipeline());
                  }
                })
            .bind(address);
    listener = bound.channel();
    connections.startSweeping();
    return bound;
  }

  /**
   * Answers every call that has reached this machine, stores the changes, and then runs {@code
   * done}, which ends the process. The endpoint listens until nothing is left to do; a caller that
   * connects between the last check and the close of the listener is reset. The endpoint waits for
   * a caller that sends nothing for at most {@link #CALL_TIMEOUT_MILLIS}.
   *
   * @param store runs a task once the changes of all answered calls are stored
   */
  public void finish(Consumer<Runnable> store, Runnable done) {
    finishing = true;
    whenAnswered(() -> store.accept(() -> endIfNoCalls(store, done)));
  }

  /**
   * Accepts the connections and reads the bytes that have arrived but that the event loop has not
   * read yet.
   */
  public void readPending() {
    connections.readPending();
  }

  /** Returns true when the process is ending: each connection closes after its answer. */
  boolean finishing() {
    return finishing;
  }

  /**
   * Runs a task once no call is open. Calls whose connections wait to be accepted count as open.
   */
  private void whenAnswered(Runnable task) {
    acceptWaiting();
    connections.idle().forEach(AdminHandler::closeAfterReading);
    if (connections.isEmpty()) {
      task.run();
    } else {
      whenAnswered = task;
    }
  }

  private void endIfNoCalls(Consumer<Runnable> store, Runnable done) {
    acceptWaiting();
    if (connections.isEmpty()) {
      listener.close();
      // The system closes the listener with the next select. From then on callers are refused, also
      // while the JVM shuts down, which takes a few milliseconds.
      listener.eventLoop().schedule(done, CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      finish(store, done);
    }
  }

  private void acceptWaiting() {
    PendingReads.acceptWaiting(
        (AbstractNioChannel) listener, connections::accepted, connections::hasCapacity);
  }

  /** Returns the connections of the callers. */
  ConnectionTable<AdminHandler> connections() {
    return connections;
  }

  /** Handles the end of a caller's connection. */
  void closed(AdminHandler caller) {
    connections.closed(caller);
    if (whenAnswered != null && connections.isEmpty()) {
      Runnable task = whenAnswered;
      whenAnswered = null;
      whenAnswered(task);
    }
  }
}
