package ferngrade.dispatch;

/** The last message of a peer, in slots a second. */
final class PeerState {
  /** The budget cycle of this dispatcher in which the message came. */
  int receivedInCycle;

  final double slice;

  /** The peer's demand minus its slice. */
  final double excessDemand;

  /** The peer's demand by tenant. */
  final double[] demands;

  PeerState(double slice, double excessDemand, double[] demands) {
    this.slice = slice;
    this.excessDemand = excessDemand;
    this.demands = demands;
  }
}
