package ferngrade.emulator.invariant;

import ferngrade.emulator.Observer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Checks one invariant during a run. A checker uses only observed events, keeps its own state and
 * shares no code with the program under test.
 */
public abstract class InvariantChecker implements Observer {
  /** The maximum number of violations that are stored with a message; others are only counted. */
  private static final int MAX_STORED_VIOLATIONS = 20;

  private final String rule;
  private final List<Violation> violations = new ArrayList<>();
  private long violationCount;

  /** A violation of a rule. */
  public record Violation(String rule, double at, String message) {}

  InvariantChecker(String rule) {
    this.rule = rule;
  }

  /** Returns the short name of the rule. */
  public String rule() {
    return rule;
  }

  final void reportViolation(double now, String message) {
    violationCount++;
    if (violations.size() < MAX_STORED_VIOLATIONS) {
      violations.add(new Violation(rule, now, message));
    }
  }

  /** Returns the first violations, with their messages. */
  public List<Violation> violations() {
    return Collections.unmodifiableList(violations);
  }

  /** Returns the number of all violations. */
  public long violationCount() {
    return violationCount;
  }

  /** Called once, at the end of the run. */
  public void finish(double now) {}
}
