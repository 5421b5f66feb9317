package ferngrade.node;

/** Sends messages to the other nodes of the cluster; messages may be lost. */
@FunctionalInterface
public interface PeerTransport {
  /**
   * Sends a message of at most 256 bytes to the peer with this number, or to all peers if the
   * number is negative.
   */
  void send(int peer, byte[] message);
}
