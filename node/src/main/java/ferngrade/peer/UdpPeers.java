package ferngrade.peer;

import ferngrade.node.PeerTransport;
import ferngrade.node.RateLimitedLog;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.HeapBufferAllocator;
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

/** Sends and receives messages between nodes, one UDP datagram each. */
public final class UdpPeers implements PeerTransport {
  /** The maximum size of a datagram that the platform permits, in bytes. */
  private static final int MAX_DATAGRAM_BYTES = 256;

  private final List<InetSocketAddress> addresses;
  private final InetSocketAddress allPeers;
  private final RateLimitedLog log;
  private final ChannelProvider channels;
  private final Map<InetSocketAddress, Integer> numberByAddress = new HashMap<>();
  private Channel channel;
  private boolean handedOver;

  /**
   * Creates a transport to the peers at these addresses; the number of a peer is its index. {@code
   * allPeers} is the address that reaches all peers. Messages cannot be sent before {@link #listen}
   * has been called.
   */
  public UdpPeers(
      List<InetSocketAddress> addresses,
      InetSocketAddress allPeers,
      RateLimitedLog log,
      ChannelProvider channels) {
    this.channels = channels;
    this.addresses = addresses;
    this.allPeers = allPeers;
    this.log = log;
    for (int i = 0; i < addresses.size(); i++) {
      numberByAddress.put(addresses.get(i), i);
    }
  }

  /**
   * Binds the address. Messages of known peers are passed to {@code receiver} together with the
   * peer's number, on the event loop.
   */
  public ChannelFuture listen(
      EventLoopGroup group, InetSocketAddress address, BiConsumer<Integer, byte[]> receiver) {
    // During an upgrade the address is shared with the next process of this node, so that both
    // processes send from the address that the peers know.
    ChannelFuture bound =
        new Bootstrap()
            .group(group)
            .channelFactory(channels::datagrams)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.ALLOCATOR, HeapBufferAllocator.INSTANCE)
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    Integer from = numberByAddress.get(packet.sender());
                    if (from == null) {
                      log.line(
                          "stranger", "dropped a datagram from unknown sender " + packet.sender());
                    } else if (packet.content().readableBytes() > MAX_DATAGRAM_BYTES) {
                      log.line(
                          "long datagram",
                          "dropped a datagram of more than "
                              + MAX_DATAGRAM_BYTES
                              + " bytes from "
                              + packet.sender());
                    } else {
                      receiver.accept(from, ByteBufUtil.getBytes(packet.content()));
                    }
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    log.line(
                        "peers", "error on the peers' datagram channel: " + cause.getMessage());
                  }
                })
            .bind(address);
    channel = bound.channel();
    return bound;
  }

  /**
   * Stops sending and receiving, so that only the other process of this node uses the address. The
   * peers then receive messages from one process only, and that process receives all messages of
   * the peers.
   */
  public void handOver() {
    handedOver = true;
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void send(int peer, byte[] message) {
    InetSocketAddress target =
        peer < 0 ? allPeers : peer < addresses.size() ? addresses.get(peer) : null;
    if (handedOver) {
      return;
    }
    if (channel == null || target == null || message.length > MAX_DATAGRAM_BYTES) {
      log.line(
          "message",
          "cannot send a message to peer "
              + peer
              + ": no channel, unknown peer or message too long");
      return;
    }
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), target));
  }
}
