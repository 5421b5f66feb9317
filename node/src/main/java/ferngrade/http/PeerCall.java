package ferngrade.http;

import ferngrade.node.Timers;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.function.IntConsumer;

/**
 * One call to another process of this node. A call is idempotent and may be retried once if its
 * connection breaks before the answer. The listener receives the status of the answer, or {@link
 * #NO_ANSWER}, exactly once.
 */
final class PeerCall {
  /** The status reported if the other process did not answer. */
  static final int NO_ANSWER = -1;

  private final String path;
  private final byte[] body;
  private final double timeout;
  private final IntConsumer listener;
  private boolean retried;
  private boolean ended;

  /** The timer that ends the call when its timeout expires. */
  private Timers.Timer timer;

  /** The connection that carries only this call and ends with it; null if there is none. */
  private PeerConnection ownConnection;

  PeerCall(String path, byte[] body, double timeout, IntConsumer listener) {
    this.path = path;
    this.body = body;
    this.timeout = timeout;
    this.listener = listener;
  }

  /** Returns the timeout of the call, counted from its start, in ms. */
  double timeout() {
    return timeout;
  }

  /** Returns the size of the body in bytes. */
  int bodySize() {
    return body.length;
  }

  /**
   * Creates the request; the header value {@code connection} asks to keep or to close the
   * connection.
   */
  FullHttpRequest request(AsciiString connection) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
    HttpUtil.setContentLength(request, body.length);
    request.headers().set(HttpHeaderNames.CONNECTION, connection);
    return request;
  }

  void setTimer(Timers.Timer running) {
    timer = running;
  }

  void setOwnConnection(PeerConnection connection) {
    ownConnection = connection;
  }

  boolean ended() {
    return ended;
  }

  /** Uses the only retry of the call. Returns false if it has been used or the call has ended. */
  boolean tryRetry() {
    boolean allowed = !ended && !retried;
    retried = true;
    return allowed;
  }

  /**
   * Ends the call with the status of its answer, or {@link #NO_ANSWER}. Has no effect if the call
   * has ended.
   */
  void end(int status) {
    if (ended) {
      return;
    }
    ended = true;
    if (timer != null) {
      timer.cancel();
    }
    if (ownConnection != null) {
      ownConnection.close();
    }
    listener.accept(status);
  }
}
