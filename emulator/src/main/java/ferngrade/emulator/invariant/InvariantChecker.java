package ferngrade.emulator.invariant;

import ferngrade.emulator.Observer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Watches a run for one rule. A judge knows only what observers see, shares no code with the
 * program, and keeps notes of its own.
 */
public abstract class InvariantChecker implements Observer {
  /** Breaches kept with their text; more are only counted. */
  private static final int MOST_KEPT = 20;

  private final String rule;
  private final List<Breach> breaches = new ArrayList<>();
  private long count;

  /** One breach of a rule. */
  public record Breach(String rule, double at, String what) {}

  InvariantChecker(String rule) {
    this.rule = rule;
  }

  /** The rule's short name. */
  public String rule() {
    return rule;
  }

  final void breach(double now, String what) {
    count++;
    if (breaches.size() < MOST_KEPT) {
      breaches.add(new Breach(rule, now, what));
    }
  }

  /** The first breaches seen. */
  public List<Breach> breaches() {
    return Collections.unmodifiableList(breaches);
  }

  /** All breaches seen. */
  public long count() {
    return count;
  }

  /** Called once, when the run is over. */
  public void finish(double now) {}
}
