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
 * Watches the worker list at one address: a single streaming HTTP response that carries one JSON
 * object per change. A watch whose connection fails, times out or carries invalid data is reopened
 * from the last revision received; the last list stays in use until then. All methods run on the
 * event loop.
 *
 * <p>A change must be in effect 6 s after discovery has it and is reachable. In the worst case that
 * time has to cover a keep-alive timeout, a hanging connect and a missing response, with the
 * backoff after each of them: 2.5 + 0.1 + 1 + 0.2 + 1 + 0.4 s in mode {@link Mode#ASKED}, less in
 * mode {@link Mode#PUSHED}.
 */
public final class DiscoveryWatch {
  /**
   * The longest time without data on an open watch, ms. Discovery sends an empty line every 2 s, so
   * one missing line means that the connection is dead. A change that discovery makes in that time
   * counts as delivered after a few seconds, even on a dead connection, so with a longer timeout
   * the node would send jobs to draining workers.
   */
  private static final double KEEP_ALIVE_TIMEOUT_MILLIS = 2500;

  /**
   * The response timeout of the first request, ms. Each consecutive request without a response adds
   * the same amount, up to the mode's maximum.
   */
  private static final double INITIAL_RESPONSE_TIMEOUT_MILLIS = 1000;

  /**
   * The response time after which discovery counts as unreachable, ms. An agent with a connection
   * to its source responds well within this time. After it, a process that has just started uses
   * the list stored by an earlier process until discovery responds.
   */
  private static final double PROMPT_RESPONSE_MILLIS = 300;

  private static final double INITIAL_BACKOFF_MILLIS = 100;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  /**
   * The time for which connects that fail for lack of local resources are retried, ms, once every
   * {@link Dialer#BACKOFF_MILLIS}. Such a failure is no sign that discovery is unreachable, so the
   * list counts as unavailable only after this time.
   */
  private static final double LOCAL_FAILURE_RETRY_MILLIS = 2500;

  /**
   * The maximum size of one list, in bytes. An indented entry has about 250 bytes, a few hundred
   * more if ids are long. The limit admits 3,200 entries of 1,300 bytes and is a fraction of the
   * heap of a small node.
   */
  private static final int MAX_LIST_BYTES = 4 << 20;

  /** How discovery serves requests, which determines the backoff and the response timeout. */
  public enum Mode {
    /**
     * An agent on the node's own machine. It responds immediately, so a watch without a response is
     * dead. Requests to the agent cost nothing. After an outage, an update counts as delivered as
     * soon as the agent has received it. With a backoff close to the 250 ms of the drain rule, the
     * node would send jobs to draining workers.
     */
    PUSHED(100, INITIAL_RESPONSE_TIMEOUT_MILLIS),
    /**
     * One service for all nodes, which processes requests from a queue. Each request has a cost,
     * and a list counts as delivered at the moment of the response. A request that replaces an
     * abandoned one starts at the end of the queue, so it gets a longer timeout. A change must be
     * in effect 6 s after discovery becomes reachable. The worst case takes 5 s: a request of 3 s
     * sent just before that moment, its backoff, a hanging connect and another backoff.
     */
    ASKED(500, 3000);

    private final double maxBackoff;
    private final double maxResponseTimeout;

    /** Sets the maximum backoff between requests and the maximum response timeout, both in ms. */
    Mode(double maxBackoff, double maxResponseTimeout) {
      this.maxBackoff = maxBackoff;
      this.maxResponseTimeout = maxResponseTimeout;
    }
  }

  private final InetSocketAddress discovery;
  private final EndpointListParser parser;
  private final RequestCoordinator coordinator;
  private final Timers timers;
  private final RateLimitedLog log;
  private final Mode mode;
  private final Runnable onFirstList;
  private final Dialer dialer;

  /** The open connection, null if there is none. Data of any other connection is ignored. */
  private Channel channel;

  private JsonObjectFramer framer;
  private long revision;
  private boolean wholeListReceived;

  /**
   * True if the next request must ask for the whole list, because discovery sent a revision older
   * than the last one.
   */
  private boolean wholeListNeeded;

  private boolean stopped;
  private double backoff = INITIAL_BACKOFF_MILLIS;
  private double responseTimeout = INITIAL_RESPONSE_TIMEOUT_MILLIS;
  private Timers.Timer inactivityTimer;

  /**
   * Creates a watch of {@code discovery}, which serves requests as {@code mode} describes. Runs
   * {@code onFirstList} once, when the first whole list arrives.
   */
  public DiscoveryWatch(
      EventLoopGroup group,
      InetSocketAddress discovery,
      EndpointListParser parser,
      RequestCoordinator coordinator,
      Timers timers,
      RateLimitedLog log,
      Mode mode,
      Runnable onFirstList,
      ChannelProvider channels) {
    this.mode = mode;
    this.discovery = discovery;
    this.parser = parser;
    this.coordinator = coordinator;
    this.timers = timers;
    this.log = log;
    this.onFirstList = onFirstList;
    this.dialer =
        new Dialer(
            group,
            timers,
            channels,
            Purpose.DISCOVERY,
            CONNECT_TIMEOUT_MILLIS,
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

  boolean wholeListReceived() {
    return wholeListReceived;
  }

  /** Ends the watch permanently; data that arrives afterwards is ignored. */
  void stop() {
    stopped = true;
    closeConnection();
  }

  /** Opens the watch, which reconnects automatically until it is stopped. */
  void start() {
    if (!stopped) {
      dialer.dial(discovery, LOCAL_FAILURE_RETRY_MILLIS, new DialListener());
    }
  }

  /** Starts the watch on the new connection, or schedules a retry. */
  private final class DialListener implements Dialer.Listener {
    @Override
    public boolean isStillNeeded() {
      return !stopped;
    }

    @Override
    public void connected(Channel opened) {
      if (stopped) {
        opened.close();
      } else {
        sendRequest(opened);
      }
    }

    @Override
    public void failed(FaultOrigin origin, Throwable cause) {
      scheduleRetry("cannot be reached: " + cause.getMessage());
    }
  }

  /** Reads data that has arrived on the socket and that the event loop has not read yet. */
  void readPending() {
    if (channel != null) {
      PendingReads.read((AbstractNioChannel) channel);
    }
  }

  private void sendRequest(Channel opened) {
    channel = opened;
    framer = new JsonObjectFramer(MAX_LIST_BYTES);
    // Only a list received from discovery has a revision to continue from: the revision of the
    // stored list may come from an earlier run of discovery.
    boolean incremental = wholeListReceived && !wholeListNeeded;
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            "/api/targets?watch=1" + (incremental ? "&from=" + revision : ""));
    request
        .headers()
        .set(HttpHeaderNames.HOST, discovery.getHostString() + ":" + discovery.getPort());
    opened.closeFuture().addListener(closed -> connectionClosed());
    restartTimer(responseTimeout, this::responseTimedOut);
    timers.after(PROMPT_RESPONSE_MILLIS, this::responseIsSlow);
    opened.writeAndFlush(request);
  }

  private void restartTimer(double timeoutMillis, Runnable onTimeout) {
    if (inactivityTimer != null) {
      inactivityTimer.cancel();
    }
    inactivityTimer = timers.after(timeoutMillis, () -> timerExpired(onTimeout));
  }

  /**
   * Handles an expired timer. If the event loop was blocked, data may have arrived that is not read
   * yet. Reading that data restarts the timer and prevents the timeout.
   */
  private void timerExpired(Runnable onTimeout) {
    Timers.Timer expired = inactivityTimer;
    readPending();
    if (channel != null && inactivityTimer == expired) {
      onTimeout.run();
    }
  }

  private void responseTimedOut() {
    responseTimeout =
        Math.min(mode.maxResponseTimeout, responseTimeout + INITIAL_RESPONSE_TIMEOUT_MILLIS);
    closeConnection();
  }

  private void responseIsSlow() {
    if (!stopped) {
      coordinator.discoveryUnresponsive();
    }
  }

  /** Closes the current connection; data still in flight on it is ignored. */
  private void closeConnection() {
    if (channel != null) {
      channel.close();
    }
  }

  /** Handles the end of the connection, whichever side has closed it. */
  private void connectionClosed() {
    channel = null;
    inactivityTimer.cancel();
    scheduleRetry("watch ended");
  }

  private void scheduleRetry(String reason) {
    if (stopped) {
      return;
    }
    log.line("discovery at " + discovery + ": " + reason);
    coordinator.endpointWatchFailed();
    timers.after(backoff, this::start);
    backoff = Math.min(mode.maxBackoff, 2 * backoff);
  }

  private void readBody(ByteBuf bytes) {
    try {
      Event event = framer.next(bytes);
      while (event != null) {
        handleEvent(event);
        // An event that closes the connection invalidates the rest of the data.
        event = channel != null && channel.isOpen() ? framer.next(bytes) : null;
      }
    } catch (ParseException | IllegalArgumentException malformed) {
      // The next request asks for the lost update again.
      log.line("list", "discovery sent an invalid list: " + malformed.getMessage());
      closeConnection();
    }
  }

  private void handleEvent(Event event) {
    backoff = INITIAL_BACKOFF_MILLIS;
    responseTimeout = INITIAL_RESPONSE_TIMEOUT_MILLIS;
    if (event instanceof CompleteObject object) {
      applyList(parser.read(Json.parse(object.json())));
    } else {
      coordinator.endpointsConfirmed();
    }
  }

  private void applyList(MemberList list) {
    list.faults()
        .forEach(fault -> log.line("list entry", "discovery listed an unusable worker: " + fault));
    if (wholeListReceived && !wholeListNeeded && list.revision() < revision) {
      // Either a replica lags or discovery has restarted its numbering. The whole list, requested
      // without a revision, shows which of the two is the case.
      wholeListNeeded = true;
      log.line("list", "discovery sent revision " + list.revision() + " after " + revision);
      closeConnection();
      return;
    }
    wholeListNeeded &= !list.complete();
    revision = list.revision();
    if (!wholeListReceived && list.complete()) {
      wholeListReceived = true;
      onFirstList.run();
    }
    coordinator.updateEndpoints(
        list.complete() ? EndpointListUpdate.WHOLE : EndpointListUpdate.CHANGES, list.members());
  }

  /** Processes the response as it arrives. */
  private final class AnswerHandler extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (ctx.channel() != channel || !channel.isOpen()) {
        return;
      }
      if (message instanceof HttpResponse response && response.status().code() != 200) {
        closeConnection();
        return;
      }
      restartTimer(KEEP_ALIVE_TIMEOUT_MILLIS, DiscoveryWatch.this::closeConnection);
      if (message instanceof HttpContent content) {
        readBody(content.content());
      }
      if (message instanceof LastHttpContent) {
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.line("list", "response of discovery cannot be read: " + cause.getMessage());
      ctx.close();
    }
  }
}
