package ferngrade.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Puts requests together up to a bound. Of one that is larger it keeps nothing from the moment on
 * that its length or its count shows it: it only says so, with {@link #TOO_LARGE}, and drops the
 * rest as it comes.
 */
final class BodyAggregator extends HttpObjectAggregator {
  /** The event that stands in for a request with too large a body. */
  static final Object TOO_LARGE = new Object();

  /** Parts that may hold a buffer each; a body that drips in is copied together beyond that. */
  private static final int MAX_PARTS = 16;

  BodyAggregator(int maxBody) {
    super(maxBody, true);
    setMaxCumulationBufferComponents(MAX_PARTS);
  }

  /**
   * Says "continue" and nothing else: a refusal from here would overtake the answers to requests
   * before it, and the close that comes with it would leave those without one.
   */
  @Override
  protected Object newContinueResponse(HttpMessage start, int maxBody, ChannelPipeline pipeline) {
    boolean usable =
        start.decoderResult().isSuccess()
            && HttpUtil.is100ContinueExpected(start)
            && HttpUtil.getContentLength(start, 0L) <= maxBody;
    return usable ? super.newContinueResponse(start, maxBody, pipeline) : null;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
    ctx.fireUserEventTriggered(TOO_LARGE);
  }
}
