package ferngrade.dispatch;

/**
 * The behaviour of freshly started workers. A worker starts with {@code startCapacity} (0 to 1) of
 * its capacity and reaches full capacity after {@code coldMs}. It fails if it receives more than
 * {@code fallMultiple} times its present capacity for {@code tipMs}.
 */
public record SlowStartPolicy(
    double startCapacity, double coldMs, double fallMultiple, double tipMs) {
  public SlowStartPolicy {
    Preconditions.checkRange(
        startCapacity >= 0 && startCapacity <= 1, "ColdRule.startCapacity", startCapacity);
    Preconditions.checkRange(coldMs >= 0, "ColdRule.coldMs", coldMs);
    Preconditions.checkRange(fallMultiple > 0, "ColdRule.fallMultiple", fallMultiple);
    Preconditions.checkRange(tipMs > 0, "ColdRule.tipMs", tipMs);
  }
}
