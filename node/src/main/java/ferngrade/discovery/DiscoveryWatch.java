package ferngrade.discovery;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.ParseException;
import ferngrade.config.EndpointListParser;
import ferngrade.config.EndpointListParser.MemberList;
import ferngrade.discovery.JsonObjectFramer.CompleteObject;
import ferngrade.discovery.JsonObjectFramer.Event;
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
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;

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

  /**
   * How long the first call may go unanswered; each that did in a row adds as much, up to the
   * mode's limit.
   */
  private static final double FIRST_PATIENCE = 1000;

  /**
   * An agent that can be reached answers well within this; one that is silent for longer is cut off
   * from its source, and a process that has just started serves by the list of an earlier one until
   * it is back.
   */
  private static final double AT_ONCE = 300;

  private static final double RETRY_FIRST = 100;
  private static final int CONNECT_TIMEOUT = 1000;

  /**
   * How long a lack of this machine says nothing of discovery, ms; each {@link Dialer#BACKOFF}
   * another try is made meanwhile. Only then does the list count as one that cannot be had.
   */
  private static final double LOCAL_PATIENCE = 2500;

  /**
   * The longest list, in bytes. An indented entry has about 250, and some hundred more where ids
   * are long: this holds 3,200 entries of 1,300 bytes, and is still a fraction of the heap of a
   * small node.
   */
  private static final int MAX_LIST_BYTES = 4 << 20;

  /** How the address answers, which says how often to call and how long to wait. */
  public enum Mode {
    /**
     * An agent on the node's own machine, which answers at once: a watch that does not begin to is
     * dead. Asking it costs nothing, and what it gets when discovery is back counts as told in that
     * moment. A pause near the 250 ms of the drain rule would send jobs to workers that drain.
     */
    PUSHED(100, FIRST_PATIENCE),
    /**
     * One service for all nodes, which works through calls in turn; each has its price, and counts
     * once it is answered. A call that is given up starts again at the end of the queue, so the
     * next one waits longer. What is told counts 6 s after discovery could be reached: a call of 3
     * s that was made just before, its pause, a dial that hangs and another pause are 5 s.
     */
    ASKED(500, 3000);

    private final double maxBackoff;
    private final double maxPatience;

    /** The longest pause between calls, and the longest wait for the beginning of an answer, ms. */
    Mode(double maxBackoff, double maxPatience) {
      this.maxBackoff = maxBackoff;
      this.maxPatience = maxPatience;
    }
  }

  private final InetSocketAddress discovery;
  private final EndpointListParser reader;
  private final RequestCoordinator node;
  private final Timers timers;
  private final RateLimitedLog log;
  private final Mode mode;
  private final Runnable whenListed;
  private final Dialer dialer;

  /** The connection whose word counts, null while there is none. */
  private Channel channel;

  private JsonObjectFramer framer;
  private long revision;
  private boolean listed;

  /** Ask for the whole list: an answer from the last version on was older than that. */
  private boolean anew;

  private boolean stopped;
  private double retry = RETRY_FIRST;
  private double patience = FIRST_PATIENCE;
  private Timers.Timer silence;

  /**
   * A watch of an address that answers by {@code mode}, which calls {@code whenListed} once it has
   * told a whole list for the first time.
   */
  public DiscoveryWatch(
      EventLoopGroup group,
      InetSocketAddress discovery,
      EndpointListParser reader,
      RequestCoordinator node,
      Timers timers,
      RateLimitedLog log,
      Mode mode,
      Runnable whenListed,
      ChannelProvider channels) {
    this.mode = mode;
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
                channel.pipeline().addLast(new HttpClientCodec(), new AnswerHandler());
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
    framer = new JsonObjectFramer(MAX_LIST_BYTES);
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
    listen(patience, this::unanswered);
    timers.after(AT_ONCE, this::notAtOnce);
    opened.writeAndFlush(request);
  }

  private void listen(double span, Runnable whenSilent) {
    if (silence != null) {
      silence.cancel();
    }
    silence = timers.after(span, () -> silent(whenSilent));
  }

  /** The time is over; what has come since the last read, in a loop that was held up, counts. */
  private void silent(Runnable whenSilent) {
    Timers.Timer expired = silence;
    readPending();
    if (channel != null && silence == expired) {
      whenSilent.run();
    }
  }

  private void unanswered() {
    patience = Math.min(mode.maxPatience, patience + FIRST_PATIENCE);
    giveUp();
  }

  private void notAtOnce() {
    if (!stopped) {
      node.discoverySilent();
    }
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
    retry = Math.min(mode.maxBackoff, 2 * retry);
  }

  private void body(ByteBuf bytes) {
    try {
      Event event = framer.next(bytes);
      while (event != null) {
        heard(event);
        // What comes behind the one that ended the watch counts no more.
        event = channel != null && channel.isOpen() ? framer.next(bytes) : null;
      }
    } catch (ParseException | IllegalArgumentException malformed) {
      // Whatever it was to say is asked for again.
      log.line("list", "discovery sent what is no list: " + malformed.getMessage());
      giveUp();
    }
  }

  private void heard(Event event) {
    retry = RETRY_FIRST;
    patience = FIRST_PATIENCE;
    if (event instanceof CompleteObject object) {
      told(reader.read(Json.parse(object.json())));
    } else {
      node.listUnchanged();
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

  /** Takes the answer as it comes. */
  private final class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (ctx.channel() != channel || !channel.isOpen()) {
        return;
      }
      if (message instanceof HttpResponse response && response.status().code() != 200) {
        giveUp();
        return;
      }
      listen(SILENCE, DiscoveryWatch.this::giveUp);
      if (message instanceof HttpContent content) {
        body(content.content());
      }
      if (message instanceof LastHttpContent) {
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.line("list", "discovery's answer cannot be read: " + cause.getMessage());
      ctx.close();
    }
  }
}
