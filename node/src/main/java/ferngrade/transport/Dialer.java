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
 * Opens connections for one purpose. A dial that fails for a lack of this machine's own resources
 * says nothing about the peer: it is retried after a short backoff, for as long as it is wanted and
 * its timeout lasts. Its listener is called on the event loop only; Netty reports a socket that
 * could not be opened on a thread of its own.
 */
public final class Dialer {
  /** The backoff before a dial that failed for a lack of this machine is retried, ms. */
  public static final double BACKOFF = 20;

  private final EventLoop loop;
  private final Timers timers;
  private final Bootstrap bootstrap;

  /** Is notified of one dial: either of its connection or of its failure, once. */
  public interface Listener {
    /** Called before a retry: false if nobody needs the connection any more. */
    boolean wanted();

    /** An attempt has failed for a lack of this machine; a retry follows. */
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
   * Dials with channels of this provider, each attempt for {@code timeout} ms, with {@code handler}
   * in their pipelines.
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

  /**
   * Dials; a dial that fails for a lack of this machine is retried for about {@code retryFor} ms.
   */
  public void dial(InetSocketAddress peer, double retryFor, Listener listener) {
    new Dial(peer, (int) (retryFor / BACKOFF), listener).attempt();
  }

  /** One connection that is being opened. */
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
