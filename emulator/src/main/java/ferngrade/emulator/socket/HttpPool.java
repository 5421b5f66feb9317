package ferngrade.emulator.socket;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * HTTP requests from one loop: connections are kept, carry one request at a time, and more are
 * opened as needed.
 */
final class HttpPool {
  private static final int MOST_BODY = 1 << 17;

  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

  /**
   * Hears how a request ended; exactly one of the methods is called, once, unless it was given up.
   */
  interface Listener {
    void answered(FullHttpResponse response);

    /** No connection could be made: the request was not sent. */
    void unreached();

    /** The connection ended without a whole answer. */
    void broken();
  }

  /** A request on its way. */
  interface Sent {
    /** Closes the connection that it uses; its listener hears no more. */
    void giveUp();
  }

  HttpPool(EventLoopGroup group) {
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(MOST_BODY),
                            new Handler());
                  }
                });
  }

  /**
   * Sends a request, which is made anew if a kept connection was closed before anything came back.
   */
  Sent send(InetSocketAddress to, Supplier<FullHttpRequest> request, Listener listener) {
    Exchange exchange = new Exchange(to, request, listener);
    Deque<Channel> kept = idle.getOrDefault(to, new ArrayDeque<>());
    Channel channel = kept.pollLast();
    while (channel != null && !channel.isActive()) {
      channel = kept.pollLast();
    }
    if (channel != null) {
      exchange.reused = true;
      exchange.begin(channel);
    } else {
      exchange.connect();
    }
    return exchange;
  }

  private final class Exchange implements Sent {
    private final InetSocketAddress to;
    private final Supplier<FullHttpRequest> request;
    private final Listener listener;
    private Channel channel;
    private boolean reused;
    private boolean over;

    Exchange(InetSocketAddress to, Supplier<FullHttpRequest> request, Listener listener) {
      this.to = to;
      this.request = request;
      this.listener = listener;
    }

    void connect() {
      bootstrap
          .connect(to)
          .addListener(
              (ChannelFuture connected) -> {
                if (over) {
                  connected.channel().close();
                } else if (connected.isSuccess()) {
                  begin(connected.channel());
                } else {
                  over = true;
                  listener.unreached();
                }
              });
    }

    void begin(Channel on) {
      channel = on;
      on.pipeline().get(Handler.class).current = this;
      on.writeAndFlush(request.get());
    }

    void answered(FullHttpResponse response) {
      Channel used = channel;
      boolean first = !over;
      over = true;
      if (HttpUtil.isKeepAlive(response)) {
        used.pipeline().get(Handler.class).current = null;
        idle.computeIfAbsent(to, key -> new ArrayDeque<>()).addLast(used);
      } else {
        used.close();
      }
      if (first) {
        listener.answered(response);
      }
    }

    void closed() {
      if (over) {
        return;
      }
      if (reused) {
        // The close has crossed a request that the other side has not read: once more on a new
        // connection.
        reused = false;
        connect();
        return;
      }
      over = true;
      listener.broken();
    }

    @Override
    public void giveUp() {
      if (!over) {
        over = true;
        if (channel != null) {
          channel.close();
        }
      }
    }
  }

  private static final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Exchange current;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      if (current == null) {
        ctx.close();
      } else {
        current.answered(response);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (current != null) {
        current.closed();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
