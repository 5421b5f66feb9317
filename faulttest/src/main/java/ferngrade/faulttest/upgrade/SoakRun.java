package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.Fault;
import ferngrade.faulttest.upgrade.Observations.OperatorCall;
import ferngrade.faulttest.upgrade.Observations.Verb;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs the plan of one seed against real processes, and checks the invariants. */
public final class SoakRun {
  private static final double DEADLINE_MILLIS = 2000;
  private static final NodeLimits LIMITS = new NodeLimits(256, 384);

  /**
   * The minimum time between SIGTERM and SIGKILL, ms: the longest deadline of the settings plus 0.7
   * s.
   */
  private static final long KILL_DELAY_MILLIS = 3700;

  /** The time within which a new process must become ready, ms. */
  private static final long READY_TIMEOUT_MILLIS = 6000;

  /** The time after a drain or a resume within which all processes must report it, ms. */
  private static final long DRAIN_SETTLE_MILLIS = 1000;

  /** The time for which a run continues after its last episode, ms. */
  private static final long SETTLE_TIME_MILLIS = 1500;

  private final SoakPlan plan;
  private final UpgradeRun run;
  private final OperatorLoop operator;
  private final Observations observations;
  private final List<Violation> violations = new ArrayList<>();
  private ServingProcess serving;

  /** The outcome of a run. */
  public record Result(SoakPlan plan, Observations observations, List<Violation> violations) {}

  private SoakRun(SoakPlan plan, UpgradeRun run, OperatorLoop operator, ServingProcess first) {
    this.serving = first;
    this.plan = plan;
    this.run = run;
    this.operator = operator;
    this.observations = run.observations();
  }

  /** Runs a plan with processes that {@code command} starts. */
  public static Result run(SoakPlan plan, List<String> command)
      throws IOException, InterruptedException {
    try (UpgradeRun run = new UpgradeRun(command, RunSettings.ordinary(LIMITS, SoakPlan.WORKERS))) {
      ServingProcess first = run.start();
      run.awaitReady(first);
      OperatorLoop operator = new OperatorLoop(run, plan.seed());
      SoakRun soak = new SoakRun(plan, run, operator, first);
      ClientLoad load = run.load(plan.clients(), plan.meanPause(), DEADLINE_MILLIS, plan.seed());
      List<BackgroundLoop> loops =
          List.of(
              operator,
              new ResourceSampler(run),
              new IdleConnections(run.clients(), plan.idleConnections()));
      loops.forEach(BackgroundLoop::start);
      soak.runEpisodes();
      for (BackgroundLoop loop : loops) {
        loop.stop();
      }
      load.stop();
      for (ServingProcess servingProcess : run.alive()) {
        run.signal(servingProcess, "TERM");
        soak.violations.addAll(awaitOrderlyEnd(run, servingProcess));
      }
      soak.violations.addAll(UpgradeChecker.check(run.observations(), plan.idleConnections() > 0));
      soak.violations.addAll(UpgradeChecker.limits(run.observations(), LIMITS));
      return new Result(plan, run.observations(), List.copyOf(soak.violations));
    }
  }

  private void runEpisodes() throws InterruptedException {
    try {
      for (Episode episode : plan.episodes()) {
        Thread.sleep(episode.pause());
        observations.step(0, "episode " + episode.kind());
        runEpisode(episode);
      }
    } catch (IOException failure) {
      violation("episode failed", failure.getMessage());
    }
    Thread.sleep(SETTLE_TIME_MILLIS);
  }

  private void runEpisode(Episode episode) throws IOException, InterruptedException {
    switch (episode.kind()) {
      case UPGRADE -> upgrade(episode);
      case FAILED_UPGRADE -> failedUpgrade(episode);
      case DOUBLE_UPGRADE -> doubleUpgrade(episode);
      case OLD_KILLED -> killOldProcess(episode);
      case NEW_TERMINATED -> terminateNewProcess(episode);
      case ONE_STOPPED -> stopOneProcess(episode);
      case RELOAD -> reload(episode);
      case DRAIN -> drain(episode);
      case FOLDER_FAILS -> failSharedFolder(episode);
    }
  }

  /**
   * Waits until a process is ready. Returns false if the process was not ready within the time that
   * the platform allows.
   */
  private boolean awaitReady(ServingProcess process) throws IOException, InterruptedException {
    double startedAt = observations.now();
    run.awaitReady(process);
    double elapsed = observations.now() - startedAt;
    if (elapsed > READY_TIMEOUT_MILLIS) {
      violation("not ready", "process " + process.pid() + " took " + (long) elapsed + " ms");
    }
    return elapsed <= READY_TIMEOUT_MILLIS;
  }

  private void violation(String rule, String description) {
    violations.add(new Violation(observations.now(), rule, description));
  }

  private void upgrade(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    Thread.sleep(episode.offset() / 2);
    run.operate(old, Verb.DISABLE, episode.worker());
    awaitReady(next);
    serving = next;
    if (episode.affectsOldProcess()) {
      run.signal(old, "TERM");
      run.operate(old, Verb.ENABLE, episode.worker());
      run.operate(old, Verb.DISABLE, episode.worker());
    } else {
      run.operate(next, Verb.ENABLE, episode.worker());
      run.operate(next, Verb.DISABLE, episode.worker());
      run.signal(old, "TERM");
    }
    violations.addAll(awaitOrderlyEnd(run, old));
    run.operate(next, Verb.ENABLE, episode.worker());
  }

  /**
   * Waits for the end of a process after SIGTERM, and returns a violation if its exit status is not
   * 0 or if it has to be killed after {@link #KILL_DELAY_MILLIS}.
   */
  private static List<Violation> awaitOrderlyEnd(UpgradeRun run, ServingProcess process)
      throws IOException, InterruptedException {
    Observations observations = run.observations();
    try {
      int status = process.awaitEnd(KILL_DELAY_MILLIS);
      return status == 0
          ? List.of()
          : List.of(
              new Violation(
                  observations.now(),
                  "exited abnormally",
                  "process " + process.pid() + " exited with wait status " + status));
    } catch (IOException timedOut) {
      run.signal(process, "KILL");
      return List.of(
          new Violation(
              observations.now(),
              "killed",
              "process "
                  + process.pid()
                  + " was still running "
                  + KILL_DELAY_MILLIS
                  + " ms after SIGTERM"));
    }
  }

  private void kill(ServingProcess process) throws IOException, InterruptedException {
    observations.add(new Fault(observations.now(), process.pid(), Fault.Kind.KILLED));
    run.signal(process, "KILL");
    process.awaitEnd(READY_TIMEOUT_MILLIS);
    observations.add(new Fault(observations.now(), process.pid(), Fault.Kind.KILLED));
  }

  private void failedUpgrade(Episode episode) throws IOException, InterruptedException {
    ServingProcess next = run.start();
    Thread.sleep(episode.offset());
    run.operate(serving, Verb.DISABLE, episode.worker());
    kill(next);
    run.operate(serving, Verb.ENABLE, episode.worker());
  }

  private void doubleUpgrade(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess second = run.start();
    Thread.sleep(episode.offset() / 2);
    ServingProcess third = run.start();
    run.operate(old, Verb.DISABLE, episode.worker());
    awaitReady(second);
    awaitReady(third);
    run.operate(second, Verb.ENABLE, episode.worker());
    run.operate(third, Verb.DISABLE, episode.worker());
    serving = third;
    run.signal(old, "TERM");
    run.signal(second, "TERM");
    violations.addAll(awaitOrderlyEnd(run, old));
    violations.addAll(awaitOrderlyEnd(run, second));
    run.operate(third, Verb.ENABLE, episode.worker());
  }

  private void killOldProcess(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    serving = next;
    operator.avoid(old);
    run.operate(old, Verb.DISABLE, episode.worker());
    kill(old);
    operator.avoid(null);
    Thread.sleep(episode.length());
    run.operate(next, Verb.ENABLE, episode.worker());
  }

  private void terminateNewProcess(Episode episode) throws IOException, InterruptedException {
    ServingProcess next = run.start();
    awaitReady(next);
    run.operate(next, Verb.DISABLE, episode.worker());
    run.signal(next, "TERM");
    violations.addAll(awaitOrderlyEnd(run, next));
    Thread.sleep(episode.offset());
    run.operate(serving, Verb.ENABLE, episode.worker());
  }

  private void stopOneProcess(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    ServingProcess stopped = episode.affectsOldProcess() ? old : next;
    ServingProcess other = episode.affectsOldProcess() ? next : old;
    operator.avoid(stopped);
    observations.add(new Fault(observations.now(), stopped.pid(), Fault.Kind.STOPPED));
    run.signal(stopped, "STOP");
    run.operate(other, Verb.DISABLE, episode.worker());
    Thread.sleep(episode.length());
    run.signal(stopped, "CONT");
    observations.add(new Fault(observations.now(), stopped.pid(), Fault.Kind.STOPPED));
    operator.avoid(null);
    serving = next;
    run.signal(old, "TERM");
    violations.addAll(awaitOrderlyEnd(run, old));
    run.operate(next, Verb.ENABLE, episode.worker());
  }

  private void reload(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    Thread.sleep(episode.offset());
    run.moveDiscovery();
    run.signal(old, "HUP");
    awaitReady(next);
    run.stopFormerDiscovery();
    serving = next;
    run.signal(old, "TERM");
    violations.addAll(awaitOrderlyEnd(run, old));
    if (!run.awaitWatch(READY_TIMEOUT_MILLIS)) {
      violation(
          "reload",
          "process " + next.pid() + " does not watch the discovery agent of the configuration");
    }
  }

  private void drain(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    ServingProcess called = episode.affectsOldProcess() ? old : next;
    ServingProcess other = episode.affectsOldProcess() ? next : old;
    OperatorCall drained = run.operate(called, Verb.DRAIN, null);
    Thread.sleep(DRAIN_SETTLE_MILLIS);
    expectReadiness(drained, 503);
    OperatorCall resumed = run.operate(other, Verb.RESUME, null);
    Thread.sleep(DRAIN_SETTLE_MILLIS);
    expectReadiness(resumed, 200);
    serving = next;
    run.signal(old, "TERM");
    violations.addAll(awaitOrderlyEnd(run, old));
  }

  private void expectReadiness(OperatorCall after, int status) {
    for (ServingProcess servingProcess : run.alive()) {
      int actual = UpgradeRun.getStatus(servingProcess.operatorsIfListening(), "/-/ready");
      if (actual != status) {
        violation(
            "ready",
            "process "
                + servingProcess.pid()
                + " answers "
                + actual
                + " after "
                + after.verb()
                + " at process "
                + after.pid());
      }
    }
  }

  private void failSharedFolder(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    Path folder = run.sharedFolder();
    Path movedFolder = folder.resolveSibling("aside");
    observations.step(0, "the shared folder is moved away");
    Files.move(folder, movedFolder);
    run.operate(episode.affectsOldProcess() ? old : next, Verb.DISABLE, episode.worker());
    Thread.sleep(episode.length());
    Files.move(movedFolder, folder);
    observations.step(0, "the shared folder is restored");
    serving = next;
    run.signal(old, "TERM");
    violations.addAll(awaitOrderlyEnd(run, old));
    run.operate(next, Verb.ENABLE, episode.worker());
  }
}
