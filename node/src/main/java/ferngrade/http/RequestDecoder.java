package ferngrade.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Decodes requests, each of them only once it is admitted, and tracks whether a part of a request
 * has been read.
 */
final class RequestDecoder extends HttpRequestDecoder {
  /** Skips the line ends that may precede a request. */
  private static final ByteProcessor SKIP_LINE_ENDS = value -> value == '\r' || value == '\n';

  /**
   * True if a part of a request has been decoded, but not its end; line ends before a request do
   * not count.
   */
  private boolean withinRequest;

  private final BooleanSupplier admission;

  /** True if the request that begins with the next bytes may be decoded. */
  private boolean admitted;

  private boolean paused;

  /** True from the first byte of a request until its head is decoded. */
  private boolean withinHead = true;

  /** The estimated memory of the part of a request that has been decoded, in bytes. */
  private long decodedBytes;

  /** Creates a decoder that queries {@code admission} before each request. */
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
    boolean text = bytes.forEachByte(start, bytes.readerIndex() - start, SKIP_LINE_ENDS) >= 0;
    withinRequest = withinRequest || text;
    countDecoded(bytes, start);
    for (Object message : decoded.subList(before, decoded.size())) {
      withinRequest = !(message instanceof LastHttpContent);
      admitted = withinRequest;
      withinHead = !withinRequest;
      decodedBytes = withinRequest ? decodedBytes : 0;
    }
  }

  private void countDecoded(ByteBuf bytes, int start) {
    int length = bytes.readerIndex() - start;
    if (withinRequest) {
      decodedBytes += length;
    }
    if (withinRequest && withinHead) {
      decodedBytes += (long) RequestSize.HEADER_FIELD_BYTES * lines(bytes, start, length);
    }
  }

  private static int lines(ByteBuf bytes, int start, int length) {
    int[] count = new int[1];
    bytes.forEachByte(
        start,
        length,
        value -> {
          count[0] += value == '\n' ? 1 : 0;
          return true;
        });
    return count[0];
  }

  /** Returns the memory of the bytes that have been read and not decoded, in bytes. */
  long undecodedBytes() {
    return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
  }

  /** Returns the estimated memory of the part of a request that has been decoded, in bytes. */
  long decodedBytes() {
    return decodedBytes;
  }

  /**
   * Returns true if the decoder holds bytes that were not admitted. Any further read, even of no
   * bytes, queries the admission again.
   */
  boolean paused() {
    return paused;
  }

  /** Returns true if a part of a request has been read, but not its end. */
  boolean holdsPartialRequest() {
    return withinRequest || actualReadableBytes() > 0;
  }
}
