package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.Verb;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An upgrade on a machine that is short of processor time. The load shifts from a warmed-up process
 * to a newly started one while other processes keep the processors busy. The busy processes end
 * some seconds later.
 */
public final class LoadShiftRun {
  private static final RunSettings SETTINGS =
      new RunSettings(new NodeLimits(256, 384), 4, new WorkerBehaviour(20, 20, 4, 16, true), 100);
  private static final int CLIENTS = 8;
  private static final double MEAN_PAUSE_MILLIS = 25;
  private static final double DEADLINE_MILLIS = 2000;

  /** The time for which the first process serves alone, ms. */
  private static final long WARM_UP_MILLIS = 4000;

  /** The time for which both processes serve before SIGTERM, ms. */
  private static final long OVERLAP_MILLIS = 2000;

  /** The time for which the busy processes continue after SIGTERM, ms. */
  private static final long BUSY_AFTER_SIGTERM_MILLIS = 4000;

  /** The time for which the run continues after the busy processes have ended, ms. */
  private static final long SETTLE_TIME_MILLIS = 6000;

  private static final int MAX_BUSY_SECONDS = 60;

  private LoadShiftRun() {}

  /** The outcome of a run. */
  public record Result(Observations observations, List<Violation> violations) {}

  /**
   * Runs one upgrade with processes that {@code command} starts, while {@code busy} other processes
   * are busy.
   */
  public static Result run(List<String> command, int busy, long seed)
      throws IOException, InterruptedException {
    try (UpgradeRun run = new UpgradeRun(command, SETTINGS)) {
      ServingProcess old = run.start();
      run.awaitReady(old);
      ClientLoad load = run.load(CLIENTS, MEAN_PAUSE_MILLIS, DEADLINE_MILLIS, seed);
      UtilisationSampler sampler = new UtilisationSampler(run);
      sampler.start();
      Thread.sleep(WARM_UP_MILLIS);
      try (BusyProcesses busyProcesses = new BusyProcesses(busy, MAX_BUSY_SECONDS)) {
        run.observations().step(0, busyProcesses.count() + " busy processes started");
        ServingProcess next = run.start();
        run.awaitReady(next);
        run.operate(old, Verb.DISABLE, run.workerNames().get(0));
        Thread.sleep(OVERLAP_MILLIS);
        run.signal(old, "TERM");
        Thread.sleep(BUSY_AFTER_SIGTERM_MILLIS);
      }
      run.observations().step(0, "the busy processes have ended");
      Thread.sleep(SETTLE_TIME_MILLIS);
      sampler.stop();
      load.stop();
      List<Violation> violations = new ArrayList<>(UpgradeChecker.check(run.observations(), false));
      violations.addAll(IdleCapacityChecker.check(run.observations()));
      return new Result(run.observations(), violations);
    }
  }
}
