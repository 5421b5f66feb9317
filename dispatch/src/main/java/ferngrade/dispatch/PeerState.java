package ferngrade.dispatch;

/** The content of the last message from a peer. Rates are in slots per second. */
final class PeerState {
  /** This dispatcher's budget cycle in which the message was received. */
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
