package ferngrade.node;

/** Sends messages to the other nodes of the cluster; they may be lost. */
@FunctionalInterface
public interface PeerTransport {
  /** Sends at most 256 bytes to the peer with this number, or to all if it is negative. */
  void tell(int peer, byte[] message);
}
