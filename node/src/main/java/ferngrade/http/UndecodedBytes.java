package ferngrade.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bytes of one connection that have been read and not decoded yet, up to a bound. What comes beyond
 * it is dropped, and so is all that follows: it could not be told where a request begins. Belongs
 * to the event loop.
 */
final class UndecodedBytes {
  /** The most bytes kept for one connection. */
  private static final int MAX_BYTES = 16 << 10;

  private final Deque<ByteBuf> waiting = new ArrayDeque<>();
  private int bytes;
  private boolean overflowed;

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** True once bytes have been dropped. */
  boolean overflowed() {
    return overflowed;
  }

  /** Takes over a buffer; false if it was dropped, for lack of capacity. */
  boolean add(ByteBuf buffer) {
    overflowed = overflowed || bytes + buffer.readableBytes() > MAX_BYTES;
    if (overflowed) {
      buffer.release();
    } else {
      bytes += buffer.readableBytes();
      waiting.add(buffer);
    }
    return !overflowed;
  }

  /** The buffer that came first, which the caller takes over; null if there is none. */
  ByteBuf poll() {
    ByteBuf first = waiting.poll();
    bytes -= first == null ? 0 : first.readableBytes();
    return first;
  }

  /** Releases all buffers: the connection has ended. */
  void release() {
    waiting.forEach(ByteBuf::release);
    waiting.clear();
    bytes = 0;
  }
}
