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
 * An HTTP client on one event loop with keep-alive connections. A connection carries one request at
 * a time; a new one is opened if none is idle.
 */
final class HttpPool {
  private static final int MAX_BODY_BYTES = 1 << 17;

  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, Deque<Channel>> idleByAddress = new HashMap<>();

  /**
   * Receives the outcome of a request. Exactly one of the methods is called, once, unless the
   * request is given up; then none is called.
   */
  interface Listener {
    void responseReceived(FullHttpResponse response);

    /** Called if the connection could not be opened: the request was not sent. */
    void connectFailed();

    /** Called if the connection was closed before the response was complete. */
    void connectionClosed();
  }

  /** A request in flight. */
  interface PendingRequest {
    /** Closes the connection of the request; its listener is not called any more. */
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
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            new Handler());
                  }
                });
  }

  /**
   * Sends a request. If a reused connection is closed before a response arrives, the request is
   * created again and sent on a new connection.
   */
  PendingRequest send(InetSocketAddress to, Supplier<FullHttpRequest> request, Listener listener) {
    Exchange exchange = new Exchange(to, request, listener);
    Deque<Channel> idleChannels = idleByAddress.getOrDefault(to, new ArrayDeque<>());
    Channel channel = idleChannels.pollLast();
    while (channel != null && !channel.isActive()) {
      channel = idleChannels.pollLast();
    }
    if (channel != null) {
      exchange.reused = true;
      exchange.begin(channel);
    } else {
      exchange.connect();
    }
    return exchange;
  }

  private final class Exchange implements PendingRequest {
    private final InetSocketAddress to;
    private final Supplier<FullHttpRequest> request;
    private final Listener listener;
    private Channel channel;
    private boolean reused;
    private boolean ended;

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
                if (ended) {
                  connected.channel().close();
                } else if (connected.isSuccess()) {
                  begin(connected.channel());
                } else {
                  ended = true;
                  listener.connectFailed();
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
      boolean first = !ended;
      ended = true;
      if (HttpUtil.isKeepAlive(response)) {
        used.pipeline().get(Handler.class).current = null;
        idleByAddress.computeIfAbsent(to, key -> new ArrayDeque<>()).addLast(used);
      } else {
        used.close();
      }
      if (first) {
        listener.responseReceived(response);
      }
    }

    void closed() {
      if (ended) {
        return;
      }
      if (reused) {
        // The server closed the idle connection before it read the request. The request is sent
        // again on a new connection.
        reused = false;
        connect();
        return;
      }
      ended = true;
      listener.connectionClosed();
    }

    @Override
    public void giveUp() {
      if (!ended) {
        ended = true;
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
