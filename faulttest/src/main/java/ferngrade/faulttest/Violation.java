package ferngrade.faulttest;

/** Something that must hold and did not: when, ms from the start, which rule, and what was seen. */
public record Violation(double at, String rule, String seen) {
  @Override
  public String toString() {
    return String.format("%.0f ms: %s: %s", at, rule, seen);
  }
}
