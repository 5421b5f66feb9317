package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.ChurnPlan.Step;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Upgrades of a node whose processes are stopped repeatedly, as on an overloaded machine. Meanwhile
 * workers misbehave, clients abandon requests, the discovery address changes, and each SIGTERM may
 * be sent several times. All checks are made from outside the processes.
 */
public final class ChurnRun {
  private static final RunSettings SETTINGS =
      new RunSettings(
          new NodeLimits(256, 384),
          ChurnPlan.WORKERS,
          new WorkerBehaviour(30, 200, 8, 32, false),
          1000);

  /**
   * The minimum time between SIGTERM and SIGKILL, ms: the longest deadline of the settings plus 0.7
   * s.
   */
  private static final long KILL_DELAY_MILLIS = 3700;

  /** The interval between two SIGTERM signals of a step, ms. */
  private static final long SIGNAL_INTERVAL_MILLIS = 30;

  private static final long SETTLE_TIME_MILLIS = 1000;

  private final UpgradeRun run;
  private final List<Violation> violations = new ArrayList<>();
  private ServingProcess serving;

  /** The outcome of a run. */
  public record Result(ChurnPlan plan, Observations observations, List<Violation> violations) {}

  private ChurnRun(UpgradeRun run, ServingProcess first) {
    this.run = run;
    this.serving = first;
  }

  /** Runs a plan with processes that {@code command} starts. */
  public static Result run(ChurnPlan plan, List<String> command)
      throws IOException, InterruptedException {
    try (UpgradeRun run = new UpgradeRun(command, SETTINGS)) {
      ServingProcess first = run.start();
      run.awaitReady(first);
      ChurnRun churn = new ChurnRun(run, first);
      ClientLoad load = run.load(plan.clients(), plan.behaviour(), plan.seed());
      List<BackgroundLoop> loops =
          List.of(
              new UtilisationSampler(run),
              new IdleConnections(run.clients(), plan.idleConnections()),
              new DutyCycle(run, plan.share(), plan.longestPause(), plan.seed()));
      loops.forEach(BackgroundLoop::start);
      for (Step step : plan.steps()) {
        churn.runStep(step);
      }
      Thread.sleep(SETTLE_TIME_MILLIS);
      load.stop();
      for (BackgroundLoop loop : loops) {
        loop.stop();
      }
      Observations observations = run.observations();
      // Lost callbacks are not checked. After a client abandons a request or a job is cut short, it
      // is possible that no process has a record of the job.
      churn.violations.addAll(UpgradeChecker.sendsToDisabledWorkers(observations));
      churn.violations.addAll(UpgradeChecker.repeatedJobs(observations));
      churn.violations.addAll(
          UpgradeChecker.unansweredJobs(observations, plan.idleConnections() > 0));
      churn.violations.addAll(DepartureChecker.check(observations));
      churn.violations.addAll(IdleCapacityChecker.check(observations));
      return new Result(plan, observations, List.copyOf(churn.violations));
    }
  }

  private void runStep(Step step) throws IOException, InterruptedException {
    Thread.sleep(step.pause());
    for (int worker = 0; worker < step.faults().size(); worker++) {
      run.setFault(worker, step.faults().get(worker));
    }
    ServingProcess old = serving;
    ServingProcess next = run.start();
    run.awaitReady(next);
    if (step.movesDiscovery()) {
      run.moveDiscovery();
      run.signal(old, "HUP");
      run.signal(next, "HUP");
    }
    serving = next;
    double signalled = run.observations().now();
    for (int i = 0; i < step.signals(); i++) {
      run.signal(old, "TERM");
      Thread.sleep(SIGNAL_INTERVAL_MILLIS);
    }
    awaitEnd(old, signalled + KILL_DELAY_MILLIS);
  }

  /**
   * Waits for the end of a process, and kills it at {@code killAt}, as the platform does. Clients
   * use the connections of the process until it ends.
   */
  private void awaitEnd(ServingProcess process, double killAt)
      throws IOException, InterruptedException {
    Observations observations = run.observations();
    try {
      int status = process.awaitEnd((long) Math.max(1, killAt - observations.now()));
      if (status != 0) {
        violation(
            "exited abnormally", "process " + process.pid() + " exited with wait status " + status);
      }
    } catch (IOException timedOut) {
      violation("killed", "process " + process.pid() + " did not end in time");
      run.signal(process, "KILL");
    }
  }

  private void violation(String rule, String description) {
    violations.add(new Violation(run.observations().now(), rule, description));
  }
}
