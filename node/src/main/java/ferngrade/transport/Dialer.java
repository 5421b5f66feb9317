package ferngrade.transport;

import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider.Purpose;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;

/**
 * Opens connections for one purpose. A dial that fails for a lack of this machine's own says
 * nothing of the peer: it is made again after a short pause, for as long as it is wanted and its
 * patience lasts. Its listener hears of it on the loop only; Netty tells of a socket that could not
 * be opened on a thread of its own.
 */
public final class Dialer {
  /** The pause before a dial that this machine failed is made again, ms. */
  public static final double BACKOFF = 20;

  private final EventLoop loop;
  private final Timers timers;
  private final Bootstrap bootstrap;

  /** Hears of one dial: either of its connection or of its failure, once. */
  public interface Listener {
    /** Asked before another try: false if nobody needs the connection any more. */
    boolean wanted();

    /** A try has failed for a lack of this machine; another follows. */
    default void delayed() {}

    /** The connection is up. */
    void connected(Channel channel);

    /**
     * There is no connection; LOCAL: for a lack of this machine, up to the end, or it is not wanted
     * any more.
     */
    void failed(FaultOrigin origin, Throwable cause);
  }

  /**
   * Dials by channels of this provider, each try for {@code timeout} ms, with {@code handler} in
   * their pipelines.
   */
  public Dialer(
      EventLoopGroup group,
      Timers timers,
      ChannelProvider channels,
      Purpose purpose,
      int timeout,
      ChannelHandler handler) {
    this.loop = group.next();
    this.timers = timers;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(() -> channels.connection(purpose))
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout)
            .handler(handler);
  }

  /** Dials; where this machine fails it, tries again for about {@code patience} ms. */
  public void dial(InetSocketAddress peer, double patience, Listener listener) {
    new Dial(peer, (int) (patience / BACKOFF), listener).attempt();
  }

  /** One connection on its way. */
  private final class Dial {
    private final InetSocketAddress peer;
    private final Listener listener;
    private int retries;

    Dial(InetSocketAddress peer, int retries, Listener listener) {
      this.peer = peer;
      this.retries = retries;
      this.listener = listener;
    }

    void attempt() {
      ChannelFuture connecting = bootstrap.connect(peer);
      if (connecting.isDone()) {
        // No socket: the future's own executor is another thread than the loop.
        loop.execute(() -> ended(connecting));
      } else {
        connecting.addListener(done -> ended(connecting));
      }
    }

    private void ended(ChannelFuture connecting) {
      if (connecting.isSuccess()) {
        listener.connected(connecting.channel());
        return;
      }
      FaultOrigin origin = FaultOrigin.of(connecting.cause());
      if (origin == FaultOrigin.LOCAL && retries-- > 0) {
        listener.delayed();
        timers.after(BACKOFF, () -> retry(connecting.cause()));
      } else {
        listener.failed(origin, connecting.cause());
      }
    }

    private void retry(Throwable cause) {
      if (listener.wanted()) {
        attempt();
      } else {
        listener.failed(FaultOrigin.LOCAL, cause);
      }
    }
  }
}
