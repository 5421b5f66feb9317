package ferngrade.http;

import ferngrade.http.ForcedCloses.Reason;
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
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Where operators call: HTTP/1.1, one call to a connection, 2xx for yes and 4xx or 5xx for no. It
 * runs on the event loop; what the calls do is in {@link OperatorCalls}. A caller has {@link
 * #CALL_TIMEOUT} to bring its whole call, and at most {@code most} callers are held at a time, the
 * oldest giving way, so that silent ones cost nobody else.
 */
public final class Admin {
  /** How long a caller may take to bring a whole call, ms; callers wait 1 s for the answer. */
  static final double CALL_TIMEOUT = 1000;

  /** Between the close of the listener and the end of the process, ms. */
  private static final long CLOSE_DELAY = 1;

  /** The largest body of a call, in bytes: a relayed callback is as large as any. */
  static final int MAX_CALL_BYTES = HttpFrontend.MAX_BODY;

  private final OperatorCalls calls;
  private final Clock clock;
  private final Timers timers;
  private final int most;
  private final Set<Channel> callers = new LinkedHashSet<>();

  /** The callers whose connections are open. */
  private final Set<Channel> open = new HashSet<>();

  private long accepted;
  private Channel listener;

  /** What runs once no call is open; null if nothing waits for that. */
  private Runnable whenAnswered;

  public Admin(OperatorCalls calls, Clock clock, Timers timers, int most) {
    this.calls = calls;
    this.clock = clock;
    this.timers = timers;
    this.most = most;
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
            .handler(new AcceptSwitch(timers))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    new AdminHandler(Admin.this, clock).addTo(channel.pipeline());
                  }
                })
            .bind(address);
    listener = bound.channel();
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
    whenAnswered(() -> store.accept(() -> endUnlessCalled(store, done)));
  }

  /** Runs a task once no call is open, counting those that wait to be accepted. */
  private void whenAnswered(Runnable task) {
    acceptWaiting();
    if (open.isEmpty()) {
      task.run();
    } else {
      whenAnswered = task;
    }
  }

  private void endUnlessCalled(Consumer<Runnable> store, Runnable done) {
    acceptWaiting();
    if (open.isEmpty()) {
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
        (AbstractNioChannel) listener, () -> accepted, () -> open.size() < most);
  }

  /**
   * A caller has connected: it gets its time, and pushes out the oldest caller where there are too
   * many.
   */
  void opened(Channel caller) {
    accepted++;
    open.add(caller);
    callers.add(caller);
    if (callers.size() > most) {
      Channel oldest = callers.iterator().next();
      callers.remove(oldest);
      close(oldest, Reason.AWAITED_LIMIT, most);
    }
    timers.after(CALL_TIMEOUT, () -> close(caller, Reason.TIMEOUT, CALL_TIMEOUT));
  }

  private void close(Channel caller, Reason reason, double limit) {
    if (open.contains(caller)) {
      calls.closes().record(reason, limit, caller.pipeline().get(AdminHandler.class).asClosed());
      caller.close();
    }
  }

  /** A caller has brought its whole call: it gets its answer, however many others come. */
  void received(Channel caller) {
    callers.remove(caller);
  }

  void closed(Channel caller) {
    callers.remove(caller);
    open.remove(caller);
    if (whenAnswered != null && open.isEmpty()) {
      Runnable task = whenAnswered;
      whenAnswered = null;
      whenAnswered(task);
    }
  }
}
