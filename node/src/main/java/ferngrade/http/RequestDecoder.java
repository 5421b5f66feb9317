package ferngrade.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Reads requests off a connection, each once it is admitted, and knows whether it holds the
 * beginning of one whose rest has not come.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /** Goes on over what may stand before a request. */
  private static final ByteProcessor BLANK = each -> each == '\r' || each == '\n';

  /**
   * Bytes of a request have been taken in, and not yet its end; line ends before it don't count.
   */
  private boolean withinRequest;

  private final BooleanSupplier admission;

  /** The request that begins with the next bytes may be decoded. */
  private boolean admitted;

  private boolean paused;

  /** {@code admission} is asked before each request whether that may be decoded now. */
  RequestDecoder(BooleanSupplier admission) {
    this.admission = admission;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> decoded)
      throws Exception {
    admitted = admitted || admission.getAsBoolean();
    paused = !admitted;
    if (paused) {
      return;
    }
    int before = decoded.size();
    int start = bytes.readerIndex();
    super.decode(ctx, bytes, decoded);
    boolean text = bytes.forEachByte(start, bytes.readerIndex() - start, BLANK) >= 0;
    withinRequest = withinRequest || text;
    for (Object each : decoded.subList(before, decoded.size())) {
      withinRequest = !(each instanceof LastHttpContent);
      admitted = withinRequest;
    }
  }

  /** True if it holds bytes that were not admitted; any read, of no bytes too, asks again. */
  boolean paused() {
    return paused;
  }

  /** True if a part of a request has been read, and not its end. */
  boolean holdsPartialRequest() {
    return withinRequest || actualReadableBytes() > 0;
  }
}
