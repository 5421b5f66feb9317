package ferngrade.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Moves slots between neighbouring dispatchers: each cycle a dispatcher sends its excess demand to
 * its peers, and each end of a link moves its slice by the difference of both messages, so that the
 * sum of the slices stays. Rates are slots a second. Event thread only.
 */
final class BudgetDiffusion {
  /** Budget cycles for which a peer's last message counts. */
  private static final int FRESH_CYCLES = 3;

  private final TenantQuotas quotas;
  private final int[] peers;
  private final Map<Integer, PeerState> lastMessages = new HashMap<>();
  private double sentExcessDemand;
  private int cycle;

  BudgetDiffusion(int me, int dispatchers, TenantQuotas quotas) {
    this.peers = PeerGraph.links(me, dispatchers);
    this.quotas = quotas;
  }

  /** Begins a budget cycle: messages of peers that have gone silent no longer count. */
  void startCycle() {
    cycle++;
    lastMessages.values().removeIf(peer -> cycle - peer.receivedInCycle > FRESH_CYCLES);
  }

  /** The numbers of the dispatchers that messages go to, ascending. */
  int[] peers() {
    return peers;
  }

  /** The change of the slice, by the messages sent last, so that both ends of a link agree. */
  double step() {
    double step = 0;
    double gamma = 1.0 / (peers.length + 1);
    for (PeerState last : lastMessages.values()) {
      step += gamma * (sentExcessDemand - last.excessDemand);
    }
    return step;
  }

  /** The message of this cycle to all peers. */
  byte[] message(double slice) {
    sentExcessDemand = sharedDemand(slice) - slice;
    return PeerMessage.write(cycle, slice, sentExcessDemand, quotas.demands());
  }

  /** Takes a peer's message; a malformed one, or one from no peer, is ignored. */
  void receive(int from, byte[] message) {
    PeerState peer =
        Arrays.binarySearch(peers, from) < 0 ? null : PeerMessage.read(message, quotas.size());
    if (peer != null) {
      peer.receivedInCycle = cycle;
      lastMessages.put(from, peer);
    }
  }

  /**
   * The demand here within the level that this dispatcher and its peers could hold together. If the
   * whole demand counted, small dispatchers would starve: in a deep overload every slice loses the
   * same amount, which may be more than all that a small one asks for.
   */
  private double sharedDemand(double slice) {
    double slots = slice;
    double[] demands = quotas.demands();
    for (PeerState last : lastMessages.values()) {
      slots += last.slice;
      for (int i = 0; i < demands.length; i++) {
        demands[i] += last.demands[i];
      }
    }
    return quotas.demandWithin(slots, demands);
  }
}
