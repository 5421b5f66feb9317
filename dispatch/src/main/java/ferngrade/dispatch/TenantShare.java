package ferngrade.dispatch;

/**
 * The state of one tenant: its quota of the slice and its token bucket. Amounts are in slots, rates
 * in slots per second.
 */
final class TenantShare {
  final double weight;

  /** Slots requested since the last budget cycle. */
  double requested;

  /** Smoothed rate of requested slots per second. */
  double demand;

  /** Admitted slots per second; infinite while the slice covers all demand. */
  double quota = Double.POSITIVE_INFINITY;

  /** Slots in the token bucket as of {@code tokensAt} (ms); negative while overdrawn. */
  double tokens;

  double tokensAt;

  TenantShare(double weight) {
    this.weight = weight;
  }
}
