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

/** Plays the plan of one seed against real processes, and has it judged. */
public final class SoakRun {
  private static final double DEADLINE = 2000;
  private static final NodeLimits LIMITS = new NodeLimits(256, 384);

  /** The longest deadline of the settings and 0.7 s: no process is killed sooner after SIGTERM. */
  private static final long KILL_AFTER = 3700;

  /** How long the platform waits for a new process, ms. */
  private static final long READY_TIMEOUT = 6000;

  /** How soon after a drain, or its end, all processes must say so, ms. */
  private static final long DRAIN_SETTLES = 1000;

  /** How long a run looks on after its last episode, ms. */
  private static final long AFTERMATH = 1500;

  private final SoakPlan plan;
  private final UpgradeRun run;
  private final OperatorDesk desk;
  private final Observations observations;
  private final List<Violation> found = new ArrayList<>();
  private ServingProcess serving;

  /** What came of a run. */
  public record Result(SoakPlan plan, Observations observations, List<Violation> violations) {}

  private SoakRun(SoakPlan plan, UpgradeRun run, OperatorDesk desk, ServingProcess first) {
    this.serving = first;
    this.plan = plan;
    this.run = run;
    this.desk = desk;
    this.observations = run.observations();
  }

  /** Plays a plan with processes that {@code command} starts. */
  public static Result play(SoakPlan plan, List<String> command)
      throws IOException, InterruptedException {
    try (UpgradeRun run = new UpgradeRun(command, RunSettings.ordinary(LIMITS, SoakPlan.WORKERS))) {
      ServingProcess first = run.start();
      run.awaitReady(first);
      OperatorDesk desk = new OperatorDesk(run, plan.seed());
      SoakRun soak = new SoakRun(plan, run, desk, first);
      ClientLoad load = run.load(plan.clients(), plan.meanPause(), DEADLINE, plan.seed());
      List<BackgroundLoop> loops =
          List.of(desk, new ResourceSampler(run), new IdleCrowd(run.clients(), plan.crowd()));
      loops.forEach(BackgroundLoop::start);
      soak.playEpisodes();
      for (BackgroundLoop loop : loops) {
        loop.stop();
      }
      load.stop();
      for (ServingProcess each : run.alive()) {
        run.signal(each, "TERM");
        soak.found.addAll(awaitOrderlyEnd(run, each));
      }
      soak.found.addAll(UpgradeChecker.check(run.observations(), plan.crowd() > 0));
      soak.found.addAll(UpgradeChecker.limits(run.observations(), LIMITS));
      return new Result(plan, run.observations(), List.copyOf(soak.found));
    }
  }

  private void playEpisodes() throws InterruptedException {
    try {
      for (Episode episode : plan.episodes()) {
        Thread.sleep(episode.pause());
        observations.step(0, "episode " + episode.kind());
        play(episode);
      }
    } catch (IOException broken) {
      violation("episode broken off", broken.getMessage());
    }
    Thread.sleep(AFTERMATH);
  }

  private void play(Episode episode) throws IOException, InterruptedException {
    switch (episode.kind()) {
      case UPGRADE -> upgrade(episode);
      case FAILED_UPGRADE -> failedUpgrade(episode);
      case DOUBLE_UPGRADE -> doubleUpgrade(episode);
      case OLD_KILLED -> oldKilled(episode);
      case NEW_TERMINATED -> newTerminated(episode);
      case ONE_STOPPED -> oneStopped(episode);
      case RELOAD -> reload(episode);
      case DRAIN -> drain(episode);
      case FOLDER_FAILS -> folderFails(episode);
    }
  }

  /** Starts a process and waits as the platform does; false if it was not ready in time. */
  private boolean awaitReady(ServingProcess process) throws IOException, InterruptedException {
    double begun = observations.now();
    run.awaitReady(process);
    double took = observations.now() - begun;
    if (took > READY_TIMEOUT) {
      violation("not ready", "process " + process.pid() + " took " + (long) took + " ms");
    }
    return took <= READY_TIMEOUT;
  }

  private void violation(String rule, String seen) {
    found.add(new Violation(observations.now(), rule, seen));
  }

  private void upgrade(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    Thread.sleep(episode.offset() / 2);
    run.operate(old, Verb.DISABLE, episode.worker());
    awaitReady(next);
    serving = next;
    if (episode.old()) {
      run.signal(old, "TERM");
      run.operate(old, Verb.ENABLE, episode.worker());
      run.operate(old, Verb.DISABLE, episode.worker());
    } else {
      run.operate(next, Verb.ENABLE, episode.worker());
      run.operate(next, Verb.DISABLE, episode.worker());
      run.signal(old, "TERM");
    }
    found.addAll(awaitOrderlyEnd(run, old));
    run.operate(next, Verb.ENABLE, episode.worker());
  }

  /** A process that was told to end does so with 0 before the platform kills it. */
  private static List<Violation> awaitOrderlyEnd(UpgradeRun run, ServingProcess process)
      throws IOException, InterruptedException {
    Observations observations = run.observations();
    try {
      int status = process.awaitEnd(KILL_AFTER);
      return status == 0
          ? List.of()
          : List.of(
              new Violation(
                  observations.now(),
                  "ended out of order",
                  "process " + process.pid() + " ended with wait status " + status));
    } catch (IOException late) {
      run.signal(process, "KILL");
      return List.of(
          new Violation(
              observations.now(),
              "killed",
              "process " + process.pid() + " had not ended " + KILL_AFTER + " ms after SIGTERM"));
    }
  }

  private void kill(ServingProcess process) throws IOException, InterruptedException {
    observations.add(new Fault(observations.now(), process.pid(), Fault.Kind.KILLED));
    run.signal(process, "KILL");
    process.awaitEnd(READY_TIMEOUT);
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
    found.addAll(awaitOrderlyEnd(run, old));
    found.addAll(awaitOrderlyEnd(run, second));
    run.operate(third, Verb.ENABLE, episode.worker());
  }

  private void oldKilled(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    serving = next;
    desk.avoid(old);
    run.operate(old, Verb.DISABLE, episode.worker());
    kill(old);
    desk.avoid(null);
    Thread.sleep(episode.length());
    run.operate(next, Verb.ENABLE, episode.worker());
  }

  private void newTerminated(Episode episode) throws IOException, InterruptedException {
    ServingProcess next = run.start();
    awaitReady(next);
    run.operate(next, Verb.DISABLE, episode.worker());
    run.signal(next, "TERM");
    found.addAll(awaitOrderlyEnd(run, next));
    Thread.sleep(episode.offset());
    run.operate(serving, Verb.ENABLE, episode.worker());
  }

  private void oneStopped(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    ServingProcess stopped = episode.old() ? old : next;
    ServingProcess other = episode.old() ? next : old;
    desk.avoid(stopped);
    observations.add(new Fault(observations.now(), stopped.pid(), Fault.Kind.STOPPED));
    run.signal(stopped, "STOP");
    run.operate(other, Verb.DISABLE, episode.worker());
    Thread.sleep(episode.length());
    run.signal(stopped, "CONT");
    observations.add(new Fault(observations.now(), stopped.pid(), Fault.Kind.STOPPED));
    desk.avoid(null);
    serving = next;
    run.signal(old, "TERM");
    found.addAll(awaitOrderlyEnd(run, old));
    run.operate(next, Verb.ENABLE, episode.worker());
  }

  private void reload(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    Thread.sleep(episode.offset());
    run.moveDiscovery();
    run.signal(old, "HUP");
    awaitReady(next);
    run.endFormerDiscovery();
    serving = next;
    run.signal(old, "TERM");
    found.addAll(awaitOrderlyEnd(run, old));
    if (!run.watched(READY_TIMEOUT)) {
      violation("reload", "process " + next.pid() + " does not watch the discovery of the node");
    }
  }

  private void drain(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    ServingProcess called = episode.old() ? old : next;
    ServingProcess other = episode.old() ? next : old;
    OperatorCall drained = run.operate(called, Verb.DRAIN, null);
    Thread.sleep(DRAIN_SETTLES);
    expectReadiness(drained, 503);
    OperatorCall resumed = run.operate(other, Verb.RESUME, null);
    Thread.sleep(DRAIN_SETTLES);
    expectReadiness(resumed, 200);
    serving = next;
    run.signal(old, "TERM");
    found.addAll(awaitOrderlyEnd(run, old));
  }

  private void expectReadiness(OperatorCall after, int status) {
    for (ServingProcess each : run.alive()) {
      int seen = UpgradeRun.get(each.operatorsNow(), "/-/ready");
      if (seen != status) {
        violation(
            "ready",
            "process "
                + each.pid()
                + " says "
                + seen
                + " after "
                + after.verb()
                + " at process "
                + after.pid());
      }
    }
  }

  private void folderFails(Episode episode) throws IOException, InterruptedException {
    ServingProcess old = serving;
    ServingProcess next = run.start();
    awaitReady(next);
    Path folder = run.sharedFolder();
    Path aside = folder.resolveSibling("aside");
    observations.step(0, "the shared folder is gone");
    Files.move(folder, aside);
    run.operate(episode.old() ? old : next, Verb.DISABLE, episode.worker());
    Thread.sleep(episode.length());
    Files.move(aside, folder);
    observations.step(0, "the shared folder is back");
    serving = next;
    run.signal(old, "TERM");
    found.addAll(awaitOrderlyEnd(run, old));
    run.operate(next, Verb.ENABLE, episode.worker());
  }
}
