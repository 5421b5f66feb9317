package ferngrade.jobstore;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The frame of what a log writes and syncs at once: its length, a CRC-32C over length, number and
 * content, its number, the content. A batch is begun only when the one before it is synced, so one
 * that cannot be read is a torn tail if none that can follows it.
 */
public final class LogBatch {
  /** Bytes before the content. */
  public static final int HEADER = 16;

  private static final int MOST = 64 << 20;

  private LogBatch() {}

  /** Writes the frame into the first {@link #HEADER} bytes, which the content follows. */
  public static byte[] frame(byte[] all, long number) {
    int length = all.length - HEADER;
    ByteBuffer.wrap(all).putInt(0, length).putLong(8, number);
    ByteBuffer.wrap(all).putInt(4, checksum(all, 8, 8 + length, length));
    return all;
  }

  /** The length of the content of the batch at an offset, -1 if none can be read there. */
  public static int lengthAt(ByteBuffer in, int at) {
    if (in.capacity() - at < HEADER) {
      return -1;
    }
    int length = in.getInt(at);
    if (length < 0 || length > MOST || length > in.capacity() - at - HEADER) {
      return -1;
    }
    int from = in.arrayOffset() + at + 8;
    return in.getInt(at + 4) == checksum(in.array(), from, 8 + length, length) ? length : -1;
  }

  /** The number of the batch at an offset where one can be read. */
  public static long numberAt(ByteBuffer in, int at) {
    return in.getLong(at + 8);
  }

  /**
   * True if a batch later than {@code number} + 1 can be read behind an offset: what stands there
   * was synced.
   */
  public static boolean followed(ByteBuffer in, int from, long number) {
    for (int at = from + 1; at <= in.capacity() - HEADER; at++) {
      long its = numberAt(in, at);
      if (its > number + 1 && its < number + 1_000_000_000L && lengthAt(in, at) >= 0) {
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
