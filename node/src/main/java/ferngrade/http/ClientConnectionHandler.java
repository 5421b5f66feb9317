package ferngrade.http;

import ferngrade.dispatch.Job;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.ResponseHandler;
import ferngrade.transport.PendingReads;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One connection to the front: a client's, or a worker's with call-backs. One request at a time. An
 * error ends the connection: whoever sent what cannot be used would else send it again at once, for
 * as long as it likes. It ends behind the answers to all requests that have been read whole by
 * then, as a request that was read is owed one.
 */
final class ClientConnectionHandler extends ChannelInboundHandlerAdapter {
  /**
   * Bytes read of a connection that is to end anyway, while it has a request in work, before the
   * rest is left to its sender. Till then all is read: a client that closes is heard of by reading
   * only.
   */
  private static final int MAX_READ_WHILE_CLOSING = 256 << 10;

  private final HttpFrontend front;
  private final RequestCoordinator node;
  private final RequestReader reader;
  private final Clock clock;
  private final RateLimitedLog log;

  /** What has been read behind the request in work. */
  private final PipelinedRequests waiting;

  private ChannelHandlerContext context;
  private State state = State.RESTING;
  private final RequestDecoder decoder = new RequestDecoder();

  /**
   * The connection ends with the answer to the last request that has been read; what else comes is
   * refused.
   */
  private boolean closing;

  private int readWhileClosing;
  private long bytesRead;

  /** While bytes are being decoded, it is not known yet whether an answer is the last. */
  private boolean decoding;

  private FullHttpResponse deferred;

  /** A part of a request has been read, and not its end. */
  private boolean received;

  private boolean proven;
  private String taken;
  private final ArrivalClock arrivals;

  /**
   * Since when this connection may have waited to be accepted, and the loop's turn in which it was.
   */
  private final double opened;

  private final long openedIn;

  /** Since when the bytes read last may have been here. */
  private double arrived;

  /**
   * RESTING: between requests, or one is coming in. BUSY: one is in work. ENDING: this side is shut
   * and what still comes is dropped, so that no request is read that could not be answered.
   */
  private enum State {
    RESTING,
    BUSY,
    ENDING
  }

  ClientConnectionHandler(
      HttpFrontend front,
      RequestCoordinator node,
      RequestReader reader,
      Clock clock,
      RateLimitedLog log,
      ArrivalClock arrivals,
      double opened) {
    this.front = front;
    this.waiting = new PipelinedRequests(front);
    this.node = node;
    this.reader = reader;
    this.clock = clock;
    this.log = log;
    this.arrivals = arrivals;
    this.opened = opened;
    this.openedIn = arrivals.turn();
    this.arrived = opened;
  }

  /** Puts the connection's codec and this handler at the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(
        firstBytes(),
        decoder,
        new HttpResponseEncoder(),
        new BodyAggregator(HttpFrontend.MOST_BODY),
        this);
  }

  /** Stands before the codec: the time for a request counts from its first byte. */
  private ChannelInboundHandler firstBytes() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (state == State.ENDING) {
          ReferenceCountUtil.release(bytes);
          return;
        }
        count(((ByteBuf) bytes).readableBytes());
        // What came before a connection was accepted is read in the turn after that.
        arrived = arrivals.turn() <= openedIn + 1 ? opened : arrivals.since();
        decoding = true;
        ctx.fireChannelRead(bytes);
        decoding = false;
        received = decoder.holdsPartialRequest();
        if (state == State.RESTING && received) {
          front.receives(ClientConnectionHandler.this);
        }
        respondDeferred();
      }
    };
  }

  private void count(int bytes) {
    bytesRead += bytes;
    readWhileClosing += closing ? bytes : 0;
    if (state == State.BUSY && readWhileClosing > MAX_READ_WHILE_CLOSING) {
      context.channel().config().setAutoRead(false);
    }
  }

  /** True once a job or a call-back that belongs to one has come: this is no stranger. */
  boolean proven() {
    return proven;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    front.opened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (state == State.ENDING
        || !ctx.channel().isActive()
        || !(message instanceof FullHttpRequest request)) {
      ReferenceCountUtil.release(message);
    } else if (state == State.RESTING) {
      begin(request, arrived);
    } else if (closing || !waiting.add(request, arrived)) {
      closing = true;
      waiting.reject();
      request.release();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event != BodyAggregator.TOO_LARGE || state == State.ENDING) {
      ctx.fireUserEventTriggered(event);
    } else if (state == State.RESTING) {
      tooLarge();
    } else if (closing) {
      waiting.reject();
    } else {
      closing = true;
      waiting.addTooLarge(arrived);
    }
  }

  private void tooLarge() {
    busy();
    error(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "a body holds at most " + HttpFrontend.MOST_BODY + " bytes");
  }

  private void busy() {
    state = State.BUSY;
    front.busy(this);
  }

  private void begin(FullHttpRequest request, double since) {
    busy();
    try {
      handle(request, since);
    } catch (BadRequestException bad) {
      log.line(
          "bad request",
          "bad request from " + context.channel().remoteAddress() + ": " + bad.getMessage());
      error(HttpResponseStatus.BAD_REQUEST, bad.getMessage());
    } catch (RuntimeException fault) {
      // The request's answer is owed all the same; where the node has taken it, the node gives
      // that.
      log.line("front failed", "request could not be handled: " + fault);
      closing = true;
      if (taken == null && deferred == null) {
        error(HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
      }
    } finally {
      request.release();
    }
  }

  private void handle(FullHttpRequest request, double since) throws BadRequestException {
    closing |= !HttpUtil.isKeepAlive(request);
    if (request.decoderResult().isFailure()) {
      throw new BadRequestException("not a request in HTTP");
    }
    String path = new QueryStringDecoder(request.uri()).rawPath();
    if (path.equals("/-/ready")) {
      boolean ready = node.ready() && front.takesClients();
      answer(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    } else if (!request.method().equals(HttpMethod.POST)) {
      error(HttpResponseStatus.METHOD_NOT_ALLOWED, "jobs come by POST");
    } else if (path.equals("/_jobs/news")) {
      String body = request.content().toString(StandardCharsets.UTF_8);
      news(WorkerCallbackParser.read(body), body);
    } else {
      job(request, since);
    }
  }

  /**
   * A worker's call-back. On a socket that is handed from one process to the next, one for a job
   * that this process never had may belong to the other one, and is handed on to it. Where that
   * cannot be done it gets 503 and a close, so that the worker's next try comes on a new
   * connection, which the other process may accept.
   */
  private void news(ferngrade.node.WorkerCallback news, String body) {
    if (front.sibling() != null && !node.knowsOf(news.id())) {
      front
          .sibling()
          .relay(
              body,
              status -> {
                if (status < 0) {
                  error(HttpResponseStatus.SERVICE_UNAVAILABLE, "no such job here");
                } else {
                  answer(HttpResponseStatus.NO_CONTENT, "");
                }
              });
      return;
    }
    proven |= node.news(news);
    answer(HttpResponseStatus.NO_CONTENT, "");
  }

  private void job(FullHttpRequest request, double since) throws BadRequestException {
    Job job = reader.job(request, since);
    ShutdownBudget budget = front.budget();
    if (budget != null) {
      if (front.finishing() || budget.tooLittleFor(job.due(), clock.now())) {
        node.refuse(job, new HttpReply(), 0);
        return;
      }
      job = budget.capped(job);
    }
    if (front.crowded()) {
      node.refuseForRoom(job, new HttpReply());
      return;
    }
    front.took();
    taken = job.id();
    if (!node.request(job, RequestReader.call(request, job.id()), new HttpReply())) {
      taken = null;
      front.gave();
      throw new BadRequestException("Req-Id has been used");
    }
    proven = true;
  }

  private void error(HttpResponseStatus status, String body) {
    closing = true;
    answer(status, body);
  }

  private void answer(HttpResponseStatus status, String body) {
    ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
    respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content));
  }

  private void respondDeferred() {
    FullHttpResponse response = deferred;
    deferred = null;
    if (response != null) {
      respond(response);
    }
  }

  /**
   * True if the connection ends with the present answer: not while another is owed for what has
   * been read.
   */
  private boolean endsNow() {
    boolean draining = front.draining() && !received;
    return waiting.isEmpty() && (closing || draining);
  }

  private void respond(FullHttpResponse response) {
    if (decoding) {
      deferred = response;
      return;
    }
    boolean wasJob = taken != null;
    taken = null;
    boolean keep = !endsNow();
    if (!response.status().equals(HttpResponseStatus.NO_CONTENT)) {
      HttpUtil.setContentLength(response, response.content().readableBytes());
    }
    if (!keep) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    ChannelFuture written = context.writeAndFlush(response);
    if (!keep && !written.isDone()) {
      // Nothing is read that could not be answered any more.
      context.channel().config().setAutoRead(false);
    }
    written.addListener(
        future -> {
          if (wasJob) {
            front.gave();
          }
          if (!future.isSuccess()) {
            context.close();
          } else if (keep) {
            next();
          } else {
            shut();
          }
        });
  }

  private void next() {
    state = State.RESTING;
    PipelinedRequests.Entry first = waiting.poll();
    if (first != null) {
      begin(first);
    } else if (received) {
      front.owes(this);
    } else {
      front.idle(this);
    }
  }

  private void begin(PipelinedRequests.Entry first) {
    switch (first.kind()) {
      case HANDLE -> begin(first.request(), first.arrived());
      case TOO_LARGE -> tooLarge();
      case REJECT -> {
        busy();
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      }
      default -> throw new IllegalStateException("no such kind: " + first.kind());
    }
  }

  /**
   * Ends the connection behind its last answer, or while it rests. Closed with bytes unread it
   * would be reset, and an answer be lost on its way to a client that still sends: so its own
   * direction ends first, and what still comes is dropped until the client ends the other one, or
   * the front's patience does.
   */
  void shut() {
    if (state == State.ENDING) {
      return;
    }
    state = State.ENDING;
    front.owes(this);
    ((DuplexChannel) context.channel()).shutdownOutput();
    context.channel().config().setAutoRead(true);
  }

  /** True while nothing of a request has come that has no answer yet. */
  boolean resting() {
    return state == State.RESTING && !received;
  }

  /** What the connection owes has not come in time. */
  void late() {
    if (state == State.ENDING) {
      context.close();
    } else if (received) {
      endHalfRead(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole");
    } else {
      shut();
    }
  }

  /** The process ends: a request that has come in part is refused. */
  void refuseUnfinished() {
    if (state == State.RESTING && received) {
      endHalfRead(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    }
  }

  /** True once its last answer is written and only the client's close is awaited. */
  boolean ending() {
    return state == State.ENDING;
  }

  /**
   * Ends a connection that has nothing in work, for its room; one that is half read gets an answer.
   */
  void endForRoom() {
    if (state == State.RESTING && received) {
      endHalfRead(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    } else {
      context.close();
    }
  }

  private void endHalfRead(HttpResponseStatus status, String body) {
    busy();
    error(status, body);
    // What it holds of the request goes at once, and not when the client closes.
    context.pipeline().remove(BodyAggregator.class);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    front.closed(this);
    waiting.release();
    clientGone();
  }

  private void clientGone() {
    if (taken != null) {
      node.clientGone(taken);
      taken = null;
      front.gave();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException || state == State.ENDING) {
      ctx.close();
    } else {
      log.line("front failed", "bytes could not be decoded: " + cause);
      closing = true;
      if (state == State.RESTING) {
        busy();
        error(HttpResponseStatus.BAD_REQUEST, "not a request in HTTP");
      }
    }
  }

  /** The way back over this connection. */
  private final class HttpReply implements ResponseHandler {
    @Override
    public void served(String result) {
      answer(HttpResponseStatus.OK, result);
    }

    @Override
    public void refused(double retryAfter) {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
      if (retryAfter > 0) {
        response
            .headers()
            .set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfter / 1000));
      }
      respond(response);
    }

    @Override
    public void failed() {
      answer(HttpResponseStatus.BAD_GATEWAY, "");
    }

    @Override
    public boolean clientPresent() {
      boolean present =
          PendingReads.openAfterReading((AbstractNioChannel) context.channel(), () -> bytesRead);
      if (!present) {
        clientGone();
      }
      return present;
    }
  }
}
