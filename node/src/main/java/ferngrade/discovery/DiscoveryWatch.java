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
 * Watches the worker list at one address: one long answer, an object for each change. A watch that
 * breaks, falls silent or tells what cannot be read is opened anew from the last version seen;
 * until then the last list stays.
 *
 * <p>What discovery has counts as told 6 s after it had it and could be reached. Within that fit,
 * in the worst order, a silence to be noticed, a dial that hangs and an answer that does not begin,
 * with the pauses between: 2.5 + 0.1 + 1 + 0.2 + 1 + 0.4 s where discovery is asked, less where it
 * pushes.
 */
public final class DiscoveryWatch {
  /**
   * An empty line comes every 2 s; a missing one means that the connection is dead. What discovery
   * had to tell meanwhile counts as told a few seconds later all the same: waiting for more would
   * send jobs to workers that drain.
   */
  private static final double SILENCE = 2500;

  /** The agent answers at once; a watch that does not begin to is dead too. */
  private static final double FIRST_SILENCE = 1000;

  /**
   * An agent that can be reached answers well within this; one that is silent for longer is cut off
   * from its source, and a process that has just started serves by the list of an earlier one until
   * it is back.
   */
  private static final double AT_ONCE = 300;

  private static final double RETRY_FIRST = 100;

  /**
   * The longest pause between tries, ms. The agent is on the node's own machine: asking it costs
   * nothing, and what it gets when discovery is back counts as told in that moment. A pause near
   * the 250 ms of the drain rule would send jobs to workers that drain. Where discovery is asked,
   * each call has its price, and counts once it is answered.
   */
  public static final double PUSHED_MOST = 100;

  public static final double ASKED_MOST = 500;
  private static final int CONNECT_TIMEOUT = 1000;

  /**
   * How long a lack of this machine says nothing of discovery, ms; each {@link Dialer#BACKOFF}
   * another try is made meanwhile. Only then does the list count as one that cannot be had.
   */
  private static final double LOCAL_PATIENCE = 2500;

  /** The longest line, in bytes: a whole list of some thousand workers. */
  private static final int LONGEST_LINE = 1 << 20;

  private final InetSocketAddress discovery;
  private final EndpointListParser reader;
  private final RequestCoordinator node;
  private final Timers timers;
  private final RateLimitedLog log;
  private final double retryMost;
  private final Runnable whenListed;
  private final Dialer dialer;

  /** The connection whose word counts, null while there is none. */
  private Channel channel;

  private JsonObjectFramer lines;
  private long revision;
  private boolean listed;

  /** Ask for the whole list: an answer from the last version on was older than that. */
  private boolean anew;

  private boolean stopped;
  private double retry = RETRY_FIRST;
  private Timers.Timer silence;

  /**
   * A watch that pauses for {@code retryMost} ms at most between tries, and calls {@code
   * whenListed} once its address has told a whole list for the first time.
   */
  public DiscoveryWatch(
      EventLoopGroup group,
      InetSocketAddress discovery,
      EndpointListParser reader,
      RequestCoordinator node,
      Timers timers,
      RateLimitedLog log,
      double retryMost,
      Runnable whenListed,
      ChannelProvider channels) {
    this.retryMost = retryMost;
    this.discovery = discovery;
    this.reader = reader;
    this.node = node;
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
                        new LineBasedFrameDecoder(LONGEST_LINE),
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

  /** Ends the watch for good: nothing that it still hears counts. */
  void stop() {
    stopped = true;
    giveUp();
  }

  /** Opens the watch; it keeps itself open from here on. */
  void start() {
    if (!stopped) {
      dialer.dial(discovery, LOCAL_PATIENCE, new WatchDial());
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
      again("cannot be reached: " + cause.getMessage());
    }
  }

  /** Reads at once what has been told and the event loop has not come to read. */
  void readPending() {
    if (channel != null) {
      PendingReads.read((AbstractNioChannel) channel);
    }
  }

  private void watch(Channel opened) {
    channel = opened;
    lines = new JsonObjectFramer(LONGEST_LINE);
    // Only a list from discovery has a version to go on from: the stored one may be of another
    // life.
    boolean on = listed && !anew;
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            "/api/targets?watch=1" + (on ? "&from=" + revision : ""));
    request
        .headers()
        .set(HttpHeaderNames.HOST, discovery.getHostString() + ":" + discovery.getPort());
    opened.closeFuture().addListener(ended -> ended());
    listen(FIRST_SILENCE);
    timers.after(AT_ONCE, node::sourceSilent);
    opened.writeAndFlush(request);
  }

  private void listen(double patience) {
    if (silence != null) {
      silence.cancel();
    }
    silence = timers.after(patience, this::giveUp);
  }

  /** Ends the present connection: nothing that was on its way over it counts any more. */
  private void giveUp() {
    if (channel != null) {
      channel.close();
    }
  }

  /** The one place where a watch ends, from whichever side. */
  private void ended() {
    channel = null;
    silence.cancel();
    again("watch ended");
  }

  private void again(String why) {
    if (stopped) {
      return;
    }
    log.line("discovery at " + discovery + ": " + why);
    node.listFailed();
    timers.after(retry, this::start);
    retry = Math.min(retryMost, 2 * retry);
  }

  private void line(String line) {
    try {
      String object = lines.add(line);
      retry = RETRY_FIRST;
      if (object != null) {
        told(reader.read(Json.parse(object)));
      } else if (line.isBlank()) {
        node.listUnchanged();
      }
    } catch (ParseException | IllegalArgumentException malformed) {
      // Whatever it was to say is asked for again.
      log.line("list", "discovery sent what is no list: " + malformed.getMessage());
      giveUp();
    }
  }

  private void told(MemberList list) {
    list.faults()
        .forEach(fault -> log.line("list entry", "discovery listed what cannot be used: " + fault));
    if (listed && !anew && list.revision() < revision) {
      // A copy that lags, or a source that began anew: the whole list, asked for without a version,
      // tells.
      anew = true;
      log.line("list", "discovery told version " + list.revision() + " after " + revision);
      giveUp();
      return;
    }
    anew &= !list.complete();
    revision = list.revision();
    if (!listed && list.complete()) {
      listed = true;
      whenListed.run();
    }
    node.members(
        list.complete() ? EndpointListUpdate.WHOLE : EndpointListUpdate.CHANGES, list.members());
  }

  /** Passes the answer's body on as it comes. */
  private final class BodyHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (ctx.channel() != channel || !channel.isOpen()) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof HttpResponse response && response.status().code() != 200) {
        ReferenceCountUtil.release(message);
        giveUp();
        return;
      }
      listen(SILENCE);
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

  /** Takes the lines. */
  private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
      if (ctx.channel() == channel && channel.isOpen()) {
        line(line.toString(StandardCharsets.UTF_8));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.line("list", "discovery's answer cannot be read: " + cause.getMessage());
      ctx.close();
    }
  }
}
