package ferngrade.discovery;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits the body of a response into JSON objects, each on a line of its own or indented over
 * several lines. An object ends at the end of a line. A blank line between objects is a keep-alive;
 * a blank line within an object means that the rest of the object is missing.
 *
 * <p>Each byte is scanned once, on arrival, and incomplete objects are buffered on the heap. Only
 * this buffer grows with the list; the few read buffers of the connection stay as small as for any
 * other response.
 */
final class JsonObjectFramer {
  private static final int INITIAL_CAPACITY = 1024;

  private final int maxLength;
  private byte[] buffer = new byte[INITIAL_CAPACITY];
  private int length;
  private int depth;
  private boolean inString;
  private boolean escaped;

  /** True while the current line holds nothing but white space. */
  private boolean blankLine = true;

  /** True if an earlier line has begun an object that is not complete yet. */
  private boolean objectOpen;

  /** The result of a line that completes an object or is blank. */
  sealed interface Event {}

  /** A complete object, with its line ends. */
  record CompleteObject(String json) implements Event {}

  /** A blank line between objects. */
  record KeepAlive() implements Event {}

  /** Creates a framer for objects of at most {@code maxLength} bytes, line ends included. */
  JsonObjectFramer(int maxLength) {
    this.maxLength = maxLength;
  }

  /**
   * Reads up to the next event; returns null if the event needs more bytes.
   *
   * @throws IllegalArgumentException if an object is too long or is cut off by a blank line; the
   *     framer discards that object
   */
  Event next(ByteBuf bytes) {
    while (bytes.isReadable()) {
      int lineLength = bytes.bytesBefore((byte) '\n') + 1;
      append(bytes, lineLength > 0 ? lineLength : bytes.readableBytes());
      Event event = lineLength > 0 ? endLine() : null;
      if (event != null) {
        return event;
      }
    }
    return null;
  }

  private void append(ByteBuf bytes, int count) {
    if (length + count > maxLength) {
      clear();
      throw new IllegalArgumentException("object is too long");
    }
    if (length + count > buffer.length) {
      buffer =
          Arrays.copyOf(buffer, Math.min(maxLength, Math.max(2 * buffer.length, length + count)));
    }
    bytes.readBytes(buffer, length, count);
    for (int i = length; i < length + count; i++) {
      scan(buffer[i]);
    }
    length += count;
  }

  private void scan(byte c) {
    blankLine &= c >= 0 && c <= ' ';
    if (inString) {
      inString = escaped || c != '"';
      escaped = !escaped && c == '\\';
    } else if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      depth++;
    } else if (c == '}' || c == ']') {
      depth--;
    }
  }

  private Event endLine() {
    boolean blank = blankLine;
    blankLine = true;
    if (blank && objectOpen) {
      clear();
      throw new IllegalArgumentException("object is cut off by a blank line");
    }
    if (blank) {
      clear();
      return new KeepAlive();
    }
    objectOpen = depth > 0;
    if (objectOpen) {
      return null;
    }
    String json = new String(buffer, 0, length, StandardCharsets.UTF_8);
    clear();
    return new CompleteObject(json);
  }

  private void clear() {
    if (buffer.length > INITIAL_CAPACITY) {
      buffer = new byte[INITIAL_CAPACITY];
    }
    length = 0;
    depth = 0;
    inString = false;
    escaped = false;
    blankLine = true;
    objectOpen = false;
  }
}
