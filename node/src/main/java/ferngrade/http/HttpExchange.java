package ferngrade.http;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.transport.FaultOrigin;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;

/**
 * One request to a worker and its response. {@link WorkerClient} finds it a connection, {@link
 * WorkerConnection} carries it. All methods run on the event loop.
 */
abstract class HttpExchange {
  /**
   * The exchange waits, or has waited, for a resource that this machine lacks: its delay is not the
   * worker's fault.
   */
  boolean delayedLocally;

  /** How long to retry a dial that fails for a lack of this machine, ms. */
  abstract double dialTimeout();

  /** False if there is nothing to write any more. */
  abstract boolean wanted();

  /** The request to write; null if there is nothing to write any more. */
  abstract FullHttpRequest request();

  /** The connection that carries the exchange from here on. */
  void carriedBy(WorkerConnection connection) {}

  /** The last byte of the request is written. */
  void written() {}

  /** The response is complete; the connection no longer carries the exchange. */
  abstract void answered(FullHttpResponse response);

  /** The connection ended before the response; LOCAL: by a lack of this machine. */
  abstract void broken(FaultOrigin origin);

  /** No connection could be had. */
  abstract void notConnected(AttemptOutcome outcome);

  /** A request to this worker, without a content length. */
  static FullHttpRequest newRequest(
      HttpMethod method, String target, InetSocketAddress worker, byte[] body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, worker.getHostString() + ":" + worker.getPort());
    return request;
  }
}
