package ferngrade.emulator.socket;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * An HTTP listener of an emulated component. It can close all connections, as the crash of a
 * process does, and reopen at the same address.
 */
final class HttpListener {
  private static final int MAX_BODY_BYTES = 1 << 17;

  private final ServerBootstrap bootstrap;
  private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listener;
  private InetSocketAddress address;

  HttpListener(EventLoopGroup group, Supplier<ChannelHandler> handler) {
    this.bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    openChannels.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            handler.get());
                  }
                });
  }

  /** Binds to a free port and blocks until bound; must not be called on the event loop. */
  void listen() throws InterruptedException {
    listener =
        bootstrap.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    address = (InetSocketAddress) listener.localAddress();
  }

  InetSocketAddress address() {
    return address;
  }

  /** Closes all connections and refuses new ones. */
  void close() {
    listener.close();
    openChannels.close();
  }

  /** Binds to the same address again. */
  void reopen() {
    bootstrap
        .bind(address)
        .addListener(
            bound -> {
              if (bound.isSuccess()) {
                listener = ((ChannelFuture) bound).channel();
              }
            });
  }
}
