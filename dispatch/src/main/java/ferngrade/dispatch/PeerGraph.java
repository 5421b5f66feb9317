package ferngrade.dispatch;

import java.util.Arrays;
import java.util.stream.IntStream;

/** The graph of peers: a ring with chords, so that spare slots cross a large fleet in few steps. */
final class PeerGraph {
  /** Peers a dispatcher has at most; bounds messages and, through 1/(bound + 1), the step. */
  private static final int MAX_PEERS = 6;

  private PeerGraph() {}

  /**
   * The numbers of this dispatcher's peers, ascending; the other end of each link has this one
   * among its own.
   */
  static int[] links(int me, int dispatchers) {
    if (dispatchers <= MAX_PEERS + 1) {
      return IntStream.range(0, dispatchers).filter(peer -> peer != me).toArray();
    }
    int[] links = new int[MAX_PEERS];
    int chords = MAX_PEERS / 2;
    for (int i = 0; i < chords; i++) {
      int reach = (int) Math.round(Math.pow(dispatchers / 2.0, (double) i / chords));
      links[2 * i] = Math.floorMod(me + reach, dispatchers);
      links[2 * i + 1] = Math.floorMod(me - reach, dispatchers);
    }
    return Arrays.stream(links).sorted().distinct().toArray();
  }
}
