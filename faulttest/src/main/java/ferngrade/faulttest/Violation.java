package ferngrade.faulttest;

/**
 * An invariant that did not hold: the time in ms since the start, the rule, and what was observed.
 */
public record Violation(double at, String rule, String description) {
  @Override
  public String toString() {
    return String.format("%.0f ms: %s: %s", at, rule, description);
  }
}
