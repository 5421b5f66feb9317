package ferngrade.dispatch;

import java.nio.ByteBuffer;

/**
 * The message that a dispatcher sends to its peers each budget cycle: the number of the cycle, its
 * slice, its excess demand (negative if its slice is larger), and the demand of each tenant, all
 * big-endian and in slots a second.
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
   * Reads a message of so many tenants. Null if it is malformed: of a wrong length, or with figures
   * that no dispatcher has (a slice or a demand below 0, or what is not finite).
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
