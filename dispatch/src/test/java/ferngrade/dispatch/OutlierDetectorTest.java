package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks ejections, ejections for one class, and the detection of zones that do not respond. */
class OutlierDetectorTest {
  private final WorkerRegistry registry = new WorkerRegistry(0, 2);
  private final OutlierDetector outliers =
      new OutlierDetector(registry, new ServiceTimeEstimator(2), new SplittableRandom(5));
  private final WorkerStats worker;

  OutlierDetectorTest() {
    registry.update(
        EndpointListUpdate.WHOLE,
        List.of(Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0), Fixture.worker(3, 1, 0)));
    worker = registry.local().get(0);
  }

  @Test
  void doublesEjectionUntilAnAttemptSucceeds() {
    outliers.eject(worker, 0);
    assertEquals(1_000, worker.ejectionMs);
    assertFalse(outliers.accepts(worker, 0, 700));
    assertTrue(outliers.accepts(worker, 0, 1_300));
    outliers.eject(worker, 2_000);
    assertEquals(2_000, worker.ejectionMs);
    outliers.attemptSucceeded(worker, 0);
    outliers.eject(worker, 10_000);
    assertEquals(1_000, worker.ejectionMs);
  }

  @Test
  void ejectsOnlyALimitedShareOfTheFleet() {
    registry.ready().forEach(readyWorker -> outliers.eject(readyWorker, 0));
    assertEquals(2, outliers.ejectedCount(1), "ejections stop at a share of 0.4 of three workers");
  }

  @Test
  void ejectsForOneClassOnly() {
    outliers.ejectClass(worker, 0, 0);
    assertFalse(outliers.accepts(worker, 0, 7_999));
    assertTrue(outliers.accepts(worker, 1, 0));
    outliers.attemptStarted(worker, 0);
    assertTrue(outliers.accepts(worker, 0, 0));
  }

  @Test
  void probesUnreachableZoneWithOneAttemptAtATime() {
    WorkerStats remote = registry.remote().get(0);
    for (int i = 0; i < 4; i++) {
      outliers.attemptSent(remote, 0, i);
    }
    assertTrue(outliers.reachable(remote, 200), "100 ms plus a mean service time have not passed");
    assertFalse(outliers.reachable(remote, 201));
    assertFalse(outliers.accepts(remote, 0, 202));
    assertTrue(outliers.accepts(remote, 0, 203), "one probe is allowed");
    outliers.responseReceived(remote, 204);
    assertTrue(outliers.reachable(remote, 205));
  }
}
