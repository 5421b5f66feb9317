package ferngrade.transport;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * Allocates the buffers of channels on the heap, each of exactly its own size. Direct memory is
 * limited separately from the heap, and a failed reservation of it blocks the event loop. With
 * these buffers a channel takes direct memory only for the duration of one system call.
 */
public final class HeapBufferAllocator extends AbstractByteBufAllocator {
  /** The allocator of all channels. */
  public static final ByteBufAllocator INSTANCE = new HeapBufferAllocator();

  private HeapBufferAllocator() {
    super(false);
  }

  @Override
  public ByteBuf ioBuffer() {
    return heapBuffer();
  }

  @Override
  public ByteBuf ioBuffer(int initialCapacity) {
    return heapBuffer(initialCapacity);
  }

  @Override
  public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
    return heapBuffer(initialCapacity, maxCapacity);
  }

  @Override
  protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
    return new UnpooledHeapByteBuf(this, initialCapacity, maxCapacity);
  }

  @Override
  protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
    return UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maxCapacity);
  }

  /** Returns a buffer without leak detection, which heap buffers do not need. */
  @Override
  public CompositeByteBuf compositeHeapBuffer(int maxComponents) {
    return new CompositeByteBuf(this, false, maxComponents);
  }

  /** Returns false, so that a channel writes heap buffers as they are and does not copy them. */
  @Override
  public boolean isDirectBufferPooled() {
    return false;
  }
}
