package ferngrade.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** Guards against addresses that stay in use after their event loop group has ended. */
class OpenChannelsTest {
  private static final long MAX_SHUTDOWN_MILLIS = 1_000;
  private static final long MAX_CLOSE_MILLIS = 10_000;

  /** The maximum time for which the event loop is held while the close begins. */
  private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final OpenChannels channels = new OpenChannels();

  private ChannelFuture bind() {
    return channels.addWhenBound(
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new ChannelInboundHandlerAdapter())
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
  }

  /** Holds the loop in a task until its group begins to end. */
  private void holdLoop() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    group.execute(
        () -> {
          held.countDown();
          long startNanos = System.nanoTime();
          while (!group.isShuttingDown() && System.nanoTime() - startNanos < MAX_HOLD_NANOS) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
          }
        });
    held.await();
  }

  @Test
  void freesTheAddressWhileATaskHoldsTheLoop() throws Exception {
    InetSocketAddress address = (InetSocketAddress) bind().sync().channel().localAddress();
    holdLoop();
    channels.closeAndEnd(group, MAX_SHUTDOWN_MILLIS, MAX_CLOSE_MILLIS);
    assertTrue(group.isTerminated());
    new DatagramSocket(address).close();
  }

  @Test
  void closesAChannelWhoseBindSucceedsAfterTheClose() throws Exception {
    holdLoop();
    ChannelFuture late = bind();
    channels.closeAndEnd(group, MAX_SHUTDOWN_MILLIS, MAX_CLOSE_MILLIS);
    assertTrue(group.isTerminated());
    assertFalse(late.channel().isOpen());
  }
}
