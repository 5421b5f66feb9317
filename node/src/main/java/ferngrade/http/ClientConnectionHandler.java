package ferngrade.http;

import ferngrade.node.RateLimitedLog;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * Reads requests from one connection to the frontend and has them handled one at a time; pipelined
 * requests are queued. {@link ClientConnection} represents the connection itself.
 *
 * <p>An error closes the connection, since a faulty sender would otherwise repeat the error at once
 * and indefinitely. The connection closes after the responses to all requests that were read
 * completely before the error. Confined to the event loop.
 */
final class ClientConnectionHandler extends ChannelInboundHandlerAdapter {
  private final ClientConnection connection;
  private final ClientRequestHandler requests;
  private final RateLimitedLog log;
  private final BodyAggregator aggregator = new BodyAggregator(HttpFrontend.MAX_BODY_BYTES);
  private final RequestBytesReader bytesReader;

  /** The requests that have been read behind the request in progress. */
  private final PipelinedRequests pipelined;

  private ChannelHandlerContext context;

  /**
   * Creates the handler of a connection that may have waited in the backlog since {@code
   * acceptedSince}, in ms on the node's clock.
   */
  ClientConnectionHandler(
      HttpFrontend frontend,
      ClientRequestHandler requests,
      RateLimitedLog log,
      RequestPacer pacer,
      double acceptedSince) {
    this.connection = new ClientConnection(frontend, requests, this, acceptedSince);
    this.requests = requests;
    this.log = log;
    this.bytesReader =
        new RequestBytesReader(connection, pacer, aggregator, frontend.memory(), acceptedSince);
    this.pipelined = new PipelinedRequests(frontend.memory());
  }

  /** Adds the connection's codec and this handler to the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(
        bytesReader,
        bytesReader.decoder(),
        new HttpResponseEncoder(),
        new ContentCopier(),
        aggregator,
        this);
  }

  /** Returns the handler that passes the bytes of the connection to the decoder. */
  RequestBytesReader bytesReader() {
    return bytesReader;
  }

  /**
   * Returns true if a request is queued behind the one in progress, or may be among the bytes that
   * are not decoded yet.
   */
  boolean hasPipelined() {
    return !pipelined.isEmpty() || bytesReader.holdsUndecoded();
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
    } else if (connection.canBegin() && !connection.closeRequested()) {
      begin(request, bytesReader.arrivedAt());
    } else if (connection.closeRequested() || !pipelined.add(request, bytesReader.arrivedAt())) {
      connection.requestClose();
      pipelined.reject();
      request.release();
      if (connection.canBegin()) {
        connection.beginNext();
      }
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
      pipelined.addTooLarge(bytesReader.arrivedAt());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException || connection.state() == ConnectionState.CLOSING) {
      ctx.close();
    } else {
      log.line("frontend failed", "bytes could not be decoded: " + cause);
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
    bytesReader.endDecoding();
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
    } catch (BadRequestException badRequest) {
      log.line(
          "bad request",
          "bad request from " + context.channel().remoteAddress() + ": " + badRequest.getMessage());
      connection.respondAndClose(HttpResponseStatus.BAD_REQUEST, badRequest.getMessage());
    } catch (RuntimeException fault) {
      // The request still needs a response. If its job has started, the coordinator sends it.
      log.line("frontend failed", "request could not be handled: " + fault);
      connection.requestClose();
      if (connection.unanswered()) {
        connection.respondAndClose(HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
      }
    } finally {
      request.release();
    }
  }

  /**
   * Begins the oldest queued request, in the next turn of the event loop if this turn has used up
   * its share. Returns false if no request is queued.
   */
  boolean beginPipelined() {
    if (pipelined.isEmpty()) {
      return false;
    }
    if (!bytesReader.mayBeginNow()) {
      connection.begin();
      return true;
    }
    PipelinedRequests.Entry first = pipelined.poll();
    switch (first.action()) {
      case HANDLE -> begin(first.request(), first.arrivedAt());
      case TOO_LARGE -> rejectTooLarge();
      case REJECT -> {
        connection.begin();
        connection.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      }
      default -> throw new IllegalStateException("unknown action: " + first.action());
    }
    return true;
  }

  private void rejectTooLarge() {
    connection.begin();
    connection.respondAndClose(
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "a body holds at most " + HttpFrontend.MAX_BODY_BYTES + " bytes");
  }
}
