package ferngrade.dispatch;

import java.nio.ByteBuffer;

/**
 * Encodes the message that a dispatcher sends to its peers in each budget cycle: the number of the
 * cycle, the slice, the excess demand (negative if the slice exceeds the demand), and the demand of
 * each tenant. All values are big-endian; the slice and the demands are in slots per second.
 */
final class PeerMessage {
  private static final int HEADER_LENGTH = 12;

  private PeerMessage() {}

  static byte[] write(int cycle, double slice, double excessDemand, double[] demands) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_LENGTH + 4 * demands.length);
    buffer.putInt(cycle).putFloat((float) slice).putFloat((float) excessDemand);
    for (double demand : demands) {
      buffer.putFloat((float) demand);
    }
    return buffer.array();
  }

  /**
   * Decodes a message with this number of tenants. Returns null if it is malformed: if its length
   * is wrong, the slice or a demand is negative, or a value is not finite.
   */
  static PeerState read(byte[] message, int tenants) {
    if (message.length != HEADER_LENGTH + 4 * tenants) {
      return null;
    }
    ByteBuffer buffer = ByteBuffer.wrap(message, 4, message.length - 4);
    PeerState peer = new PeerState(buffer.getFloat(), buffer.getFloat(), new double[tenants]);
    boolean valid =
        Double.isFinite(peer.slice) && peer.slice >= 0 && Double.isFinite(peer.excessDemand);
    for (int i = 0; i < tenants; i++) {
      peer.demands[i] = buffer.getFloat();
      valid &= Double.isFinite(peer.demands[i]) && peer.demands[i] >= 0;
    }
    return valid ? peer : null;
  }
}
