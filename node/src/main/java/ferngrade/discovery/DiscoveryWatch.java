package ferngrade.discovery;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.ParseException;
import ferngrade.config.EndpointListParser;
import ferngrade.config.EndpointListParser.MemberList;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.Dialer;
import ferngrade.transport.FaultOrigin;
import ferngrade.transport.PendingReads;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Watches the endpoint list at one address: one long response, an object for each change. A watch
 * that breaks, is silent or sends something unreadable is reopened from the last version seen;
 * until then the last list stays. Belongs to the event loop.
 *
 * <p>By the platform's rules what discovery has counts as received 6 s after discovery had it and
 * could be reached. Within that fit, in the worst order, a silence to be detected, a dial that
 * hangs and a response that does not begin, with the backoffs between: 2.5 + 0.1 + 1 + 0.2 + 1 +
 * 0.4 s where discovery is polled, less where it pushes.
 */
public final class DiscoveryWatch {
  /**
   * The longest silence on an open watch, ms. An empty line comes every 2 s; a missing one means
   * that the connection is dead. What discovery sends meanwhile counts as received a few seconds
   * later all the same: waiting longer would send jobs to draining workers.
   */
  private static final double SILENCE_TIMEOUT = 2500;

  /** The longest wait for the first byte of a watch, ms: the agent answers at once. */
  private static final double RESPONSE_TIMEOUT = 1000;

  /**
   * A connected agent answers well within this, ms; one that is silent for longer is cut off from
   * its source, and a process that has just started uses the list of an earlier one until it is
   * back.
   */
  private static final double PROMPT_RESPONSE = 300;

  private static final double MIN_BACKOFF = 100;

  /**
   * The longest backoff between attempts where lists are pushed, ms. The agent is on the node's own
   * machine: a request costs nothing, and what it gets when discovery is back counts as received in
   * that moment. A backoff near the 250 ms of the drain rule would send jobs to draining workers.
   */
  public static final double MAX_PUSH_BACKOFF = 100;

  /**
   * The longest backoff where discovery is polled, ms: each call has its price, and counts only
   * once it is answered.
   */
  public static final double MAX_POLL_BACKOFF = 500;

  /** How long a dial may take, ms. */
  private static final int CONNECT_TIMEOUT = 1000;

  /**
   * How long a dial that fails for a lack of this machine is retried, ms. Only then does the list
   * count as unavailable.
   */
  private static final double LOCAL_RETRY_TIMEOUT = 2500;

  /** The longest line, in bytes: a whole list of some thousand workers. */
  private static final int MAX_LINE_BYTES = 1 << 20;

  private final InetSocketAddress discovery;
  private final EndpointListParser reader;
  private final RequestCoordinator coordinator;
  private final Timers timers;
  private final RateLimitedLog log;
  private final double maxBackoff;
  private final Runnable whenListed;
  private final Dialer dialer;

  /** The connection that is read; null while there is none. */
  private Channel channel;

  private JsonObjectFramer lines;
  private long revision;
  private boolean listed;

  /** Request the complete list: a response from the last version on was older than that. */
  private boolean requestComplete;

  private boolean stopped;
  private double retry = MIN_BACKOFF;
  private Timers.Timer silence;

  /**
   * A watch with a backoff of {@code maxBackoff} ms at most, which runs {@code whenListed} once its
   * address has sent a complete list for the first time.
   */
  public DiscoveryWatch(
      EventLoopGroup group,
      InetSocketAddress discovery,
      EndpointListParser reader,
      RequestCoordinator coordinator,
      Timers timers,
      RateLimitedLog log,
      double maxBackoff,
      Runnable whenListed,
      ChannelProvider channels) {
    this.maxBackoff = maxBackoff;
    this.discovery = discovery;
    this.reader = reader;
    this.coordinator = coordinator;
    this.timers = timers;
    this.log = log;
    this.whenListed = whenListed;
    this.dialer =
        new Dialer(
            group,
            timers,
            channels,
            Purpose.DISCOVERY,
            CONNECT_TIMEOUT,
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpClientCodec(),
                        new BodyHandler(),
                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                        new LineHandler());
              }
            });
  }

  InetSocketAddress address() {
    return discovery;
  }

  boolean listed() {
    return listed;
  }

  /** Ends the watch for good: nothing that it still receives counts. */
  void stop() {
    stopped = true;
    disconnect();
  }

  /** Opens the watch; it keeps itself open from here on. */
  void start() {
    if (!stopped) {
      dialer.dial(discovery, LOCAL_RETRY_TIMEOUT, new WatchDial());
    }
  }

  /** Dials for the watch. */
  private final class WatchDial implements Dialer.Listener {
    @Override
    public boolean wanted() {
      return !stopped;
    }

    @Override
    public void connected(Channel opened) {
      if (stopped) {
        opened.close();
      } else {
        watch(opened);
      }
    }

    @Override
    public void failed(FaultOrigin origin, Throwable cause) {
      reconnect("cannot be reached: " + cause.getMessage());
    }
  }

  /** Reads at once what has been sent and the event loop has not read yet. */
  void readPending() {
    if (channel != null) {
      PendingReads.read((AbstractNioChannel) channel);
    }
  }

  private void watch(Channel opened) {
    channel = opened;
    lines = new JsonObjectFramer(MAX_LINE_BYTES);
    // Only a list from discovery has a version to continue from: the stored one may be of another
    // incarnation.
    boolean resume = listed && !requestComplete;
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            "/api/targets?watch=1" + (resume ? "&from=" + revision : ""));
    request
        .headers()
        .set(HttpHeaderNames.HOST, discovery.getHostString() + ":" + discovery.getPort());
    opened.closeFuture().addListener(ended -> ended());
    expectWithin(RESPONSE_TIMEOUT);
    timers.after(PROMPT_RESPONSE, coordinator::discoverySilent);
    opened.writeAndFlush(request);
  }

  private void expectWithin(double timeout) {
    if (silence != null) {
      silence.cancel();
    }
    silence = timers.after(timeout, this::disconnect);
  }

  /** Closes the present connection: nothing that was in transit over it counts any more. */
  private void disconnect() {
    if (channel != null) {
      channel.close();
    }
  }

  /** The one place where a connection ends, from whichever side. */
  private void ended() {
    channel = null;
    silence.cancel();
    reconnect("watch ended");
  }

  private void reconnect(String why) {
    if (stopped) {
      return;
    }
    log.line("discovery at " + discovery + ": " + why);
    coordinator.listFailed();
    timers.after(retry, this::start);
    retry = Math.min(maxBackoff, 2 * retry);
  }

  private void line(String line) {
    try {
      String object = lines.add(line);
      retry = MIN_BACKOFF;
      if (object != null) {
        received(reader.read(Json.parse(object)));
      } else if (line.isBlank()) {
        coordinator.listUnchanged();
      }
    } catch (ParseException | IllegalArgumentException malformed) {
      // Its content is requested again.
      log.line("list", "discovery sent an unreadable endpoint list: " + malformed.getMessage());
      disconnect();
    }
  }

  private void received(MemberList list) {
    list.faults()
        .forEach(
            fault -> log.line("list entry", "discovery listed an unusable endpoint: " + fault));
    if (listed && !requestComplete && list.revision() < revision) {
      // A replica that lags, or a source that restarted: the complete list, requested without a
      // version, decides.
      requestComplete = true;
      log.line("list", "discovery sent version " + list.revision() + " after " + revision);
      disconnect();
      return;
    }
    requestComplete &= !list.complete();
    revision = list.revision();
    if (!listed && list.complete()) {
      listed = true;
      whenListed.run();
    }
    coordinator.members(
        list.complete() ? EndpointListUpdate.WHOLE : EndpointListUpdate.CHANGES, list.members());
  }

  /** Passes the response's body on as it arrives. */
  private final class BodyHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (ctx.channel() != channel || !channel.isOpen()) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof HttpResponse response && response.status().code() != 200) {
        ReferenceCountUtil.release(message);
        disconnect();
        return;
      }
      expectWithin(SILENCE_TIMEOUT);
      if (message instanceof HttpContent content) {
        ctx.fireChannelRead(content.content());
        if (content instanceof LastHttpContent) {
          ctx.close();
        }
      } else {
        ReferenceCountUtil.release(message);
      }
    }
  }

  /** Handles the lines of the body. */
  private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
      if (ctx.channel() == channel && channel.isOpen()) {
        line(line.toString(StandardCharsets.UTF_8));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.line("list", "discovery's response cannot be read: " + cause.getMessage());
      ctx.close();
    }
  }
}
