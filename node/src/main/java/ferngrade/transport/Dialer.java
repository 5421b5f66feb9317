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
 * Opens outgoing connections for one purpose. A connection attempt that fails for a shortage of
 * this machine's own resources reveals nothing about the peer; it is retried after a short backoff,
 * as long as the connection is still needed and its retry time has not expired. Listeners are
 * called on the event loop only, although Netty reports a socket that could not be opened on
 * another thread.
 */
public final class Dialer {
  /**
   * The backoff before a connection attempt that failed for a local resource shortage is retried,
   * ms.
   */
  public static final double BACKOFF_MILLIS = 20;

  private final EventLoop loop;
  private final Timers timers;
  private final Bootstrap bootstrap;

  /** Receives the outcome of one dial: either its connection or its failure, once. */
  public interface Listener {
    /** Called before a retry. Returns false if the connection is no longer needed. */
    boolean isStillNeeded();

    /**
     * Called when a connection attempt has failed for a local resource shortage and will be
     * retried.
     */
    default void retryScheduled() {}

    /** Called when the connection is established. */
    void connected(Channel channel);

    /**
     * Called when the dial has failed. The origin is LOCAL if a local resource shortage lasted
     * until the end of the retries or if the connection is no longer needed.
     */
    void failed(FaultOrigin origin, Throwable cause);
  }

  /**
   * Creates a dialer that uses the channels of this provider, with a connect timeout of {@code
   * timeout} ms for each attempt and with {@code handler} in the channels' pipelines.
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
            .option(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout)
            .handler(handler);
  }

  /**
   * Opens a connection. Attempts that fail for a local resource shortage are retried for about
   * {@code retryFor} ms.
   */
  public void dial(InetSocketAddress peer, double retryFor, Listener listener) {
    new Dial(peer, (int) (retryFor / BACKOFF_MILLIS), listener).attempt();
  }

  /** A connection that is being opened. */
  private final class Dial {
    private final InetSocketAddress peer;
    private final Listener listener;
    private int retriesLeft;

    Dial(InetSocketAddress peer, int retriesLeft, Listener listener) {
      this.peer = peer;
      this.retriesLeft = retriesLeft;
      this.listener = listener;
    }

    void attempt() {
      ChannelFuture connectFuture = bootstrap.connect(peer);
      if (connectFuture.isDone()) {
        // The socket could not be opened; the future's own executor runs on a thread other than the
        // loop's.
        loop.execute(() -> ended(connectFuture));
      } else {
        connectFuture.addListener(ignored -> ended(connectFuture));
      }
    }

    private void ended(ChannelFuture connectFuture) {
      if (connectFuture.isSuccess()) {
        listener.connected(connectFuture.channel());
        return;
      }
      FaultOrigin origin = FaultOrigin.of(connectFuture.cause());
      if (origin == FaultOrigin.LOCAL && retriesLeft-- > 0) {
        listener.retryScheduled();
        timers.after(BACKOFF_MILLIS, () -> retry(connectFuture.cause()));
      } else {
        listener.failed(origin, connectFuture.cause());
      }
    }

    private void retry(Throwable cause) {
      if (listener.isStillNeeded()) {
        attempt();
      } else {
        listener.failed(FaultOrigin.LOCAL, cause);
      }
    }
  }
}
