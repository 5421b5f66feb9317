package ferngrade.emulator.judge;

import ferngrade.emulator.Scenario;
import java.util.List;

/** The judges of all rules, for one run. */
public final class Bench {
  private final ColdJudge cold = new ColdJudge();
  private final List<Judge> judges;

  /** Judges that have seen nothing yet. */
  public Bench(Scenario scenario) {
    judges =
        List.of(
            new AnswerJudge(),
            new RepeatJudge(scenario),
            new DrainJudge(scenario),
            cold,
            new RefusalJudge(scenario));
  }

  /** The judges, each an observer. */
  public List<Judge> judges() {
    return judges;
  }

  /** Ends the watch. */
  public void finish(double now) {
    judges.forEach(judge -> judge.finish(now));
  }

  /** The breaches of all rules. */
  public long breaches() {
    return judges.stream().mapToLong(Judge::count).sum();
  }

  /** Workers that fell while cold, whoever was to blame. */
  public long fallen() {
    return cold.fallen();
  }
}
