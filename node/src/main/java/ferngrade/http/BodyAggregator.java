package ferngrade.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Assembles requests up to a maximum size. When the content length or the bytes received show that
 * a request is larger, the aggregator discards the request, fires {@link #TOO_LARGE} once, and
 * drops the remaining bytes as they arrive.
 */
final class BodyAggregator extends HttpObjectAggregator {
  /** The event fired in place of a request whose body is too large. */
  static final Object TOO_LARGE = new Object();

  /**
   * The maximum number of parts of a body, each of which may hold a buffer. If a body arrives in
   * more parts, they are merged.
   */
  private static final int MAX_PARTS = 16;

  /** True while the content of a request that is too large is dropped. */
  private boolean dropping;

  BodyAggregator(int maxBody) {
    super(maxBody, true);
    setMaxCumulationBufferComponents(MAX_PARTS);
  }

  /**
   * Sends "continue" or nothing: a rejection sent here would overtake the responses to earlier
   * requests, and its close would leave them without a response.
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
  protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
    dropping = false;
    return super.beginAggregation(start, content);
  }

  /** Returns true while the content of a request is dropped as it arrives. */
  boolean dropping() {
    return dropping;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
    dropping = true;
    ctx.fireUserEventTriggered(TOO_LARGE);
  }
}
