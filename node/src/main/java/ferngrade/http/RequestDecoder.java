package ferngrade.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;

/**
 * Reads requests off a connection, and knows whether it holds the beginning of one whose rest has
 * not come.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /** Goes on over what may stand before a request. */
  private static final ByteProcessor BLANK = each -> each == '\r' || each == '\n';

  /**
   * Bytes of a request have been taken in, and not yet its end; line ends before it don't count.
   */
  private boolean withinRequest;

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> decoded)
      throws Exception {
    int before = decoded.size();
    int start = bytes.readerIndex();
    super.decode(ctx, bytes, decoded);
    boolean text = bytes.forEachByte(start, bytes.readerIndex() - start, BLANK) >= 0;
    withinRequest = withinRequest || text;
    for (Object each : decoded.subList(before, decoded.size())) {
      withinRequest = !(each instanceof LastHttpContent);
    }
  }

  /** True if a part of a request has been read, and not its end. */
  boolean holdsPartialRequest() {
    return withinRequest || actualReadableBytes() > 0;
  }
}
