package ferngrade.http;

import ferngrade.node.RateLimitedLog;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * Reads requests from one connection to the frontend and has them handled one at a time; what is
 * pipelined behind one waits. The connection itself is a {@link ClientConnection}.
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

  private final ClientConnection connection;
  private final ClientRequestHandler requests;
  private final RateLimitedLog log;
  private final ArrivalClock arrivals;
  private final RequestDecoder decoder = new RequestDecoder();

  /** What has been read behind the request in progress. */
  private final PipelinedRequests pipelined;

  private ChannelHandlerContext context;
  private int readWhileClosing;
  private long bytesRead;
  private boolean decoding;

  /** A part of a request has been read, and not its end. */
  private boolean partialRequest;

  private final double acceptedSince;

  /** The loop's turn in which the connection was accepted. */
  private final long acceptTurn;

  /** Since when the bytes read last may have been on this machine, ms on the clock. */
  private double arrived;

  /**
   * The reader of a connection that may have waited to be accepted since {@code acceptedSince}, ms
   * on the clock.
   */
  ClientConnectionHandler(
      HttpFrontend front,
      ClientRequestHandler requests,
      RateLimitedLog log,
      ArrivalClock arrivals,
      double acceptedSince) {
    this.connection = new ClientConnection(front, requests, this, acceptedSince);
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

  /** All bytes that have been read so far. */
  long bytesRead() {
    return bytesRead;
  }

  /** True while bytes that have just been read are being decoded. */
  boolean decoding() {
    return decoding;
  }

  /** True if a part of a request has been read, and not its end. */
  boolean holdsPartialRequest() {
    return partialRequest;
  }

  /** True if a request waits behind the one in progress. */
  boolean hasPipelined() {
    return !pipelined.isEmpty();
  }

  // ---- Bytes ----

  /** Stands before the codec: the timeout of a request counts from its first byte. */
  private ChannelInboundHandler byteCounter() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        count(ctx, ((ByteBuf) bytes).readableBytes());
        if (connection.state() == ConnectionState.CLOSING) {
          ReferenceCountUtil.release(bytes);
          return;
        }
        // What came before a connection was accepted is read by the turn after that.
        arrived = arrivals.turn() <= acceptTurn + 1 ? acceptedSince : arrivals.since();
        decoding = true;
        ctx.fireChannelRead(bytes);
        decoding = false;
        partialRequest = decoder.holdsPartialRequest();
        connection.read(partialRequest);
        connection.respondDeferred();
      }

      @Override
      public void channelReadComplete(ChannelHandlerContext ctx) {
        if (connection.state() == ConnectionState.UNREAD) {
          connection.read(false);
        }
        ctx.fireChannelReadComplete();
      }
    };
  }

  private void count(ChannelHandlerContext ctx, int bytes) {
    bytesRead += bytes;
    readWhileClosing += connection.closeRequested() ? bytes : 0;
    if (connection.handlesRequest() && readWhileClosing > MAX_READ_WHILE_CLOSING) {
      ctx.channel().config().setAutoRead(false);
    }
  }

  // ---- Events of the connection ----

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    connection.opened(ctx.channel());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (connection.state() == ConnectionState.CLOSING
        || !ctx.channel().isActive()
        || !(message instanceof FullHttpRequest request)) {
      ReferenceCountUtil.release(message);
    } else if (connection.canBegin()) {
      begin(request, arrived);
    } else if (connection.closeRequested() || !pipelined.add(request, arrived)) {
      connection.requestClose();
      pipelined.reject();
      request.release();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event != BodyAggregator.TOO_LARGE || connection.state() == ConnectionState.CLOSING) {
      ctx.fireUserEventTriggered(event);
    } else if (connection.canBegin()) {
      rejectTooLarge();
    } else if (connection.closeRequested()) {
      pipelined.reject();
    } else {
      connection.requestClose();
      pipelined.addTooLarge(arrived);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException || connection.state() == ConnectionState.CLOSING) {
      ctx.close();
    } else {
      log.line("front failed", "bytes could not be decoded: " + cause);
      connection.requestClose();
      if (connection.canBegin()) {
        connection.begin();
        connection.respondAndClose(HttpResponseStatus.BAD_REQUEST, "not a request in HTTP");
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pipelined.release();
    connection.ended();
  }

  // ---- Requests ----

  private void begin(FullHttpRequest request, double arrivedAt) {
    connection.begin();
    try {
      if (!HttpUtil.isKeepAlive(request)) {
        connection.requestClose();
      }
      requests.handle(connection, request, arrivedAt);
    } catch (BadRequestException bad) {
      log.line(
          "bad request",
          "bad request from " + context.channel().remoteAddress() + ": " + bad.getMessage());
      connection.respondAndClose(HttpResponseStatus.BAD_REQUEST, bad.getMessage());
    } catch (RuntimeException fault) {
      // A response is owed all the same; for a job that has started, the coordinator gives it.
      log.line("front failed", "request could not be handled: " + fault);
      connection.requestClose();
      if (connection.unanswered()) {
        connection.respondAndClose(HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
      }
    } finally {
      request.release();
    }
  }

  /** Begins the request that has waited longest; false if none waits. */
  boolean beginPipelined() {
    PipelinedRequests.Entry first = pipelined.poll();
    if (first == null) {
      return false;
    }
    switch (first.kind()) {
      case HANDLE -> begin(first.request(), first.arrived());
      case TOO_LARGE -> rejectTooLarge();
      case REJECT -> {
        connection.begin();
        connection.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      }
      default -> throw new IllegalStateException("no such kind: " + first.kind());
    }
    return true;
  }

  private void rejectTooLarge() {
    connection.begin();
    connection.respondAndClose(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "a body holds at most " + HttpFrontend.MAX_BODY + " bytes");
  }
}
