package ferngrade.dispatch;

import java.nio.ByteBuffer;

/**
 * Encodes the message that a dispatcher sends to its peers in each budget cycle: the number of the
 * cycle, the slice, the excess demand (negative if the slice exceeds the demand), and the demand of
 * each tenant. All values are big-endian and in slots per second, except for the number of the
 * cycle.
 */
final class PeerMessage {
  private static final int HEAD = 12;

  private PeerMessage() {}

  static byte[] write(int cycle, double slice, double over, double[] demands) {
    ByteBuffer body = ByteBuffer.allocate(HEAD + 4 * demands.length);
    body.putInt(cycle).putFloat((float) slice).putFloat((float) over);
    for (double demand : demands) {
      body.putFloat((float) demand);
    }
    return body.array();
  }

  /**
   * Decodes a message with this number of tenants. Returns null if it is malformed: if its length
   * is wrong, the slice or a demand is negative, or a value is not finite.
   */
  static PeerState read(byte[] message, int tenants) {
    if (message.length != HEAD + 4 * tenants) {
      return null;
    }
    ByteBuffer body = ByteBuffer.wrap(message, 4, message.length - 4);
    PeerState peer = new PeerState(body.getFloat(), body.getFloat(), new double[tenants]);
    boolean sound =
        Double.isFinite(peer.slice) && peer.slice >= 0 && Double.isFinite(peer.excessDemand);
    for (int i = 0; i < tenants; i++) {
      peer.demands[i] = body.getFloat();
      sound &= Double.isFinite(peer.demands[i]) && peer.demands[i] >= 0;
    }
    return sound ? peer : null;
  }
}
