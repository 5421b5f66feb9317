package ferngrade.http;

import ferngrade.transport.FaultOrigin;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * One connection to another process of this node. Calls are pipelined, and the answers arrive in
 * the order of the calls; a call that has timed out keeps its position in that order.
 */
final class PeerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final Queue<PeerCall> unanswered = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private Owner owner;
  private boolean ended;

  /**
   * Receives the answers on a connection. The last notification of a connection is {@link
   * #answeredAndClosed} or {@link #connectionLost}.
   */
  interface Owner {
    /** Called when a call is answered and the connection stays open. */
    void answered(PeerCall call, int status);

    /**
     * Called when a call is answered and the connection closes; {@code unanswered} holds the calls
     * without an answer, in order.
     */
    void answeredAndClosed(PeerCall call, int status, List<PeerCall> unanswered);

    /**
     * Called when the connection has ended; {@code unanswered} holds the calls without an answer,
     * in order.
     */
    void connectionLost(List<PeerCall> unanswered);
  }

  /** Adds the connection and its codec to the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(
        new HttpClientCodec(), new HttpObjectAggregator(AdminServer.MAX_CALL_BYTES), this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  /** Returns the connection of a connected channel; {@code owner} is notified from now on. */
  static PeerConnection opened(Channel channel, Owner owner) {
    PeerConnection connection = channel.pipeline().get(PeerConnection.class);
    connection.owner = owner;
    return connection;
  }

  /** Returns true if a failed dial shows that no process listens at the address any more. */
  static boolean showsNoListener(FaultOrigin origin, Throwable cause) {
    return origin != FaultOrigin.LOCAL && !(cause instanceof ConnectTimeoutException);
  }

  /** Writes a call; the header value {@code connection} asks to keep or to close the connection. */
  void write(PeerCall call, AsciiString connection) {
    unanswered.add(call);
    context
        .writeAndFlush(call.request(connection))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                fail();
              }
            });
  }

  /**
   * Closes the connection without notifying its owner.
   *
   * @return the unanswered calls in order
   */
  List<PeerCall> close() {
    ended = true;
    context.close();
    List<PeerCall> pending = List.copyOf(unanswered);
    unanswered.clear();
    return pending;
  }

  private void fail() {
    if (!ended) {
      owner.connectionLost(close());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
    if (ended) {
      return;
    }
    if (unanswered.isEmpty() || answer.decoderResult().isFailure()) {
      fail();
      return;
    }
    PeerCall call = unanswered.remove();
    int status = answer.status().code();
    if (HttpUtil.isKeepAlive(answer)) {
      owner.answered(call, status);
    } else {
      owner.answeredAndClosed(call, status, close());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail();
  }
}
