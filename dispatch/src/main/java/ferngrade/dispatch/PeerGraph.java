package ferngrade.dispatch;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Computes the graph of peers: a ring with chords, over which unused slots reach any dispatcher of
 * a large fleet in few steps.
 */
final class PeerGraph {
  /**
   * Maximum number of peers of a dispatcher. It bounds the number of messages and the change of a
   * slice per link: a link moves 1/(number of peers + 1) of the difference in excess demand.
   */
  private static final int MAX_PEERS = 6;

  private PeerGraph() {}

  /**
   * Returns the numbers of this dispatcher's peers, in ascending order. Links are symmetric: each
   * peer has this dispatcher among its own peers.
   */
  static int[] peersOf(int dispatcherIndex, int dispatcherCount) {
    if (dispatcherCount <= MAX_PEERS + 1) {
      return IntStream.range(0, dispatcherCount).filter(peer -> peer != dispatcherIndex).toArray();
    }
    int[] peers = new int[MAX_PEERS];
    int chords = MAX_PEERS / 2;
    for (int i = 0; i < chords; i++) {
      int distance = (int) Math.round(StrictMath.pow(dispatcherCount / 2.0, (double) i / chords));
      peers[2 * i] = Math.floorMod(dispatcherIndex + distance, dispatcherCount);
      peers[2 * i + 1] = Math.floorMod(dispatcherIndex - distance, dispatcherCount);
    }
    return Arrays.stream(peers).sorted().distinct().toArray();
  }
}
