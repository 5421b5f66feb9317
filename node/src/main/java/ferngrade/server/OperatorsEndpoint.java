package ferngrade.server;

import ferngrade.http.Admin;
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
 * Where operators call, from its first call to the last: it tells the other processes of the node
 * where it listens, and at the end answers and stores all that has reached it. Belongs to the event
 * loop.
 */
final class OperatorsEndpoint {
  /**
   * How long a process that ends waits for its calls and appends, ms: it must not outlast its
   * budget for that.
   */
  private static final double MAX_LAST_STORE = 45;

  private final OperatorCalls.Parts parts;

  /** Null where nothing is shared with other processes. */
  private final SharedState sharedState;

  /** Null if no state is kept. */
  private final StateFolder folder;

  private final Clock clock;
  private final Timers timers;
  private final Admin admin;
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
    this.admin = new Admin(new OperatorCalls(parts, clock, timers, log), clock, timers, loop);
  }

  /** Begins to listen at {@code at}. */
  ChannelFuture listen(EventLoopGroup group, InetSocketAddress at, ChannelProvider channels) {
    ChannelFuture listening = admin.listen(group, at, channels);
    channel = listening.channel();
    if (sharedState != null && parts.upgradePeers() != null) {
      folder.findEarlierProcess(parts.upgradePeers());
      listening.addListener(
          done -> {
            if (done.isSuccess()) {
              announce();
            }
          });
    }
    return listening;
  }

  private void announce() {
    sharedState.listening(address());
    folder.saveAdminAddress(address());
    parts.upgradePeers().announce();
  }

  /** Where it listens. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /**
   * Answers the operators' calls that have come and stores what they ask for, then runs {@code
   * done}: at {@code end} on the clock, and a moment for the disk, at the latest.
   */
  void finish(double end, Runnable done) {
    Runnable once = new CountDown(1, done);
    admin.finish(this::whenAppended, once);
    timers.after(Math.max(0, end - clock.now()) + MAX_LAST_STORE, once);
  }

  /** Accepts and reads what has come and the event loop has not come to read. */
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
