package ferngrade.emulator.socket;

import ferngrade.emulator.Network;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Relays datagrams between nodes with emulated delay and loss. Each node has one relay address for
 * each of its peers. A datagram that the node sends to this address is forwarded to the peer, from
 * the relay address that the peer uses for the node.
 */
final class PeerRelay {
  private final SocketRun run;

  /** The relay sockets, indexed by the sending node and then by the receiving peer. */
  private final List<List<Channel>> relayChannels = new ArrayList<>();

  private final List<InetSocketAddress> nodes = new ArrayList<>();

  PeerRelay(SocketRun run, int count, EventLoopGroup group, List<InetSocketAddress> nodes)
      throws InterruptedException {
    this.run = run;
    this.nodes.addAll(nodes);
    for (int from = 0; from < count; from++) {
      List<Channel> row = new ArrayList<>();
      for (int to = 0; to < count; to++) {
        int sender = from;
        int receiver = to;
        row.add(
            new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .handler(
                    new SimpleChannelInboundHandler<DatagramPacket>() {
                      @Override
                      protected void channelRead0(
                          ChannelHandlerContext ctx, DatagramPacket packet) {
                        forward(sender, receiver, packet.content());
                      }
                    })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel());
      }
      relayChannels.add(row);
    }
  }

  /** Returns the relay addresses by which a node reaches all nodes, including itself. */
  List<InetSocketAddress> peersOf(int node) {
    return relayChannels.get(node).stream()
        .map(channel -> (InetSocketAddress) channel.localAddress())
        .toList();
  }

  private void forward(int from, int to, ByteBuf content) {
    double delay =
        run.network.datagramDelay(run.scenario.zoneOfNode(from), run.scenario.zoneOfNode(to));
    if (delay != Network.NEVER) {
      ByteBuf copy = content.copy();
      run.time.after(
          delay,
          () ->
              relayChannels
                  .get(to)
                  .get(from)
                  .writeAndFlush(new DatagramPacket(copy, nodes.get(to))));
    }
  }
}
