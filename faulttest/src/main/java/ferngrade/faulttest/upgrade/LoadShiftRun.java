package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.Verb;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An upgrade on a machine that lacks processor time: the load shifts from a process that has served
 * for a while to one that has served little, beside busy processes that end some seconds later.
 */
public final class LoadShiftRun {
  private static final RunSettings SETTINGS =
      new RunSettings(new NodeLimits(256, 384), 4, new WorkerBehaviour(20, 20, 4, 16, true), 100);
  private static final int CLIENTS = 8;
  private static final double MEAN_PAUSE = 25;
  private static final double DEADLINE = 2000;

  /** How long the first process serves alone, ms. */
  private static final long WARM_UP = 4000;

  /** How long both serve before SIGTERM, and how long the busy processes go on after it, ms. */
  private static final long TOGETHER = 2000;

  private static final long BUSY_AFTER = 4000;

  /** How long the run looks on after the busy processes have ended, ms. */
  private static final long AFTERMATH = 6000;

  private static final int MAX_BUSY_SECONDS = 60;

  private LoadShiftRun() {}

  /** What came of a run. */
  public record Result(Observations observations, List<Violation> violations) {}

  /** Plays one upgrade with processes that {@code command} starts, beside {@code busy} others. */
  public static Result play(List<String> command, int busy, long seed)
      throws IOException, InterruptedException {
    try (UpgradeRun run = new UpgradeRun(command, SETTINGS)) {
      ServingProcess old = run.start();
      run.awaitReady(old);
      ClientLoad load = run.load(CLIENTS, MEAN_PAUSE, DEADLINE, seed);
      UtilisationSampler sampler = new UtilisationSampler(run);
      sampler.start();
      Thread.sleep(WARM_UP);
      try (BusyProcesses others = new BusyProcesses(busy, MAX_BUSY_SECONDS)) {
        run.observations().step(0, others.count() + " busy processes run beside");
        ServingProcess next = run.start();
        run.awaitReady(next);
        run.operate(old, Verb.DISABLE, run.workerNames().get(0));
        Thread.sleep(TOGETHER);
        run.signal(old, "TERM");
        Thread.sleep(BUSY_AFTER);
      }
      run.observations().step(0, "the busy processes have ended");
      Thread.sleep(AFTERMATH);
      sampler.stop();
      load.stop();
      List<Violation> found = new ArrayList<>(UpgradeChecker.check(run.observations(), false));
      found.addAll(IdleCapacityChecker.check(run.observations()));
      return new Result(run.observations(), found);
    }
  }
}
