package ferngrade.emulator.invariant;

import ferngrade.emulator.Scenario;
import java.util.List;

/** Holds the checkers of all invariants for one run. */
public final class InvariantCheckers {
  private final SlowStartChecker slowStart = new SlowStartChecker();
  private final List<InvariantChecker> checkers;

  /** Creates the checkers for a run of the scenario. */
  public InvariantCheckers(Scenario scenario) {
    checkers =
        List.of(
            new FinalAnswerChecker(),
            new RetryChecker(scenario),
            new DrainChecker(scenario),
            slowStart,
            new RejectionChecker(scenario));
  }

  /** Returns the checkers, which must observe the run. */
  public List<InvariantChecker> all() {
    return checkers;
  }

  /** Finishes all checkers at the end of the run. */
  public void finish(double now) {
    checkers.forEach(checker -> checker.finish(now));
  }

  /** Returns the number of violations of all rules. */
  public long violationCount() {
    return checkers.stream().mapToLong(InvariantChecker::violationCount).sum();
  }

  /**
   * Returns the number of all workers that crashed from overload while cold, including crashes that
   * are not violations.
   */
  public long crashedWorkers() {
    return slowStart.crashedWorkers();
  }
}
