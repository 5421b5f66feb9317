package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the estimated service times and waits, and the start deadlines derived from them. */
class EstimatorsTest {
  private final WorkerRegistry registry = new WorkerRegistry(0, 1);
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(1);
  private final SlotBudget budget = new SlotBudget(true);
  private final WaitEstimator waits = new WaitEstimator(registry, serviceTimes, budget, 4);
  private final WorkerStats worker;
  private final PendingRequest request =
      new PendingRequest(
          Fixture.job("r", 0, 5_000), Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL));

  EstimatorsTest() {
    updateList(1);
    worker = registry.local().get(0);
  }

  private void updateList(double weight) {
    Worker entry = new Worker(1, WorkerState.READY, 0, 0, 0, 0, weight);
    registry.update(EndpointListUpdate.WHOLE, List.of(entry));
  }

  private void runJob(double durationMs) {
    Attempt attempt = new Attempt(worker, 0);
    attempt.startedAt = 0;
    serviceTimes.attemptSucceeded(request, attempt, durationMs);
  }

  @Test
  void learnsSlownessOfWorkerThatTakesTwiceTheStandardTime() {
    assertEquals(100, serviceTimes.standardTime(request), "the initial value");
    runJob(40);
    assertEquals(40, serviceTimes.mean());
    assertEquals(1, worker.slowness);
    runJob(80);
    assertEquals(42, serviceTimes.standardTime(request), 1e-9);
    assertEquals(1.1, worker.slowness, 1e-9);
    assertEquals(42 * 1.1, serviceTimes.timeAt(request, worker), 1e-9);
  }

  @Test
  void estimatesWaitAsDelayMinusRoundTripTimeAndDecaysIt() {
    waits.attemptStarted(new Attempt(worker, 0), 10);
    assertEquals(10, registry.roundTripTime(worker));
    assertEquals(0, waits.expectedWait(worker, 10), 1e-9);
    waits.attemptStarted(new Attempt(worker, 0), 110);
    assertEquals(30, waits.expectedWait(worker, 110), 1e-9);
    assertEquals(10, waits.expectedWait(worker, 1e6), 1e-9, "the group's mean");
  }

  @Test
  void predictsLateStartFromListedQueue() {
    StartDeadlines deadlines = new StartDeadlines(serviceTimes, waits, budget);
    assertEquals(
        200, deadlines.spareTime(request, worker), "100 ms plus twice 100 ms, minus 100 ms");
    assertEquals(150, deadlines.maxStartDelay(request, worker));
    updateList(0.25);
    assertEquals(3, worker.load, "the weight is the size of 1 divided by 1 + the jobs per core");
    assertEquals(200, waits.waitByListedLoad(worker, 0));
    assertFalse(deadlines.wouldStartLate(request, worker, 0), "loads are not followed yet");
    budget.endCycle(new FleetLoad(10, 9, 0, 1, true), 100, 1, 0.5, 0);
    assertTrue(deadlines.wouldStartLate(request, worker, 0));
  }
}
