package ferngrade.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The open channels of an event loop group, which are closed before the group ends, so that their
 * addresses are free afterwards.
 *
 * <p>To end the group alone does not suffice. A group with a quiet period of 0 closes its channels
 * only if its loop begins another turn after the request; a loop that runs its tasks at that moment
 * may end without one, and its sockets then stay open.
 */
public final class OpenChannels {
  /** Closes channels that are added late, and needs no thread to report that all are closed. */
  private final ChannelGroup channels =
      new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE, true);

  /** Adds a channel until it closes. It is closed at once if these channels are already closed. */
  public void add(Channel channel) {
    channels.add(channel);
  }

  /** Adds the channel of a bind once it has succeeded. Returns the bind. */
  public ChannelFuture addWhenBound(ChannelFuture bind) {
    return bind.addListener(
        bound -> {
          if (bound.isSuccess()) {
            add(bind.channel());
          }
        });
  }

  /**
   * Closes all channels on their event loop, then ends the group without a quiet period. Returns
   * when the group has ended, at the latest after {@code maxWaitMillis}; the end then goes on by
   * itself. Must not be called on the event loop.
   *
   * @param maxShutdownMillis the time for the group's remaining tasks once all channels are closed
   */
  public void closeAndEnd(EventLoopGroup group, long maxShutdownMillis, long maxWaitMillis) {
    channels
        .close()
        .addListener(
            closed -> group.shutdownGracefully(0, maxShutdownMillis, TimeUnit.MILLISECONDS));
    group.terminationFuture().awaitUninterruptibly(maxWaitMillis);
  }
}
