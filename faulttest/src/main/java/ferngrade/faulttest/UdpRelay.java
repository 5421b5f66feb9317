package ferngrade.faulttest;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A directed link for datagrams. Forwards datagrams from the sender to the target, and returns the
 * target's answers to the sender. Can drop, duplicate and delay datagrams; a delay can change their
 * order. All state except the volatile fields belongs to the event loop group's single thread.
 */
final class UdpRelay {
  private static final double LOSS_PROBABILITY = 0.2;
  private static final double DUPLICATION_PROBABILITY = 0.2;
  private static final double DELAY_PROBABILITY = 0.3;
  private static final int MAX_DELAY_MILLIS = 150;

  private final Channel channel;
  private final SplittableRandom random;
  private InetSocketAddress from;
  private volatile InetSocketAddress target;
  private volatile boolean silent;
  private volatile boolean scrambled;

  /** The last forwarded datagram, for replays. */
  private volatile byte[] lastDatagram;

  UdpRelay(EventLoopGroup group, long seed) throws InterruptedException {
    this.random = new SplittableRandom(seed);
    this.channel =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new Pipe())
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .sync()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Forwards datagrams to this address from now on. */
  void setTarget(InetSocketAddress address) {
    target = address;
  }

  /** Sets whether all datagrams are dropped. */
  void setSilent(boolean enabled) {
    silent = enabled;
  }

  /** Sets whether datagrams are randomly dropped, duplicated and delayed. */
  void setScrambled(boolean enabled) {
    scrambled = enabled;
  }

  /** Returns the last datagram forwarded to the target, null before the first. */
  byte[] lastDatagram() {
    return lastDatagram;
  }

  /** Sends a datagram to the target as if it had been received on this link. */
  void inject(byte[] datagram) {
    channel.eventLoop().execute(() -> write(target, datagram));
  }

  private void write(InetSocketAddress to, byte[] datagram) {
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(datagram), to), channel.voidPromise());
  }

  void close() {
    channel.close();
  }

  private final class Pipe extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      InetSocketAddress to = target;
      if (to == null) {
        return;
      }
      boolean isAnswer = packet.sender().equals(to);
      if (!isAnswer) {
        from = packet.sender();
      }
      InetSocketAddress next = isAnswer ? from : to;
      if (next == null || silent || (scrambled && random.nextDouble() < LOSS_PROBABILITY)) {
        return;
      }
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      lastDatagram = isAnswer ? lastDatagram : bytes;
      int copies = scrambled && random.nextDouble() < DUPLICATION_PROBABILITY ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        if (scrambled && random.nextDouble() < DELAY_PROBABILITY) {
          ctx.executor()
              .schedule(
                  () -> write(next, bytes),
                  random.nextInt(MAX_DELAY_MILLIS),
                  TimeUnit.MILLISECONDS);
        } else {
          write(next, bytes);
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Datagrams to a closed port are lost.
    }
  }
}
