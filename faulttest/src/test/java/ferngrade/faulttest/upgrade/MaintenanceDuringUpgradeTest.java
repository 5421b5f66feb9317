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
 * The incident of 2026-12-02 with real processes: a worker that operators take out at one process
 * of a node gets nothing new from any other.
 */
@ExtendWith(SkipKnownFailures.class)
class MaintenanceDuringUpgradeTest {
  private static final int WORKERS = 4;
  private static final int CLIENTS = 12;
  private static final double MEAN_PAUSE = 20;
  private static final double DEADLINE = 2000;

  /** Enough jobs for each worker to have been picked some times by each process. */
  private static final int JOBS_TO_SEE = 150;

  private UpgradeRun run;
  private ClientLoad load;

  @BeforeEach
  void startRun() throws Exception {
    run =
        new UpgradeRun(
            UpgradeRun.thisProgram(), RunSettings.ordinary(new NodeLimits(256, 1024), WORKERS));
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

  /** Starts clients, and returns once the node has served some of them. */
  private void startLoad() throws Exception {
    load = run.load(CLIENTS, MEAN_PAUSE, DEADLINE, 1);
    awaitSends(JOBS_TO_SEE);
  }

  /** Returns once so many more jobs have reached workers. */
  private void awaitSends(int more) throws Exception {
    int wanted = run.observations().sends().size() + more;
    while (run.observations().sends().size() < wanted) {
      Thread.sleep(5);
    }
  }

  private void disable(ServingProcess process, String worker) {
    OperatorCall call = run.operate(process, Verb.DISABLE, worker);
    assertEquals(200, call.status(), "disable " + worker + " at " + process.pid());
  }

  private void assertNoViolation() throws Exception {
    load.stop();
    List<Violation> found = UpgradeChecker.check(run.observations(), false);
    String timeline =
        run.observations().steps().stream()
            .map(Observations.Step::toString)
            .collect(Collectors.joining("\n"));
    assertEquals(List.of(), found.stream().limit(5).toList(), timeline);
  }

  @Test
  void callAtTheOldProcessRightAfterItsSigtermBindsTheNewOne() throws Exception {
    ServingProcess old = startReady();
    startLoad();
    startReady();
    run.signal(old, "TERM");
    disable(old, "s-1");
    awaitSends(JOBS_TO_SEE);
    old.awaitEnd(20_000);
    awaitSends(JOBS_TO_SEE);
    assertNoViolation();
  }

  @Test
  void callAtEitherProcessBindsBothWhileBothServe() throws Exception {
    ServingProcess old = startReady();
    startLoad();
    ServingProcess next = startReady();
    disable(next, "s-1");
    disable(old, "s-2");
    awaitSends(2 * JOBS_TO_SEE);
    assertNoViolation();
  }

  @Test
  void callsWhileTheNewProcessStartsBindIt() throws Exception {
    ServingProcess old = startReady();
    startLoad();
    ServingProcess next = run.start();
    disable(old, "s-1");
    next.operators(30_000);
    disable(old, "s-2");
    run.awaitReady(next);
    disable(old, "s-3");
    awaitSends(2 * JOBS_TO_SEE);
    run.signal(old, "TERM");
    awaitSends(JOBS_TO_SEE);
    assertNoViolation();
  }

  @Test
  void thirdProcessKnowsTheChangesOfBothAndLosesNoCallback() throws Exception {
    ServingProcess first = startReady();
    startLoad();
    ServingProcess second = startReady();
    disable(first, "s-1");
    disable(second, "s-2");
    startReady();
    awaitSends(2 * JOBS_TO_SEE);
    run.signal(first, "TERM");
    run.signal(second, "TERM");
    first.awaitEnd(20_000);
    second.awaitEnd(20_000);
    awaitSends(JOBS_TO_SEE);
    assertNoViolation();
  }
}
