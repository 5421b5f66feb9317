package ferngrade.transport;

import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Reads a connection immediately, ahead of the event loop's next select. The loop detects a closed
 * connection only in a select. The loop's other work or a pause of the machine may delay the next
 * select beyond the time within which the node has to notice a close.
 */
public final class PendingReads {
  /**
   * The maximum number of bytes to read in one call: more than the operating system buffers for one
   * connection by default.
   */
  private static final int MAX_READ_BYTES = 8 << 20;

  /** The maximum number of connections that one read of a listener accepts. */
  public static final int MAX_ACCEPTS = 16;

  private PendingReads() {}

  /**
   * Reads some of the bytes that are pending on the connection, if it is open. Must be called on
   * the thread of its event loop.
   */
  public static void read(AbstractNioChannel connection) {
    if (connection.isActive()) {
      connection.unsafe().read();
    }
  }

  /**
   * Accepts the connections that are pending on a listener, so that closing the listener does not
   * reset them and discard what their peers have sent. Must be called on the thread of the
   * listener's event loop.
   *
   * @param accepted returns the number of connections accepted so far
   * @param hasCapacity returns true while more connections can be accepted
   */
  public static void acceptWaiting(
      AbstractNioChannel listener, LongSupplier accepted, BooleanSupplier hasCapacity) {
    long previous = -1;
    while (listener.isActive() && accepted.getAsLong() > previous && hasCapacity.getAsBoolean()) {
      previous = accepted.getAsLong();
      listener.unsafe().read();
    }
  }

  /**
   * Reads the bytes that are pending on the connection and passes them to its pipeline. Must be
   * called on the thread of its event loop.
   *
   * @param bytesRead returns the number of bytes that have been passed to the pipeline so far
   * @return false if the peer has closed the connection
   */
  public static boolean readAndCheckOpen(AbstractNioChannel connection, LongSupplier bytesRead) {
    long limit = bytesRead.getAsLong() + MAX_READ_BYTES;
    long previous;
    do {
      previous = bytesRead.getAsLong();
      connection.unsafe().read();
    } while (connection.isActive()
        && bytesRead.getAsLong() > previous
        && bytesRead.getAsLong() < limit);
    return connection.isActive();
  }
}
