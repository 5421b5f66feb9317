package ferngrade.http;

import ferngrade.node.RateLimitedLog;
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
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * One connection to the frontend: a client's, or a worker's with callbacks. It handles one request
 * at a time, queues what is pipelined behind it, and closes behind the last response.
 *
 * <p>An error closes the connection: whoever sent something unusable would otherwise repeat it at
 * once, indefinitely. It closes behind the responses to all requests read completely by then, as
 * each of those is owed one. Belongs to the event loop.
 */
final class ClientConnectionHandler extends ChannelInboundHandlerAdapter {
  /**
   * Bytes read, while a request is in progress, from a connection that is closing anyway; the rest
   * is left to its sender. Until then all is read: only reading shows that a client has closed.
   */
  private static final int MAX_READ_WHILE_CLOSING = 256 << 10;

  private final HttpFrontend front;
  private final ClientConnections connections;
  private final ClientRequestHandler requests;
  private final RateLimitedLog log;
  private final ArrivalClock arrivals;
  private final RequestDecoder decoder = new RequestDecoder();

  /** What has been read behind the request in progress. */
  private final PipelinedRequests pipelined;

  private ChannelHandlerContext context;
  private ConnectionState state = ConnectionState.RESTING;

  /**
   * The connection closes behind the response to the last request read; what else arrives is
   * rejected.
   */
  private boolean closeRequested;

  private int readWhileClosing;
  private long bytesRead;

  /** While bytes are being decoded, it is not known yet whether a response is the last. */
  private boolean decoding;

  private FullHttpResponse deferred;

  /** A part of a request has been read, and not its end. */
  private boolean partialRequest;

  private boolean trusted;

  /** The job in progress; null if there is none. */
  private String jobId;

  /** Since when this connection may have waited to be accepted, ms on the clock. */
  private final double acceptedSince;

  /** The loop's turn in which it was accepted. */
  private final long acceptTurn;

  /** Since when the bytes read last may have been on this machine, ms on the clock. */
  private double arrived;

  ClientConnectionHandler(
      HttpFrontend front,
      ClientRequestHandler requests,
      RateLimitedLog log,
      ArrivalClock arrivals,
      double acceptedSince) {
    this.front = front;
    this.connections = front.connections();
    this.requests = requests;
    this.log = log;
    this.arrivals = arrivals;
    this.pipelined = new PipelinedRequests(front);
    this.acceptedSince = acceptedSince;
    this.acceptTurn = arrivals.turn();
    this.arrived = acceptedSince;
  }

  /** Puts the connection's codec and this handler at the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(
        byteCounter(),
        decoder,
        new HttpResponseEncoder(),
        new BodyAggregator(HttpFrontend.MAX_BODY),
        this);
  }

  // ---- Reading ----

  /** Stands before the codec: the timeout of a request counts from its first byte. */
  private ChannelInboundHandler byteCounter() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (state == ConnectionState.CLOSING) {
          ReferenceCountUtil.release(bytes);
          return;
        }
        count(((ByteBuf) bytes).readableBytes());
        // What came before a connection was accepted is read in the turn after that.
        arrived = arrivals.turn() <= acceptTurn + 1 ? acceptedSince : arrivals.since();
        decoding = true;
        ctx.fireChannelRead(bytes);
        decoding = false;
        partialRequest = decoder.holdsPartialRequest();
        if (state == ConnectionState.RESTING && partialRequest) {
          connections.receiving(ClientConnectionHandler.this);
        }
        respondDeferred();
      }
    };
  }

  private void count(int bytes) {
    bytesRead += bytes;
    readWhileClosing += closeRequested ? bytes : 0;
    if (state == ConnectionState.BUSY && readWhileClosing > MAX_READ_WHILE_CLOSING) {
      context.channel().config().setAutoRead(false);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    connections.opened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (state == ConnectionState.CLOSING
        || !ctx.channel().isActive()
        || !(message instanceof FullHttpRequest request)) {
      ReferenceCountUtil.release(message);
    } else if (state == ConnectionState.RESTING) {
      begin(request, arrived);
    } else if (closeRequested || !pipelined.add(request, arrived)) {
      closeRequested = true;
      pipelined.reject();
      request.release();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event != BodyAggregator.TOO_LARGE || state == ConnectionState.CLOSING) {
      ctx.fireUserEventTriggered(event);
    } else if (state == ConnectionState.RESTING) {
      rejectTooLarge();
    } else if (closeRequested) {
      pipelined.reject();
    } else {
      closeRequested = true;
      pipelined.addTooLarge(arrived);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException || state == ConnectionState.CLOSING) {
      ctx.close();
    } else {
      log.line("front failed", "bytes could not be decoded: " + cause);
      closeRequested = true;
      if (state == ConnectionState.RESTING) {
        busy();
        respondAndClose(HttpResponseStatus.BAD_REQUEST, "not a request in HTTP");
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    front.closed(this);
    pipelined.release();
    clientGone();
  }

  // ---- The request in progress ----

  private void busy() {
    state = ConnectionState.BUSY;
    connections.busy(this);
  }

  private void begin(FullHttpRequest request, double arrivedAt) {
    busy();
    try {
      closeRequested |= !HttpUtil.isKeepAlive(request);
      requests.handle(this, request, arrivedAt);
    } catch (BadRequestException bad) {
      log.line(
          "bad request",
          "bad request from " + context.channel().remoteAddress() + ": " + bad.getMessage());
      respondAndClose(HttpResponseStatus.BAD_REQUEST, bad.getMessage());
    } catch (RuntimeException fault) {
      // A response is owed all the same; for a job that has started, the coordinator gives it.
      log.line("front failed", "request could not be handled: " + fault);
      closeRequested = true;
      if (jobId == null && deferred == null) {
        respondAndClose(HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
      }
    } finally {
      request.release();
    }
  }

  private void begin(PipelinedRequests.Entry first) {
    switch (first.kind()) {
      case HANDLE -> begin(first.request(), first.arrived());
      case TOO_LARGE -> rejectTooLarge();
      case REJECT -> {
        busy();
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      }
      default -> throw new IllegalStateException("no such kind: " + first.kind());
    }
  }

  private void rejectTooLarge() {
    busy();
    respondAndClose(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "a body holds at most " + HttpFrontend.MAX_BODY + " bytes");
  }

  /** The request in progress is a job. */
  void jobStarted(String id) {
    jobId = id;
  }

  /** The request in progress has not become a job after all. */
  void jobNotStarted() {
    jobId = null;
  }

  /** A job, or a callback of one, has come on this connection. */
  void trust() {
    trusted = true;
  }

  /** True once a job, or a callback of one, has come on this connection. */
  boolean trusted() {
    return trusted;
  }

  /** False if the client has closed its connection, even if the loop has not read that yet. */
  boolean clientPresent() {
    boolean present =
        PendingReads.openAfterReading((AbstractNioChannel) context.channel(), () -> bytesRead);
    if (!present) {
      clientGone();
    }
    return present;
  }

  private void clientGone() {
    if (jobId != null) {
      requests.clientGone(jobId);
      jobId = null;
      front.jobEnded();
    }
  }

  // ---- Responses ----

  /** Responds to the request in progress, and closes behind that. */
  void respondAndClose(HttpResponseStatus status, String body) {
    closeRequested = true;
    respond(status, body);
  }

  /** Responds to the request in progress. */
  void respond(HttpResponseStatus status, String body) {
    ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
    respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content));
  }

  /** Responds to the request in progress. */
  void respond(FullHttpResponse response) {
    if (decoding) {
      deferred = response;
      return;
    }
    boolean wasJob = jobId != null;
    jobId = null;
    boolean keep = !lastResponse();
    if (!response.status().equals(HttpResponseStatus.NO_CONTENT)) {
      HttpUtil.setContentLength(response, response.content().readableBytes());
    }
    if (!keep) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
    }
    ChannelFuture written = context.writeAndFlush(response);
    if (!keep && !written.isDone()) {
      // What cannot be answered any more is not read.
      context.channel().config().setAutoRead(false);
    }
    written.addListener(
        future -> {
          if (wasJob) {
            front.jobEnded();
          }
          if (!future.isSuccess()) {
            context.close();
          } else if (keep) {
            next();
          } else {
            closeGracefully();
          }
        });
  }

  private void respondDeferred() {
    FullHttpResponse response = deferred;
    deferred = null;
    if (response != null) {
      respond(response);
    }
  }

  /**
   * True if the connection closes behind the present response: not while another is owed for what
   * has been read.
   */
  private boolean lastResponse() {
    boolean draining = front.draining() && !partialRequest;
    return pipelined.isEmpty() && (closeRequested || draining);
  }

  private void next() {
    state = ConnectionState.RESTING;
    PipelinedRequests.Entry first = pipelined.poll();
    if (first != null) {
      begin(first);
    } else if (partialRequest) {
      connections.await(this);
    } else {
      front.rest(this);
    }
  }

  // ---- Closing ----

  /**
   * Closes the connection behind its last response, or while it rests. Closing with bytes unread
   * would reset it and could lose a response on its way to a client that still sends: so only the
   * outgoing direction is shut down, and what arrives is dropped until the client closes or the
   * timeout for that ends.
   */
  void closeGracefully() {
    if (state == ConnectionState.CLOSING) {
      return;
    }
    state = ConnectionState.CLOSING;
    connections.await(this);
    ((DuplexChannel) context.channel()).shutdownOutput();
    context.channel().config().setAutoRead(true);
  }

  /** What is told of the connection when the node closes it unasked, at {@code now}. */
  ForcedCloses.Closed asClosed(double now) {
    return new ForcedCloses.Closed(state, trusted, bytesRead, now - acceptedSince);
  }

  /** What the connection is doing. */
  ConnectionState state() {
    return state;
  }

  /**
   * Closes a connection on which no job has come yet, unless a request lies there unread: that is
   * read and closes the connection with its response. Where jobs have come, a client knows that a
   * close may cross its request, and repeats it.
   */
  void closeAfterReading() {
    AbstractNioChannel channel = (AbstractNioChannel) context.channel();
    if (PendingReads.openAfterReading(channel, () -> bytesRead) && resting()) {
      closeGracefully();
    }
  }

  /** True once the last response is written and only the client's close is awaited. */
  boolean closing() {
    return state == ConnectionState.CLOSING;
  }

  /** True while nothing of a request has arrived that is not answered yet. */
  boolean resting() {
    return state == ConnectionState.RESTING && !partialRequest;
  }

  /** The awaited rest of a request, or the client's close, has not come in time. */
  void timedOut() {
    if (state == ConnectionState.CLOSING) {
      context.close();
    } else if (partialRequest) {
      rejectPartialRequest(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole");
    } else {
      closeGracefully();
    }
  }

  /** The process ends: a request that has arrived in part is rejected. */
  void rejectUnfinished() {
    if (state == ConnectionState.RESTING && partialRequest) {
      rejectPartialRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    }
  }

  /**
   * Closes a connection without a request in progress, to free its capacity; a request that has
   * arrived in part is rejected.
   */
  void evict() {
    if (state == ConnectionState.RESTING && partialRequest) {
      rejectPartialRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    } else {
      context.close();
    }
  }

  private void rejectPartialRequest(HttpResponseStatus status, String body) {
    busy();
    respondAndClose(status, body);
    // The memory of the request is freed at once, and not when the client closes.
    context.pipeline().remove(BodyAggregator.class);
  }
}
