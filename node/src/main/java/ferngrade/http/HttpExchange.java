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
 * One request to a worker and its response. {@link WorkerClient} provides a connection for it, and
 * {@link WorkerConnection} carries it. All methods run on the event loop.
 */
abstract class HttpExchange {
  /**
   * True if the exchange waits, or has waited, for a resource that this machine lacks. The worker
   * is then not responsible for the delay.
   */
  boolean delayedLocally;

  /** Returns how long to retry a dial that fails because this machine lacks resources, in ms. */
  abstract double dialTimeout();

  /** Returns false if the request no longer has to be sent. */
  abstract boolean isStillNeeded();

  /** Returns the request to write, or null if it no longer has to be sent. */
  abstract FullHttpRequest request();

  /** Called with the connection that carries the exchange from now on. */
  void connectionAssigned(WorkerConnection connection) {}

  /** Called when the last byte of the request is written. */
  void written() {}

  /** Returns true if the exchange uses the body of its response. */
  boolean readsBody() {
    return false;
  }

  /** Called when the response is complete; the connection no longer carries the exchange. */
  abstract void answered(FullHttpResponse response);

  /**
   * Called when the connection ends before the response; {@code origin} is LOCAL if this machine
   * lacked a resource.
   */
  abstract void connectionLost(FaultOrigin origin);

  /** Called when no connection could be opened. */
  abstract void notConnected(AttemptOutcome outcome);

  /** Creates a request to this worker, without a content length. */
  static FullHttpRequest newRequest(
      HttpMethod method, String target, InetSocketAddress worker, byte[] body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, worker.getHostString() + ":" + worker.getPort());
    return request;
  }
}
