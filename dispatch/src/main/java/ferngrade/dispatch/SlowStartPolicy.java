package ferngrade.dispatch;

/**
 * The behaviour of freshly started workers. A worker starts with {@code startCapacity} (0 to 1) of
 * its capacity and reaches full capacity after {@code warmUpMs}. It fails if it receives more than
 * {@code overloadFactor} times its present capacity for {@code overloadWindowMs}.
 */
public record SlowStartPolicy(
    double startCapacity, double warmUpMs, double overloadFactor, double overloadWindowMs) {
  public SlowStartPolicy {
    Preconditions.checkRange(
        startCapacity >= 0 && startCapacity <= 1, "ColdRule.startCapacity", startCapacity);
    Preconditions.checkRange(warmUpMs >= 0, "ColdRule.coldMs", warmUpMs);
    Preconditions.checkRange(overloadFactor > 0, "ColdRule.fallMultiple", overloadFactor);
    Preconditions.checkRange(overloadWindowMs > 0, "ColdRule.tipMs", overloadWindowMs);
  }
}
