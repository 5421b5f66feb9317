package ferngrade.dispatch;

/** One tenant's quota of the slice and its token bucket, in slots and slots a second. */
final class TenantShare {
  final double weight;

  /** Slots requested since the last budget cycle. */
  double requested;

  /** Smoothed slots requested a second. */
  double demand;

  /** Slots a second that are admitted; infinite while all demand fits. */
  double level = Double.POSITIVE_INFINITY;

  /** Slots in the token bucket as of {@code tokensAt} (ms); negative while overdrawn. */
  double tokens;

  double tokensAt;

  TenantShare(double weight) {
    this.weight = weight;
  }
}
