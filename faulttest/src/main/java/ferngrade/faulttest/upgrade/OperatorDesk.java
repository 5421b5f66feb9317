package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.upgrade.Observations.Verb;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * An operator who takes workers out and back all the time, at whichever process of the node listens
 * and is not stopped.
 */
final class OperatorDesk extends BackgroundLoop {
  private static final int MIN_PAUSE = 100;
  private static final int MAX_PAUSE = 600;

  private final UpgradeRun run;
  private final Random random;
  private final Set<String> out = new HashSet<>();

  /** The process that must not be called, as it could not answer; null if there is none. */
  private volatile ServingProcess avoided;

  OperatorDesk(UpgradeRun run, long seed) {
    super("operator");
    this.run = run;
    this.random = new Random(seed);
  }

  /** Leaves this process alone from now on; null for none. */
  void avoid(ServingProcess process) {
    avoided = process;
  }

  @Override
  void step() throws InterruptedException {
    Thread.sleep(MIN_PAUSE + random.nextInt(MAX_PAUSE - MIN_PAUSE));
    List<ServingProcess> callable = new ArrayList<>(run.alive());
    callable.removeIf(each -> each == avoided || each.operatorsNow() == null);
    if (!callable.isEmpty()) {
      toggle(callable.get(random.nextInt(callable.size())));
    }
  }

  private void toggle(ServingProcess process) {
    String worker = "s-" + (1 + random.nextInt(SoakPlan.DESK_WORKERS));
    Verb verb = out.contains(worker) ? Verb.ENABLE : Verb.DISABLE;
    if (run.operate(process, verb, worker).accepted()) {
      if (verb == Verb.DISABLE) {
        out.add(worker);
      } else {
        out.remove(worker);
      }
    }
  }
}
