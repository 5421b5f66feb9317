package ferngrade.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens the channels of a node. The defaults open ordinary sockets; tests pass channels whose
 * system calls fail.
 */
public interface ChannelProvider {
  /** Ordinary sockets. */
  ChannelProvider SOCKETS = new ChannelProvider() {};

  /** What a channel is for. */
  enum Purpose {
    CLIENTS,
    ADMIN,
    WORKERS,
    DISCOVERY,
    HANDOVER
  }

  /**
   * A listening channel; around {@code inherited}, a socket that listens already, unless that is
   * null.
   */
  default ServerChannel listener(Purpose purpose, ServerSocketChannel inherited) {
    return inherited == null ? new NioServerSocketChannel() : new NioServerSocketChannel(inherited);
  }

  /** A channel for a connection that this node opens. */
  default Channel connection(Purpose purpose) {
    return new NioSocketChannel();
  }

  /** A channel for datagrams to and from peers. */
  default Channel datagrams() {
    return new NioDatagramChannel();
  }
}
