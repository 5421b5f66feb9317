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
 * A stand-in's listener: it can close as a process that dies does, and come back at the same
 * address.
 */
final class HttpListener {
  private static final int MOST_BODY = 1 << 17;

  private final ServerBootstrap bootstrap;
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
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
                    open.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MOST_BODY),
                            handler.get());
                  }
                });
  }

  /** Listens at a free port; called off the loop. */
  void listen() throws InterruptedException {
    listener =
        bootstrap.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    address = (InetSocketAddress) listener.localAddress();
  }

  InetSocketAddress address() {
    return address;
  }

  /** Ends all connections and refuses new ones. */
  void close() {
    listener.close();
    open.close();
  }

  /** Listens at its address again. */
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
