package ferngrade.http;

import ferngrade.transport.FaultOrigin;
import ferngrade.transport.PendingReads;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * One connection to a worker, which carries at most one exchange at a time and is idle in the pool
 * between exchanges. Bytes that arrive while it is idle belong to no exchange and would be read as
 * the beginning of the next response. Therefore they close the connection, as do any bytes after a
 * response.
 */
final class WorkerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final ConnectionPool pool;
  private final TrailingBytesDecoder decoder = new TrailingBytesDecoder();
  private ChannelHandlerContext context;
  private InetSocketAddress worker;

  /** The exchange in progress; null while the connection is idle. */
  private HttpExchange exchange;

  /** The time at which the connection was returned to the pool, in ms. */
  double idleSince;

  /**
   * How long the connection was idle before its present exchange, in ms; negative if that exchange
   * is its first.
   */
  double idleBeforeReuse = -1;

  private boolean closedLocally;

  /** The cause of the connection's failure; null if the system reported none. */
  private Throwable fault;

  /** Detects bytes that have arrived after the response just decoded. */
  private static final class TrailingBytesDecoder extends HttpResponseDecoder {
    boolean hasMore() {
      return actualReadableBytes() > 0;
    }
  }

  WorkerConnection(ConnectionPool pool) {
    this.pool = pool;
  }

  /** Adds the connection and its codec to the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(
        idleGuard(),
        new HttpRequestEncoder(),
        decoder,
        bodyFilter(),
        new HttpObjectAggregator(HttpFrontend.MAX_BODY_BYTES),
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

  /**
   * Drops the bodies of responses that no exchange reads, so that a worker that sends them slowly
   * takes no memory. A body that is too large ends the connection as if it had been kept.
   */
  private ChannelInboundHandler bodyFilter() {
    return new ChannelInboundHandlerAdapter() {
      private long bodyBytes;

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpResponse) {
          bodyBytes = 0;
        }
        if (message instanceof HttpContent part && exchange != null && !exchange.readsBody()) {
          bodyBytes += part.content().readableBytes();
          part.release();
          if (bodyBytes > HttpFrontend.MAX_BODY_BYTES) {
            throw new TooLongHttpContentException("the body of a response is too large");
          }
          ctx.fireChannelRead(part.replace(Unpooled.EMPTY_BUFFER));
        } else {
          ctx.fireChannelRead(message);
        }
      }
    };
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  /** Marks the connection as established; it counts in the pool until it ends. */
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

  void begin(HttpExchange newExchange) {
    FullHttpRequest request = newExchange.request();
    if (request == null) {
      pool.release(this);
      return;
    }
    exchange = newExchange;
    newExchange.connectionAssigned(this);
    context
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (written.isSuccess() && exchange == newExchange) {
                newExchange.written();
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
    HttpExchange completed = exchange;
    exchange = null;
    boolean keepAlive = HttpUtil.isKeepAlive(response) && !decoder.hasMore();
    completed.answered(response);
    if (keepAlive) {
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

  /** Reads the bytes that have arrived but that the event loop has not read yet. */
  void readPending() {
    PendingReads.read((AbstractNioChannel) context.channel());
  }

  /**
   * Reads the bytes that have arrived. Returns false if the connection has ended, either because
   * the worker has closed it or because bytes arrived while it was idle.
   */
  boolean activeAfterReading() {
    readPending();
    return isActive();
  }

  /** Closes the connection from this side. */
  void close() {
    closedLocally = true;
    context.close();
  }

  boolean closedLocally() {
    return closedLocally;
  }

  /** Handles the end of the connection, closed by either side; no other method does so. */
  private void ended() {
    pool.ended(this);
    HttpExchange interrupted = exchange;
    exchange = null;
    if (interrupted != null) {
      // Netty closes the channel before it fails the write that broke the connection, but the cause
      // of that failure is needed here.
      context.executor().execute(() -> interrupted.connectionLost(FaultOrigin.of(fault)));
    }
  }
}
