package ferngrade.peer;

import ferngrade.node.PeerTransport;
import ferngrade.node.RateLimitedLog;
import ferngrade.transport.ChannelProvider;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Messages between nodes, one datagram each. */
public final class UdpPeers implements PeerTransport {
  /** The longest datagram that the platform permits, in bytes. */
  private static final int MAX_BYTES = 256;

  private final List<InetSocketAddress> addresses;
  private final InetSocketAddress all;
  private final RateLimitedLog log;
  private final ChannelProvider channels;
  private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
  private Channel channel;
  private boolean silent;

  public UdpPeers(
      List<InetSocketAddress> addresses,
      InetSocketAddress all,
      RateLimitedLog log,
      ChannelProvider channels) {
    this.channels = channels;
    this.addresses = addresses;
    this.all = all;
    this.log = log;
    for (int i = 0; i < addresses.size(); i++) {
      numbers.put(addresses.get(i), i);
    }
  }

  /**
   * Listens; what a known peer sends goes to {@code receiver} with the peer's number, on the event
   * loop.
   */
  public ChannelFuture listen(
      EventLoopGroup group, InetSocketAddress address, BiConsumer<Integer, byte[]> receiver) {
    // Shared for a while with the next process of this node, which an upgrade starts beside this
    // one: both send from the address that the peers know.
    ChannelFuture bound =
        new Bootstrap()
            .group(group)
            .channelFactory(channels::datagrams)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    Integer from = numbers.get(packet.sender());
                    if (from == null) {
                      log.line("stranger", "datagram from unknown sender: " + packet.sender());
                    } else if (packet.content().readableBytes() > MAX_BYTES) {
                      log.line(
                          "long datagram",
                          "datagram of more than " + MAX_BYTES + " bytes from " + packet.sender());
                    } else {
                      receiver.accept(from, ByteBufUtil.getBytes(packet.content()));
                    }
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    log.line("peers", "peers: " + cause.getMessage());
                  }
                })
            .bind(address);
    channel = bound.channel();
    return bound;
  }

  /**
   * Leaves the address to another process of this node: nothing is sent or received any more, so
   * that the peers hear one process only, and that one hears them.
   */
  public void handOver() {
    silent = true;
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void tell(int peer, byte[] message) {
    InetSocketAddress to = peer < 0 ? all : peer < addresses.size() ? addresses.get(peer) : null;
    if (silent) {
      return;
    }
    if (channel == null || to == null || message.length > MAX_BYTES) {
      log.line("message", "message for peer " + peer + " cannot be sent");
      return;
    }
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
  }
}
