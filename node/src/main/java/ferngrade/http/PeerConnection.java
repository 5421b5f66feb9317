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
 * One connection to another process of this node. Calls are written without awaiting the answers of
 * those before, and are answered in the order in which they were written; one that has timed out
 * keeps its place in that order.
 */
final class PeerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final Queue<PeerCall> unanswered = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private Owner owner;
  private boolean ended;

  /** Is notified of answers, up to the end of the connection, which is either of the last two. */
  interface Owner {
    /** The call is answered, and the connection kept. */
    void answered(PeerCall call, int status);

    /** The call is answered; the connection ends with these calls unanswered, in their order. */
    void answeredLast(PeerCall call, int status, List<PeerCall> unanswered);

    /** The connection has ended with these calls unanswered, in their order. */
    void broken(List<PeerCall> unanswered);
  }

  /** Puts the connection, behind its codec, at the end of a pipeline. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new HttpClientCodec(), new HttpObjectAggregator(Admin.MAX_CALL_BYTES), this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  /** The connection of a channel that is up; {@code owner} is notified from now on. */
  static PeerConnection opened(Channel channel, Owner owner) {
    PeerConnection connection = channel.pipeline().get(PeerConnection.class);
    connection.owner = owner;
    return connection;
  }

  /** True if a dial that failed so shows that nobody listens there any more. */
  static boolean refused(FaultOrigin origin, Throwable cause) {
    return origin != FaultOrigin.LOCAL && !(cause instanceof ConnectTimeoutException);
  }

  /** Writes a call, which says with {@code connection} whether the connection is to be kept. */
  void write(PeerCall call, AsciiString connection) {
    unanswered.add(call);
    context
        .writeAndFlush(call.request(connection))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                breakOff();
              }
            });
  }

  /**
   * Closes the connection without notifying its owner.
   *
   * @return the unanswered calls, in their order
   */
  List<PeerCall> close() {
    ended = true;
    context.close();
    List<PeerCall> left = List.copyOf(unanswered);
    unanswered.clear();
    return left;
  }

  private void breakOff() {
    if (!ended) {
      owner.broken(close());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
    if (ended) {
      return;
    }
    if (unanswered.isEmpty() || answer.decoderResult().isFailure()) {
      breakOff();
      return;
    }
    PeerCall call = unanswered.remove();
    int status = answer.status().code();
    if (HttpUtil.isKeepAlive(answer)) {
      owner.answered(call, status);
    } else {
      owner.answeredLast(call, status, close());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    breakOff();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    breakOff();
  }
}
