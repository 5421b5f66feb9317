package ferngrade.http;

import ferngrade.node.RateLimitedLog;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.Dialer;
import ferngrade.transport.FaultOrigin;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;

/**
 * The other process of this node while an upgrade runs both on one clients' socket. Workers'
 * callbacks come to that socket, so either process may get one for a job of the other; it is then
 * relayed to the other process at its operators' address. Each knows the other: the later one reads
 * the earlier one's address from the shared folder and announces its own to it.
 */
public final class UpgradePeer {
  /** How long a relay may take, ms: the worker waits for its response meanwhile. */
  private static final double RELAY_TIMEOUT = 500;

  /** How long an announcement may take, with its retries, ms. */
  private static final double ANNOUNCE_TIMEOUT = 5000;

  private static final int CONNECT_TIMEOUT = 500;

  /** The status if the other process did not answer. */
  private static final int NO_ANSWER = -1;

  private final EventLoopGroup group;
  private final Timers timers;
  private final RateLimitedLog log;
  private final ChannelProvider channels;
  private InetSocketAddress address;

  public UpgradePeer(
      EventLoopGroup group,
      Timers timers,
      RateLimitedLog log,
      InetSocketAddress address,
      ChannelProvider channels) {
    this.channels = channels;
    this.group = group;
    this.timers = timers;
    this.log = log;
    this.address = address;
  }

  /** The other process's operators' address, or null where none is known. */
  InetSocketAddress address() {
    return address;
  }

  /** The other process takes calls at this address. */
  public void at(InetSocketAddress other) {
    if (!other.equals(address)) {
      log.line("another process of this node is at " + other);
    }
    address = other;
  }

  /** Announces to the other process where this one takes calls. */
  public void announce(InetSocketAddress own) {
    if (address != null) {
      call("/-/sibling", own.getHostString() + ":" + own.getPort(), ANNOUNCE_TIMEOUT, status -> {});
    }
  }

  /** Relays a callback; {@code status} gets the other's status code, or -1 if there was none. */
  void relay(String callback, IntConsumer status) {
    if (address == null) {
      status.accept(NO_ANSWER);
      return;
    }
    call("/-/news", callback, RELAY_TIMEOUT, status);
  }

  private void call(String path, String body, double timeout, IntConsumer status) {
    Relay relay = new Relay(path, body, status);
    timers.after(timeout, () -> relay.end(NO_ANSWER));
    Dialer dialer =
        new Dialer(
            group,
            timers,
            channels,
            Purpose.HANDOVER,
            CONNECT_TIMEOUT,
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(),
                        new HttpObjectAggregator(Admin.MAX_CALL_BYTES),
                        relay);
              }
            });
    dialer.dial(address, timeout, relay);
  }

  /**
   * One call to the other process; {@code status} gets its answer, or the lack of one, once. Each
   * try of its dial has a channel of its own, hence sharable; at most one of them comes up.
   */
  @ChannelHandler.Sharable
  private static final class Relay extends SimpleChannelInboundHandler<FullHttpResponse>
      implements Dialer.Listener {
    private final String path;
    private final String body;
    private final IntConsumer status;
    private Channel channel;
    private boolean ended;

    Relay(String path, String body, IntConsumer status) {
      this.path = path;
      this.body = body;
      this.status = status;
    }

    @Override
    public boolean wanted() {
      return !ended;
    }

    @Override
    public void connected(Channel opened) {
      if (ended) {
        opened.close();
        return;
      }
      channel = opened;
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.POST,
              path,
              Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
      HttpUtil.setContentLength(request, request.content().readableBytes());
      request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      opened.writeAndFlush(request);
    }

    @Override
    public void failed(FaultOrigin origin, Throwable cause) {
      end(NO_ANSWER);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      end(answer.status().code());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end(NO_ANSWER);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(NO_ANSWER);
    }

    private void end(int answer) {
      if (!ended) {
        ended = true;
        if (channel != null) {
          channel.close();
        }
        status.accept(answer);
      }
    }
  }
}
