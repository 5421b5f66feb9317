package ferngrade.http;

import ferngrade.transport.FaultOrigin;
import ferngrade.transport.PendingReads;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * One connection to a worker: at most one exchange at a time, idle in the pool between them. Bytes
 * that arrive while it is idle belong to no exchange; kept, they would be read as the beginning of
 * the next response. So they end the connection, and so does anything behind a response.
 */
final class WorkerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final ConnectionPool pool;
  private final TrailingBytesDecoder decoder = new TrailingBytesDecoder();
  private ChannelHandlerContext context;
  private InetSocketAddress worker;

  /** What the connection carries, null while it is idle. */
  private HttpExchange exchange;

  /** When the connection was put back into the pool. */
  double idleSince;

  /** How long it was idle before its present exchange, ms; negative if that is its first. */
  double reusedAfter = -1;

  private boolean endedHere;

  /** What broke the connection, where the system has said so. */
  private Throwable fault;

  /** Knows whether more bytes have arrived than the response that it has just passed on. */
  private static final class TrailingBytesDecoder extends HttpResponseDecoder {
    boolean hasMore() {
      return actualReadableBytes() > 0;
    }
  }

  WorkerConnection(ConnectionPool pool) {
    this.pool = pool;
  }

  /** Puts the connection, behind its codec, at the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(
        idleGuard(),
        new HttpRequestEncoder(),
        decoder,
        new HttpObjectAggregator(HttpFrontend.MAX_BODY),
        this);
  }

  private ChannelInboundHandler idleGuard() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (exchange == null) {
          ReferenceCountUtil.release(bytes);
          close();
        } else {
          ctx.fireChannelRead(bytes);
        }
      }
    };
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  /** The connection is up; it counts in the pool until it ends. */
  void opened(InetSocketAddress address) {
    worker = address;
    context.channel().closeFuture().addListener(closed -> ended());
  }

  InetSocketAddress worker() {
    return worker;
  }

  boolean isActive() {
    return context.channel().isActive();
  }

  void begin(HttpExchange next) {
    FullHttpRequest request = next.request();
    if (request == null) {
      pool.release(this);
      return;
    }
    exchange = next;
    next.carriedBy(this);
    context
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (written.isSuccess() && exchange == next) {
                next.written();
              } else if (!written.isSuccess()) {
                fault = written.cause();
                close();
              }
            });
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    if (exchange == null || response.decoderResult().isFailure()) {
      close();
      return;
    }
    if (HttpStatusClass.valueOf(response.status().code()) == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    HttpExchange answered = exchange;
    exchange = null;
    boolean keep = HttpUtil.isKeepAlive(response) && !decoder.hasMore();
    answered.answered(response);
    if (keep) {
      pool.release(this);
    } else {
      close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fault = cause;
    ctx.close();
  }

  /** Reads at once what has come and the event loop has not come to read. */
  void readPending() {
    PendingReads.read((AbstractNioChannel) context.channel());
  }

  /**
   * Reads what has come. False if the connection has ended, be it because the worker has closed it
   * or because it was idle and bytes have come on it all the same.
   */
  boolean activeAfterReading() {
    readPending();
    return isActive();
  }

  /** Ends the connection from this side. */
  void close() {
    endedHere = true;
    context.close();
  }

  boolean endedHere() {
    return endedHere;
  }

  /** The one place where a connection ends, from whichever side. */
  private void ended() {
    pool.ended(this);
    HttpExchange broken = exchange;
    exchange = null;
    if (broken != null) {
      // Netty closes the channel first and fails the write that broke it behind that: its cause
      // counts here.
      context.executor().execute(() -> broken.broken(FaultOrigin.of(fault)));
    }
  }
}
