package ferngrade.server;

import ferngrade.http.AdminServer;
import ferngrade.http.OperatorCalls;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;

/**
 * Serves operators' calls. It announces its address to the other processes of the node, and on
 * shutdown answers the calls that have arrived and stores their changes. Used on the event loop
 * only.
 */
final class OperatorsEndpoint {
  /**
   * The maximum time past the end of the shutdown budget for the last calls and appends, in ms. It
   * is short because the process must not outlast its budget.
   */
  private static final double MAX_LAST_STORE_MILLIS = 45;

  private final OperatorCalls.Parts parts;

  /** Null if no state is shared with other processes. */
  private final SharedState sharedState;

  /** Null if no state is kept. */
  private final StateFolder folder;

  private final Clock clock;
  private final Timers timers;
  private final AdminServer admin;
  private Channel channel;

  OperatorsEndpoint(
      OperatorCalls.Parts parts,
      SharedState sharedState,
      StateFolder folder,
      Clock clock,
      Timers timers,
      Executor loop,
      RateLimitedLog log) {
    this.parts = parts;
    this.sharedState = sharedState;
    this.folder = folder;
    this.clock = clock;
    this.timers = timers;
    this.admin = new AdminServer(new OperatorCalls(parts, clock, timers, log), clock, timers, loop);
  }

  /** Binds to {@code address} and announces the address once the bind has succeeded. */
  ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, ChannelProvider channels) {
    ChannelFuture pendingBind = admin.listen(group, address, channels);
    channel = pendingBind.channel();
    if (sharedState != null && parts.upgradePeers() != null) {
      folder.findEarlierProcess(parts.upgradePeers());
      pendingBind.addListener(
          bind -> {
            if (bind.isSuccess()) {
              announce();
            }
          });
    }
    return pendingBind;
  }

  private void announce() {
    sharedState.recordAdminAddress(address());
    folder.saveAdminAddress(address());
    parts.upgradePeers().announce();
  }

  /** Returns the address on which this endpoint listens. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /**
   * Answers the operators' calls that have arrived, stores their changes, and then runs {@code
   * done}. {@code done} runs at the latest {@link #MAX_LAST_STORE_MILLIS} after {@code end}, a time
   * in ms on the clock.
   */
  void finish(double end, Runnable done) {
    Runnable doneOnce = new CountDown(1, done);
    admin.finish(this::whenAppended, doneOnce);
    timers.after(Math.max(0, end - clock.now()) + MAX_LAST_STORE_MILLIS, doneOnce);
  }

  /** Accepts pending connections and reads pending data before the event loop reaches them. */
  void readPending() {
    admin.readPending();
  }

  private void whenAppended(Runnable task) {
    if (sharedState == null) {
      task.run();
    } else {
      sharedState.whenAppended(task);
    }
  }
}
