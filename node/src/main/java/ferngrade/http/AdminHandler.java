package ferngrade.http;

import ferngrade.transport.PendingReads;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;

/**
 * The connection of one caller of the operators' endpoint. An operator's call is read whole and
 * answered once, and the connection closes after the answer. Another process of this node may ask
 * to keep its connection, and then makes several calls on it, one after the other.
 */
final class AdminHandler extends SimpleChannelInboundHandler<FullHttpRequest>
    implements ManagedConnection {
  private static final String WORKERS_PATH = "/-/menu-workers/";

  private final AdminServer admin;
  private final OperatorCalls calls;
  private final double acceptedAt;
  private final double acceptedSince;
  private final long acceptTurn;

  /**
   * The earliest time at which the current call may have arrived on this machine, in ms on the
   * node's clock.
   */
  private double arrivedAt;

  private Channel channel;
  private ConnectionState state = ConnectionState.UNREAD;
  private long bytesRead;

  /** True if another process of this node makes its calls on this connection. */
  private boolean isUpgradePeer;

  AdminHandler(AdminServer admin) {
    this.admin = admin;
    this.calls = admin.calls();
    this.acceptedAt = admin.now();
    this.acceptedSince = admin.acceptedSince();
    this.acceptTurn = calls.arrivals().turn();
  }

  /** Adds the connection's codec and this handler to the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(
        byteCounter(),
        new HttpServerCodec(),
        new ContentCopier(),
        new HttpObjectAggregator(AdminServer.MAX_CALL_BYTES),
        this);
  }

  private ChannelInboundHandler byteCounter() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        bytesRead += ((ByteBuf) bytes).readableBytes();
        if (state == ConnectionState.UNREAD || state == ConnectionState.RESTING) {
          state = ConnectionState.RECEIVING;
          arrivedAt = earliestArrival();
          admin.connections().receiving(AdminHandler.this);
        }
        ctx.fireChannelRead(bytes);
      }

      @Override
      public void channelReadComplete(ChannelHandlerContext ctx) {
        if (state == ConnectionState.UNREAD) {
          state = ConnectionState.RESTING;
        }
        ctx.fireChannelReadComplete();
      }
    };
  }

  private double earliestArrival() {
    ArrivalClock arrivals = calls.arrivals();
    return arrivals.turn() <= acceptTurn + 1 ? acceptedSince : arrivals.earliestArrival();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    admin.connections().opened(this);
    ctx.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    admin.closed(this);
  }

  // ---- Managed connection ----

  @Override
  public ConnectionState state() {
    return state;
  }

  @Override
  public boolean trusted() {
    return isUpgradePeer;
  }

  @Override
  public boolean readPending() {
    return PendingReads.readAndCheckOpen((AbstractNioChannel) channel, () -> bytesRead);
  }

  @Override
  public ForcedCloses.ConnectionSnapshot snapshot(double now) {
    return new ForcedCloses.ConnectionSnapshot(state, isUpgradePeer, bytesRead, now - acceptedAt);
  }

  @Override
  public void timedOut() {
    channel.close();
  }

  @Override
  public void evict() {
    channel.close();
  }

  /**
   * Closes the connection unless an unread call is in the socket: the call is answered, and the
   * answer closes the connection.
   */
  void closeAfterReading() {
    if (readPending() && state == ConnectionState.RESTING) {
      channel.close();
    }
  }

  // ---- Calls ----

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
    if (state == ConnectionState.BUSY || state == ConnectionState.CLOSING) {
      return;
    }
    state = ConnectionState.BUSY;
    admin.connections().busy(this);
    if (call.decoderResult().isFailure()) {
      answer(ctx, HttpResponseStatus.BAD_REQUEST, "not a call in HTTP/1.1\n");
      return;
    }
    String path = new QueryStringDecoder(call.uri()).rawPath();
    HttpMethod method = call.method();
    switch (path) {
      case "/-/ready" -> {
        if (requireMethod(ctx, method, HttpMethod.GET)) {
          boolean ready = calls.ready();
          answer(
              ctx,
              ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
              ready ? "ready\n" : "not ready\n");
        }
      }
      case "/-/metrics" -> {
        if (requireMethod(ctx, method, HttpMethod.GET)) {
          answer(ctx, HttpResponseStatus.OK, calls.metrics());
        }
      }
      case "/-/drain" -> {
        if (requireMethod(ctx, method, HttpMethod.POST)) {
          calls.drain();
          answer(ctx, HttpResponseStatus.OK, "draining\n");
        }
      }
      case "/-/resume" -> {
        if (requireMethod(ctx, method, HttpMethod.POST)) {
          calls.resume();
          answer(ctx, HttpResponseStatus.OK, "taking clients\n");
        }
      }
      case "/-/news", "/-/sibling", "/-/state", "/-/ids", "/-/claim", "/-/join" -> {
        if (requireMethod(ctx, method, HttpMethod.POST)) {
          isUpgradePeer = call.headers().contains(HttpHeaderNames.CONNECTION, "keep-alive", true);
          fromUpgradePeer(ctx, path, call.content().toString(StandardCharsets.UTF_8));
        }
      }
      default -> changeWorker(ctx, method, path);
    }
  }

  /**
   * Handles a call from another process of this node on the same client socket: a relayed callback,
   * the announcement of an address, a record, or a call about the ids of requests.
   */
  private void fromUpgradePeer(ChannelHandlerContext ctx, String path, String body) {
    try {
      switch (path) {
        case "/-/news" -> answer(ctx, calls.relayedCallback(body), HttpResponseStatus.NOT_FOUND);
        case "/-/sibling" -> answer(ctx, calls.peerAnnounced(body), HttpResponseStatus.NOT_FOUND);
        case "/-/ids" -> answer(ctx, calls.idsReceived(body), HttpResponseStatus.NOT_FOUND);
        case "/-/claim" -> answer(ctx, calls.idClaimed(body), HttpResponseStatus.CONFLICT);
        case "/-/join" ->
            calls.joined(
                body, complete -> answer(ctx, complete, HttpResponseStatus.SERVICE_UNAVAILABLE));
        default -> answer(ctx, calls.recordReceived(body), HttpResponseStatus.NOT_FOUND);
      }
    } catch (BadRequestException | IllegalArgumentException badRequest) {
      isUpgradePeer = false;
      answer(ctx, HttpResponseStatus.BAD_REQUEST, badRequest.getMessage() + "\n");
    }
  }

  /** Handles {@code /-/menu-workers/ID/disable} and {@code .../enable}. */
  private void changeWorker(ChannelHandlerContext ctx, HttpMethod method, String path) {
    int slash = path.lastIndexOf('/');
    String action = path.substring(slash + 1);
    boolean disable = action.equals("disable");
    if (!path.startsWith(WORKERS_PATH)
        || slash <= WORKERS_PATH.length()
        || !(disable || action.equals("enable"))) {
      answer(ctx, HttpResponseStatus.NOT_FOUND, "no such call\n");
      return;
    }
    if (!requireMethod(ctx, method, HttpMethod.POST)) {
      return;
    }
    String worker =
        QueryStringDecoder.decodeComponent(path.substring(WORKERS_PATH.length(), slash));
    if (!disable && calls.mayBeSuperseded(worker, arrivedAt) && !readPending()) {
      calls.ignoreEnable(worker);
      return;
    }
    String change = (disable ? "taken out: " : "taken back: ") + worker;
    calls.setMaintenance(
        worker,
        disable,
        arrivedAt,
        outcome -> {
          switch (outcome) {
            case STORED -> answer(ctx, HttpResponseStatus.OK, change + "\n");
            case NOT_STORED_YET ->
                answer(
                    ctx,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    change
                        + ", in this process only: not stored yet, a later process may not know of"
                        + " it\n");
            case UNKNOWN_WORKER ->
                answer(ctx, HttpResponseStatus.NOT_FOUND, "no menu worker " + worker + "\n");
          }
        });
  }

  private boolean requireMethod(ChannelHandlerContext ctx, HttpMethod method, HttpMethod required) {
    if (method.equals(required)) {
      return true;
    }
    answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + required + "\n");
    return false;
  }

  private void answer(ChannelHandlerContext ctx, boolean accepted, HttpResponseStatus otherwise) {
    answer(ctx, accepted ? HttpResponseStatus.NO_CONTENT : otherwise, "");
  }

  private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
    if (state != ConnectionState.BUSY) {
      return;
    }
    boolean keepAlive = isUpgradePeer && !admin.finishing();
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    HttpUtil.setContentLength(response, response.content().readableBytes());
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
    if (keepAlive) {
      state = ConnectionState.RESTING;
      admin.connections().betweenRequests(this);
      ctx.writeAndFlush(response);
    } else {
      state = ConnectionState.CLOSING;
      admin.connections().awaitPeer(this);
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
