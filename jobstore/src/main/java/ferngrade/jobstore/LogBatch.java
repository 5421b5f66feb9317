package ferngrade.jobstore;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Reads and writes the frame of a batch. A log writes each batch with one write and one sync. A
 * frame consists of the length of the content (4 bytes), a CRC-32C over length, number and content
 * (4), the batch number (8), and the content. A batch is started only after the previous one was
 * synced, so an unreadable batch is a torn tail unless a readable batch follows it.
 */
public final class LogBatch {
  /** The length of the frame before the content. */
  public static final int HEADER_BYTES = 16;

  private static final int MAX_CONTENT_BYTES = 64 << 20;

  /**
   * The bound on the difference between two batch numbers. Bytes that decode to a number that is
   * this far ahead or further are not a batch.
   */
  private static final long MAX_NUMBER_GAP = 1_000_000_000L;

  private LogBatch() {}

  /**
   * Writes the header into the first {@link #HEADER_BYTES} bytes of a batch; the content follows.
   */
  public static byte[] frame(byte[] batch, long number) {
    int length = batch.length - HEADER_BYTES;
    ByteBuffer.wrap(batch).putInt(0, length).putLong(8, number);
    ByteBuffer.wrap(batch).putInt(4, checksum(batch, 8, 8 + length, length));
    return batch;
  }

  /** Returns the content length of the batch at an offset; -1 if there is no readable batch. */
  public static int lengthAt(ByteBuffer in, int offset) {
    if (in.capacity() - offset < HEADER_BYTES) {
      return -1;
    }
    int length = in.getInt(offset);
    if (length < 0
        || length > MAX_CONTENT_BYTES
        || length > in.capacity() - offset - HEADER_BYTES) {
      return -1;
    }
    int from = in.arrayOffset() + offset + 8;
    return in.getInt(offset + 4) == checksum(in.array(), from, 8 + length, length) ? length : -1;
  }

  /** Returns the number of the readable batch at an offset. */
  public static long numberAt(ByteBuffer in, int offset) {
    return in.getLong(offset + 8);
  }

  /**
   * Returns whether a batch with a number above {@code number} + 1 is readable after an offset,
   * which shows that the data at the offset was synced.
   */
  public static boolean isFollowedByBatch(ByteBuffer in, int from, long number) {
    for (int offset = from + 1; offset <= in.capacity() - HEADER_BYTES; offset++) {
      long foundNumber = numberAt(in, offset);
      if (foundNumber > number + 1
          && foundNumber < number + MAX_NUMBER_GAP
          && lengthAt(in, offset) >= 0) {
        return true;
      }
    }
    return false;
  }

  private static int checksum(byte[] bytes, int from, int count, int length) {
    CRC32C crc = new CRC32C();
    crc.update(length >>> 24);
    crc.update(length >>> 16);
    crc.update(length >>> 8);
    crc.update(length);
    crc.update(bytes, from, count);
    return (int) crc.getValue();
  }
}
