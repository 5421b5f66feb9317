package ferngrade.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Buffers the bytes of one connection that have been read and not decoded yet, up to a limit. Bytes
 * beyond the limit, and all bytes after them, are dropped, because the beginning of the next
 * request could no longer be found. Confined to the event loop.
 */
final class UndecodedBytes {
  /** The maximum number of bytes buffered for one connection. */
  private static final int MAX_BYTES = 16 << 10;

  private final Deque<ByteBuf> buffers = new ArrayDeque<>();
  private int byteCount;
  private boolean overflowed;

  boolean isEmpty() {
    return buffers.isEmpty();
  }

  /** Returns true once bytes have been dropped. */
  boolean overflowed() {
    return overflowed;
  }

  /**
   * Copies and releases a buffer, whose capacity may exceed its content by far. Returns false if
   * the content was dropped because the limit is exceeded.
   */
  boolean add(ByteBuf buffer) {
    overflowed = overflowed || byteCount + buffer.readableBytes() > MAX_BYTES;
    if (!overflowed) {
      byteCount += buffer.readableBytes();
      buffers.add(buffer.copy());
    }
    buffer.release();
    return !overflowed;
  }

  /** Returns the number of bytes buffered. */
  int size() {
    return byteCount;
  }

  /** Removes and returns the oldest buffer, which the caller takes over; null if there is none. */
  ByteBuf poll() {
    ByteBuf first = buffers.poll();
    byteCount -= first == null ? 0 : first.readableBytes();
    return first;
  }

  /** Releases all buffers after the connection has ended. */
  void release() {
    buffers.forEach(ByteBuf::release);
    buffers.clear();
    byteCount = 0;
  }
}
