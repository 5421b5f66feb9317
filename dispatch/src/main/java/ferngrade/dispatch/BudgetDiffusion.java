package ferngrade.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Balances slots between neighbouring dispatchers. In each cycle a dispatcher sends its excess
 * demand to its peers, and both ends of a link change their slices by opposite amounts computed
 * from the two messages, so that the sum of the slices is preserved. Rates are in slots per second.
 * Event thread only.
 */
final class BudgetDiffusion {
  /** Number of budget cycles for which a peer's last message remains valid. */
  private static final int MAX_MESSAGE_AGE_CYCLES = 3;

  private final TenantQuotas quotas;
  private final int[] peers;
  private final Map<Integer, PeerState> lastMessages = new HashMap<>();
  private double sentExcessDemand;
  private int cycle;

  BudgetDiffusion(int dispatcherIndex, int dispatcherCount, TenantQuotas quotas) {
    this.peers = PeerGraph.peersOf(dispatcherIndex, dispatcherCount);
    this.quotas = quotas;
  }

  /** Begins a budget cycle and drops the messages of peers that have stopped sending. */
  void startCycle() {
    cycle++;
    lastMessages.values().removeIf(peer -> cycle - peer.receivedInCycle > MAX_MESSAGE_AGE_CYCLES);
  }

  /** Returns the numbers of the peers of this dispatcher, in ascending order. */
  int[] peers() {
    return peers;
  }

  /**
   * Returns the change of the slice. It is computed from the messages sent last, so that both ends
   * of a link compute opposite amounts.
   */
  double sliceChange() {
    double change = 0;
    double linkWeight = 1.0 / (peers.length + 1);
    for (PeerState peer : lastMessages.values()) {
      change += linkWeight * (sentExcessDemand - peer.excessDemand);
    }
    return change;
  }

  /** Returns this cycle's message, which goes to all peers. */
  byte[] message(double slice) {
    sentExcessDemand = pooledDemand(slice) - slice;
    return PeerMessage.write(cycle, slice, sentExcessDemand, quotas.demands());
  }

  /** Handles a message; ignores a malformed one or one from a dispatcher that is not a peer. */
  void receive(int sender, byte[] message) {
    PeerState peer =
        Arrays.binarySearch(peers, sender) < 0 ? null : PeerMessage.read(message, quotas.size());
    if (peer != null) {
      peer.receivedInCycle = cycle;
      lastMessages.put(sender, peer);
    }
  }

  /**
   * Returns the part of the local demand that fits if this dispatcher and its peers pool their
   * slots. The demand beyond that part must not count: in a deep overload every slice would then
   * shrink by the same amount. That amount may exceed the whole demand of a small dispatcher, which
   * would starve.
   */
  private double pooledDemand(double slice) {
    double pooledSlots = slice;
    double[] demands = quotas.demands();
    for (PeerState peer : lastMessages.values()) {
      pooledSlots += peer.slice;
      for (int i = 0; i < demands.length; i++) {
        demands[i] += peer.demands[i];
      }
    }
    return quotas.demandWithin(pooledSlots, demands);
  }
}
