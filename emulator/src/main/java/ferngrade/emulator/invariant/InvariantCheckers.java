package ferngrade.emulator.invariant;

import ferngrade.emulator.Scenario;
import java.util.List;

/** The judges of all rules, for one run. */
public final class InvariantCheckers {
  private final SlowStartChecker cold = new SlowStartChecker();
  private final List<InvariantChecker> judges;

  /** Judges that have seen nothing yet. */
  public InvariantCheckers(Scenario scenario) {
    judges =
        List.of(
            new FinalAnswerChecker(),
            new RetryChecker(scenario),
            new DrainChecker(scenario),
            cold,
            new RejectionChecker(scenario));
  }

  /** The judges, each an observer. */
  public List<InvariantChecker> judges() {
    return judges;
  }

  /** Ends the watch. */
  public void finish(double now) {
    judges.forEach(judge -> judge.finish(now));
  }

  /** The breaches of all rules. */
  public long breaches() {
    return judges.stream().mapToLong(InvariantChecker::count).sum();
  }

  /** Workers that fell while cold, whoever was to blame. */
  public long fallen() {
    return cold.fallen();
  }
}
