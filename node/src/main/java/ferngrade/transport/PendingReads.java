package ferngrade.transport;

import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Reads a connection at once, ahead of the event loop's next select. The loop notices a close when
 * it selects; between two selects it may be held up, by its own work or by the machine, for longer
 * than a close may go unnoticed.
 */
public final class PendingReads {
  /** Bytes read in one go at most: more than the system holds for one connection by default. */
  private static final int MAX_BYTES = 8 << 20;

  /** Connections that one read of a listener accepts at most. */
  public static final int MAX_ACCEPTS = 16;

  private PendingReads() {}

  /**
   * Reads some of what waits on the connection, if that is open, on the thread of its event loop.
   */
  public static void read(AbstractNioChannel connection) {
    if (connection.isActive()) {
      connection.unsafe().read();
    }
  }

  /**
   * Accepts the connections that wait on a listener, on the thread of its event loop: closing it
   * would reset them, and with them what their peers have sent.
   *
   * @param accepted the count of connections accepted so far
   * @param capacity true while more connections fit
   */
  public static void acceptWaiting(
      AbstractNioChannel listener, LongSupplier accepted, BooleanSupplier capacity) {
    long before = -1;
    while (listener.isActive() && accepted.getAsLong() > before && capacity.getAsBoolean()) {
      before = accepted.getAsLong();
      listener.unsafe().read();
    }
  }

  /**
   * Reads what waits on the connection, through its pipeline, on the thread of its event loop.
   *
   * @param bytesRead the count of bytes that the pipeline has been passed so far
   * @return false if the peer has closed the connection
   */
  public static boolean openAfterReading(AbstractNioChannel connection, LongSupplier bytesRead) {
    long limit = bytesRead.getAsLong() + MAX_BYTES;
    long before;
    do {
      before = bytesRead.getAsLong();
      connection.unsafe().read();
    } while (connection.isActive()
        && bytesRead.getAsLong() > before
        && bytesRead.getAsLong() < limit);
    return connection.isActive();
  }
}
