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
 * One directed link for datagrams: what comes from its one end goes on to the other, and what the
 * other answers to it goes back. It can lose, repeat, delay and so reorder them. All but the
 * switches belongs to the group's one thread.
 */
final class UdpRelay {
  private static final double LOST = 0.2;
  private static final double REPEATED = 0.2;
  private static final double LATE = 0.3;
  private static final int LATE_MS = 150;

  private final Channel channel;
  private final SplittableRandom chance;
  private InetSocketAddress from;
  private volatile InetSocketAddress target;
  private volatile boolean silent;
  private volatile boolean scrambled;

  /** The last that passed, for whoever wants to send it again. */
  private volatile byte[] last;

  UdpRelay(EventLoopGroup group, long seed) throws InterruptedException {
    this.chance = new SplittableRandom(seed);
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

  /** What comes goes there from now on. */
  void to(InetSocketAddress address) {
    target = address;
  }

  /** Whether all is lost. */
  void silent(boolean now) {
    silent = now;
  }

  /** Whether datagrams are lost, repeated and delayed by chance. */
  void scrambled(boolean now) {
    scrambled = now;
  }

  /** The last datagram that came this way, null before the first. */
  byte[] last() {
    return last;
  }

  /** Sends this to the end, as though it had come this way. */
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
      boolean back = packet.sender().equals(to);
      if (!back) {
        from = packet.sender();
      }
      InetSocketAddress next = back ? from : to;
      if (next == null || silent || (scrambled && chance.nextDouble() < LOST)) {
        return;
      }
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      last = back ? last : bytes;
      int copies = scrambled && chance.nextDouble() < REPEATED ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        if (scrambled && chance.nextDouble() < LATE) {
          ctx.executor()
              .schedule(() -> write(next, bytes), chance.nextInt(LATE_MS), TimeUnit.MILLISECONDS);
        } else {
          write(next, bytes);
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Whoever is not there takes nothing.
    }
  }
}
