package ferngrade.dispatch;

/**
 * The rules for fresh workers: one starts with {@code startCapacity} of its capacity, is warm after
 * {@code coldMs}, and falls over when sent more than {@code fallMultiple} times its present
 * capacity for {@code tipMs}.
 */
public record SlowStartPolicy(
    double startCapacity, double coldMs, double fallMultiple, double tipMs) {
  public SlowStartPolicy {
    Preconditions.that(
        startCapacity >= 0 && startCapacity <= 1, "ColdRule.startCapacity", startCapacity);
    Preconditions.that(coldMs >= 0, "ColdRule.coldMs", coldMs);
    Preconditions.that(fallMultiple > 0, "ColdRule.fallMultiple", fallMultiple);
    Preconditions.that(tipMs > 0, "ColdRule.tipMs", tipMs);
  }
}
