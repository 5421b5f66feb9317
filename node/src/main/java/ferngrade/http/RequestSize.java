package ferngrade.http;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Map;

/** Estimates the memory of decoded requests. */
final class RequestSize {
  /** The memory of one header field beyond its characters, in bytes. */
  static final int HEADER_FIELD_BYTES = 128;

  /** The memory of a request without header fields and body, in bytes. */
  private static final int REQUEST_BYTES = 512;

  private RequestSize() {}

  /** Returns the estimated memory of a complete request, in bytes. */
  static long of(FullHttpRequest request) {
    long size = (long) REQUEST_BYTES + request.uri().length() + request.content().readableBytes();
    for (Map.Entry<String, String> header : request.headers()) {
      size += HEADER_FIELD_BYTES + header.getKey().length() + header.getValue().length();
    }
    return size;
  }
}
