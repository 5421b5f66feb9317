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
 * One call to another process of this node. It is idempotent: it may be made once more where its
 * connection broke before the answer. Its listener gets the status of the answer, or {@link
 * #NO_ANSWER}, once.
 */
final class PeerCall {
  /** The status if the other process did not answer. */
  static final int NO_ANSWER = -1;

  private final String path;
  private final byte[] body;
  private final double timeout;
  private final IntConsumer listener;
  private boolean repeated;
  private boolean ended;

  /** Ends the call when its time is up. */
  private Timers.Timer timer;

  /** The connection that carries this call alone and ends with it; null if it has none. */
  private PeerConnection ownConnection;

  PeerCall(String path, byte[] body, double timeout, IntConsumer listener) {
    this.path = path;
    this.body = body;
    this.timeout = timeout;
    this.listener = listener;
  }

  /** How long the call may take from its beginning, ms. */
  double timeout() {
    return timeout;
  }

  /** The length of its body, bytes. */
  int size() {
    return body.length;
  }

  /** Its request, which says with {@code connection} whether the connection is to be kept. */
  FullHttpRequest request(AsciiString connection) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
    HttpUtil.setContentLength(request, body.length);
    request.headers().set(HttpHeaderNames.CONNECTION, connection);
    return request;
  }

  void timedBy(Timers.Timer running) {
    timer = running;
  }

  void carriedAloneBy(PeerConnection connection) {
    ownConnection = connection;
  }

  boolean ended() {
    return ended;
  }

  /** Takes the one repetition that the call has; false if it has been taken, or nobody waits. */
  boolean repeat() {
    boolean allowed = !ended && !repeated;
    repeated = true;
    return allowed;
  }

  /** Ends the call with the status of its answer, or {@link #NO_ANSWER}; once. */
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
