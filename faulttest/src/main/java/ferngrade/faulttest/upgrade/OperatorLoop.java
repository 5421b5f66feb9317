package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.upgrade.Observations.Verb;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * An operator that repeatedly disables and enables workers, each time at a random process of the
 * node that listens and is not stopped.
 */
final class OperatorLoop extends BackgroundLoop {
  private static final int MIN_PAUSE_MILLIS = 100;
  private static final int MAX_PAUSE_MILLIS = 600;

  private final UpgradeRun run;
  private final Random random;
  private final Set<String> disabled = new HashSet<>();

  /**
   * The process that the operator must not call, because the process cannot answer; null if all
   * processes can answer.
   */
  private volatile ServingProcess avoided;

  OperatorLoop(UpgradeRun run, long seed) {
    super("operator");
    this.run = run;
    this.random = new Random(seed);
  }

  /** Excludes this process from calls from now on; null excludes none. */
  void avoid(ServingProcess process) {
    avoided = process;
  }

  @Override
  void step() throws InterruptedException {
    Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
    List<ServingProcess> callable = new ArrayList<>(run.alive());
    callable.removeIf(process -> process == avoided || process.operatorsIfListening() == null);
    if (!callable.isEmpty()) {
      toggle(callable.get(random.nextInt(callable.size())));
    }
  }

  private void toggle(ServingProcess process) {
    String worker = "s-" + (1 + random.nextInt(SoakPlan.OPERATOR_WORKERS));
    Verb verb = disabled.contains(worker) ? Verb.ENABLE : Verb.DISABLE;
    if (run.operate(process, verb, worker).accepted()) {
      if (verb == Verb.DISABLE) {
        disabled.add(worker);
      } else {
        disabled.remove(worker);
      }
    }
  }
}
