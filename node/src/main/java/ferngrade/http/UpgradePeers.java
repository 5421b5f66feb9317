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
import io.netty.channel.ConnectTimeoutException;
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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * The other processes of this node while an upgrade runs several on one clients' socket. Workers'
 * callbacks come to that socket, so any process may get one for a job of another; it is then
 * relayed to the others at their operators' addresses. They are known from the {@link
 * ferngrade.node.SharedLog}; with a process of an earlier release, which does not write there, the
 * two exchange their addresses by a file and an announcement. Belongs to the event loop.
 */
public final class UpgradePeers {
  /** How long a relay may take, ms: the worker waits for its response meanwhile. */
  private static final double RELAY_TIMEOUT = 500;

  /** How long an announcement may take, with its retries, ms. */
  private static final double ANNOUNCE_TIMEOUT = 5000;

  private static final int CONNECT_TIMEOUT = 500;

  /** The newest processes to keep: the earlier ones have ended long ago. */
  static final int MAX_PEERS = 8;

  /** The status if the other process did not answer. */
  private static final int NO_ANSWER = -1;

  private static final int TAKEN_STATUS = HttpResponseStatus.NO_CONTENT.code();
  private static final int UNKNOWN_STATUS = HttpResponseStatus.NOT_FOUND.code();

  private final EventLoopGroup group;
  private final Timers timers;
  private final RateLimitedLog log;
  private final ChannelProvider channels;
  private final Set<InetSocketAddress> addresses = new LinkedHashSet<>();
  private final Map<RelayOutcome, Long> relayed = new EnumMap<>(RelayOutcome.class);
  private InetSocketAddress own;

  /** What became of a callback that was relayed to the other processes. */
  public enum RelayOutcome {
    /** One of them has or had the job. */
    TAKEN,
    /** All have answered that they never had it. */
    UNKNOWN,
    /** No other process is known, or one did not answer. */
    UNANSWERED
  }

  public UpgradePeers(
      EventLoopGroup group, Timers timers, RateLimitedLog log, ChannelProvider channels) {
    this.channels = channels;
    this.group = group;
    this.timers = timers;
    this.log = log;
  }

  /** This process takes calls at this address; another that had it before has ended. */
  public void own(InetSocketAddress address) {
    own = address;
    addresses.remove(address);
  }

  /** Another process takes calls at this address. */
  public void at(InetSocketAddress other) {
    if (other.equals(own) || !addresses.add(other)) {
      return;
    }
    log.line("another process of this node is at " + other);
    if (addresses.size() > MAX_PEERS) {
      addresses.remove(addresses.iterator().next());
    }
  }

  /** Announces to the others where this process takes calls. */
  public void announce() {
    String text = own.getHostString() + ":" + own.getPort();
    callAll("/-/sibling", text, ANNOUNCE_TIMEOUT, status -> {});
  }

  /** Sends the others a record at once, beside the log; nothing depends on its arrival. */
  public void push(String record) {
    callAll("/-/state", record, ANNOUNCE_TIMEOUT, status -> {});
  }

  /** Relays a callback; {@code outcome} runs once. */
  void relay(String callback, Consumer<RelayOutcome> outcome) {
    RelayRound round = new RelayRound(addresses.size(), outcome);
    callAll("/-/news", callback, RELAY_TIMEOUT, round::answered);
  }

  /** How many callbacks were relayed, by their outcome; one without an entry has not occurred. */
  public Map<RelayOutcome, Long> relayed() {
    return Map.copyOf(relayed);
  }

  /** The answers of all processes to one callback. */
  private final class RelayRound {
    private final Consumer<RelayOutcome> outcome;
    private int awaited;
    private boolean unanswered;
    private boolean ended;

    RelayRound(int awaited, Consumer<RelayOutcome> outcome) {
      this.awaited = awaited;
      this.outcome = outcome;
      if (awaited == 0) {
        end(RelayOutcome.UNANSWERED);
      }
    }

    void answered(int status) {
      awaited--;
      unanswered |= status != TAKEN_STATUS && status != UNKNOWN_STATUS;
      if (status == TAKEN_STATUS) {
        end(RelayOutcome.TAKEN);
      } else if (awaited == 0) {
        end(unanswered ? RelayOutcome.UNANSWERED : RelayOutcome.UNKNOWN);
      }
    }

    private void end(RelayOutcome result) {
      if (!ended) {
        ended = true;
        relayed.merge(result, 1L, Long::sum);
        outcome.accept(result);
      }
    }
  }

  private void callAll(String path, String body, double timeout, IntConsumer status) {
    List.copyOf(addresses).forEach(each -> call(each, path, body, timeout, status));
  }

  private void call(
      InetSocketAddress address, String path, String body, double timeout, IntConsumer status) {
    Call call = new Call(address, path, body, status);
    timers.after(timeout, () -> call.end(NO_ANSWER));
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
                        call);
              }
            });
    dialer.dial(address, timeout, call);
  }

  /** Nobody listens there any more: that process has ended. */
  private void forget(InetSocketAddress address) {
    if (addresses.remove(address)) {
      log.line("the process of this node at " + address + " has ended");
    }
  }

  /**
   * One call to another process; {@code status} gets its answer, or the lack of one, once. Each try
   * of its dial has a channel of its own, hence sharable; at most one of them comes up.
   */
  @ChannelHandler.Sharable
  private final class Call extends SimpleChannelInboundHandler<FullHttpResponse>
      implements Dialer.Listener {
    private final InetSocketAddress address;
    private final String path;
    private final String body;
    private final IntConsumer status;
    private Channel channel;
    private boolean ended;

    Call(InetSocketAddress address, String path, String body, IntConsumer status) {
      this.address = address;
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
      if (origin != FaultOrigin.LOCAL && !(cause instanceof ConnectTimeoutException)) {
        forget(address);
      }
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
