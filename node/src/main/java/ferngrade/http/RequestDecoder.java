package ferngrade.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Reads requests off a connection, and knows whether it holds the beginning of one whose rest has
 * not come.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private boolean awaitsContent;

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> decoded)
      throws Exception {
    int before = decoded.size();
    super.decode(ctx, bytes, decoded);
    for (Object each : decoded.subList(before, decoded.size())) {
      awaitsContent =
          !(each instanceof LastHttpContent) && (awaitsContent || each instanceof HttpRequest);
    }
  }

  /** True if a part of a request has been read, and not its end. */
  boolean holdsPartialRequest() {
    return awaitsContent || actualReadableBytes() > 0;
  }
}
