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
 * The network between nodes: for each node and each of its peers an address that stands for the
 * peer. What the node sends there goes on late or never, and reaches the peer from the address that
 * stands for the node at the peer.
 */
final class PeerRelay {
  private final SocketRun run;

  /** By the node that uses it, then by the peer that it stands for. */
  private final List<List<Channel>> doors = new ArrayList<>();

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
                        pass(sender, receiver, packet.content());
                      }
                    })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel());
      }
      doors.add(row);
    }
  }

  /** The addresses under which a node reaches the nodes of its tier, its own included. */
  List<InetSocketAddress> peersOf(int node) {
    return doors.get(node).stream().map(door -> (InetSocketAddress) door.localAddress()).toList();
  }

  private void pass(int from, int to, ByteBuf content) {
    double way = run.network.datagram(run.scenario.zoneOfNode(from), run.scenario.zoneOfNode(to));
    if (way != Network.NEVER) {
      ByteBuf copy = content.copy();
      run.time.after(
          way,
          () -> doors.get(to).get(from).writeAndFlush(new DatagramPacket(copy, nodes.get(to))));
    }
  }
}
