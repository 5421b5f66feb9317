package ferngrade.faulttest.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.faulttest.upgrade.Observations.Verb;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against this failure: a drained node is upgraded, and the new process reports not ready
 * until a resume, so the upgrade fails. The platform waits only 6 s for the new process to be
 * ready, and terminates the old process only once the new process is ready. The new process must
 * therefore keep the drain at first, and report ready before the 6 s have elapsed.
 */
class DrainedUpgradeTest {
  private static final double READY_TIMEOUT_MILLIS = 6000;
  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private UpgradeRun run;

  @BeforeEach
  void startRun() throws Exception {
    run =
        new UpgradeRun(
            UpgradeRun.currentProgramCommand(), RunSettings.ordinary(new NodeLimits(256, 384), 2));
  }

  @AfterEach
  void endRun() {
    run.close();
  }

  @Test
  void newProcessKeepsTheDrainAndIsReadyInTime() throws Exception {
    ServingProcess old = run.start();
    run.awaitReady(old);
    assertTrue(run.operate(old, Verb.DRAIN, null).accepted());
    double started = run.observations().now();
    ServingProcess next = run.start();
    InetSocketAddress operators = next.operators(30_000);
    assertEquals(
        NOT_READY, UpgradeRun.getStatus(operators, "/-/ready"), "the drain holds at first");
    run.awaitReady(next);
    double elapsed = run.observations().now() - started;
    assertTrue(elapsed < READY_TIMEOUT_MILLIS, "ready after " + elapsed + " ms");
    assertEquals(
        NOT_READY,
        UpgradeRun.getStatus(old.operatorsIfListening(), "/-/ready"),
        "the old process stays drained");
    assertTrue(run.operate(next, Verb.DRAIN, null).accepted());
    assertEquals(
        NOT_READY,
        UpgradeRun.getStatus(operators, "/-/ready"),
        "a new drain applies to both processes");
    assertTrue(run.operate(old, Verb.RESUME, null).accepted());
    assertEquals(
        READY, UpgradeRun.getStatus(operators, "/-/ready"), "a resume applies to both processes");
  }
}
