package ferngrade.faulttest.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.OperatorCall;
import ferngrade.faulttest.upgrade.Observations.Verb;
import ferngrade.knownfailures.SkipKnownFailures;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against the incident of 2026-12-02, with real processes: a worker that operators had
 * disabled at one process of a node received new jobs from another process.
 */
@ExtendWith(SkipKnownFailures.class)
class MaintenanceDuringUpgradeTest {
  private static final int WORKERS = 4;
  private static final int CLIENTS = 12;
  private static final double MEAN_PAUSE_MILLIS = 20;
  private static final double DEADLINE_MILLIS = 2000;

  /**
   * The number of jobs to wait for. After this number, each process has selected each worker
   * several times.
   */
  private static final int JOBS_TO_OBSERVE = 150;

  private UpgradeRun run;
  private ClientLoad load;

  @BeforeEach
  void startRun() throws Exception {
    run =
        new UpgradeRun(
            UpgradeRun.currentProgramCommand(),
            RunSettings.ordinary(new NodeLimits(256, 1024), WORKERS));
  }

  @AfterEach
  void endRun() {
    run.close();
  }

  private ServingProcess startReady() throws Exception {
    ServingProcess process = run.start();
    run.awaitReady(process);
    return process;
  }

  /** Starts clients, and returns once the node has served some of their requests. */
  private void startLoad() throws Exception {
    load = run.load(CLIENTS, MEAN_PAUSE_MILLIS, DEADLINE_MILLIS, 1);
    awaitSends(JOBS_TO_OBSERVE);
  }

  /** Waits until {@code more} further jobs have reached workers. */
  private void awaitSends(int more) throws Exception {
    int target = run.observations().sends().size() + more;
    while (run.observations().sends().size() < target) {
      Thread.sleep(5);
    }
  }

  private void disable(ServingProcess process, String worker) {
    OperatorCall call = run.operate(process, Verb.DISABLE, worker);
    assertEquals(200, call.status(), "disable " + worker + " at " + process.pid());
  }

  private void assertNoViolation() throws Exception {
    load.stop();
    List<Violation> violations = UpgradeChecker.check(run.observations(), false);
    String timeline =
        run.observations().steps().stream()
            .map(Observations.Step::toString)
            .collect(Collectors.joining("\n"));
    assertEquals(List.of(), violations.stream().limit(5).toList(), timeline);
  }

  @Test
  void callAtTheOldProcessRightAfterItsSigtermAppliesToTheNewOne() throws Exception {
    ServingProcess old = startReady();
    startLoad();
    startReady();
    run.signal(old, "TERM");
    disable(old, "s-1");
    awaitSends(JOBS_TO_OBSERVE);
    old.awaitEnd(20_000);
    awaitSends(JOBS_TO_OBSERVE);
    assertNoViolation();
  }

  @Test
  void callAtEitherProcessAppliesToBothWhileBothServe() throws Exception {
    ServingProcess old = startReady();
    startLoad();
    ServingProcess next = startReady();
    disable(next, "s-1");
    disable(old, "s-2");
    awaitSends(2 * JOBS_TO_OBSERVE);
    assertNoViolation();
  }

  @Test
  void callsDuringStartupApplyToTheNewProcess() throws Exception {
    ServingProcess old = startReady();
    startLoad();
    ServingProcess next = run.start();
    disable(old, "s-1");
    next.operators(30_000);
    disable(old, "s-2");
    run.awaitReady(next);
    disable(old, "s-3");
    awaitSends(2 * JOBS_TO_OBSERVE);
    run.signal(old, "TERM");
    awaitSends(JOBS_TO_OBSERVE);
    assertNoViolation();
  }

  @Test
  void thirdProcessReceivesTheChangesOfBothAndLosesNoCallback() throws Exception {
    ServingProcess first = startReady();
    startLoad();
    ServingProcess second = startReady();
    disable(first, "s-1");
    disable(second, "s-2");
    startReady();
    awaitSends(2 * JOBS_TO_OBSERVE);
    run.signal(first, "TERM");
    run.signal(second, "TERM");
    first.awaitEnd(20_000);
    second.awaitEnd(20_000);
    awaitSends(JOBS_TO_OBSERVE);
    assertNoViolation();
  }
}
