package ferngrade.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens the channels of a node. The default methods open ordinary sockets; tests provide channels
 * whose system calls fail.
 */
public interface ChannelProvider {
  /** Opens ordinary sockets. */
  ChannelProvider SOCKETS = new ChannelProvider() {};

  /** The purpose of a channel. */
  enum Purpose {
    CLIENTS,
    ADMIN,
    WORKERS,
    DISCOVERY,
    HANDOVER
  }

  /**
   * Opens a listening channel. The channel wraps {@code inherited}, a socket that is already
   * listening, unless that is null.
   */
  default ServerChannel listener(Purpose purpose, ServerSocketChannel inherited) {
    return inherited == null ? new NioServerSocketChannel() : new NioServerSocketChannel(inherited);
  }

  /** Opens a channel for an outgoing connection of this node. */
  default Channel connection(Purpose purpose) {
    return new NioSocketChannel();
  }

  /** Opens a channel for datagrams to and from peers. */
  default Channel datagrams() {
    return new NioDatagramChannel();
  }
}
