package ferngrade.faulttest.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.faulttest.upgrade.Observations.Verb;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A node is drained and then upgraded. The drain holds in the new process, which says no, as no
 * client may come; but the platform gives that process 6 s to say yes, and ends the drained one
 * behind the yes. It said no until a resume, and the upgrade failed. So the drain of before its
 * start holds for as long as both can be kept, and ends before the 6 s are over.
 */
class DrainedUpgradeTest {
  private static final double READY_WITHIN = 6000;
  private static final int READY = 200;
  private static final int NOT_READY = 503;

  private UpgradeRun run;

  @BeforeEach
  void startRun() throws Exception {
    run =
        new UpgradeRun(UpgradeRun.thisProgram(), RunSettings.ordinary(new NodeLimits(256, 384), 2));
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
    assertEquals(NOT_READY, UpgradeRun.get(operators, "/-/ready"), "the drain holds at first");
    run.awaitReady(next);
    double took = run.observations().now() - started;
    assertTrue(took < READY_WITHIN, "ready after " + took + " ms");
    assertEquals(NOT_READY, UpgradeRun.get(old.operatorsNow(), "/-/ready"), "the old one stays");
    assertTrue(run.operate(next, Verb.DRAIN, null).accepted());
    assertEquals(NOT_READY, UpgradeRun.get(operators, "/-/ready"), "a new drain binds both");
    assertTrue(run.operate(old, Verb.RESUME, null).accepted());
    assertEquals(READY, UpgradeRun.get(operators, "/-/ready"), "and a resume, too");
  }
}
