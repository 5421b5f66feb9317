package ferngrade.discovery;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts the body of an answer into JSON objects: one a line, or indented over several. A blank line
 * between objects is a sign of life; within one it means that the rest of that will not come. Each
 * ends with its line.
 *
 * <p>The bytes are read once, as they come, and what is kept of an object lies on the heap: only
 * that grows with the list, and the few direct buffers of the connection stay as small as for any
 * other answer.
 */
final class JsonObjectFramer {
  private static final int INITIAL_CAPACITY = 1024;

  private final int maxLength;
  private byte[] object = new byte[INITIAL_CAPACITY];
  private int length;
  private int depth;
  private boolean inString;
  private boolean escaped;

  /** Nothing but white space has come in this line. */
  private boolean blankLine = true;

  /** An earlier line has begun an object that is not complete yet. */
  private boolean begun;

  /** What the end of a line may bring. */
  sealed interface Event {}

  /** An object is complete. */
  record CompleteObject(String json) implements Event {}

  /** A blank line, between objects. */
  record KeepAlive() implements Event {}

  /** Objects of at most so many bytes, line ends among them. */
  JsonObjectFramer(int maxLength) {
    this.maxLength = maxLength;
  }

  /**
   * Reads on to the next event; null if it takes more bytes than these. An {@link
   * IllegalArgumentException} says that an object is too long or ends before it is complete;
   * nothing of it is kept.
   */
  Event next(ByteBuf bytes) {
    while (bytes.isReadable()) {
      int toLineEnd = bytes.bytesBefore((byte) '\n') + 1;
      append(bytes, toLineEnd > 0 ? toLineEnd : bytes.readableBytes());
      Event event = toLineEnd > 0 ? lineEnd() : null;
      if (event != null) {
        return event;
      }
    }
    return null;
  }

  private void append(ByteBuf bytes, int count) {
    if (length + count > maxLength) {
      clear();
      throw new IllegalArgumentException("an object is too long");
    }
    if (length + count > object.length) {
      object =
          Arrays.copyOf(object, Math.min(maxLength, Math.max(2 * object.length, length + count)));
    }
    bytes.readBytes(object, length, count);
    for (int i = length; i < length + count; i++) {
      scan(object[i]);
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

  private Event lineEnd() {
    boolean blank = blankLine;
    blankLine = true;
    if (blank && begun) {
      clear();
      throw new IllegalArgumentException("an object breaks off");
    }
    if (blank) {
      clear();
      return new KeepAlive();
    }
    begun = depth > 0;
    if (begun) {
      return null;
    }
    String json = new String(object, 0, length, StandardCharsets.UTF_8);
    clear();
    return new CompleteObject(json);
  }

  private void clear() {
    if (object.length > INITIAL_CAPACITY) {
      object = new byte[INITIAL_CAPACITY];
    }
    length = 0;
    depth = 0;
    inString = false;
    escaped = false;
    blankLine = true;
    begun = false;
  }
}
