package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which requests are hedged, after which delay, and how many. */
class HedgingPolicyTest {
  private final DispatcherSettings settings =
      Fixture.settings(
          0, 1, Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL), List.of(), true);
  private final HedgingPolicy hedging;
  private final WorkerStats worker;

  HedgingPolicyTest() {
    WorkerRegistry registry = new WorkerRegistry(0, 1);
    registry.update(EndpointListUpdate.WHOLE, List.of(Fixture.worker(1, 0, 0)));
    worker = registry.local().get(0);
    ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(1);
    SlotBudget budget = new SlotBudget(false);
    WaitEstimator waits = new WaitEstimator(registry, serviceTimes, budget, 1);
    StartDeadlines deadlines = new StartDeadlines(serviceTimes, waits, budget);
    RetryPolicy retries = new RetryPolicy(settings.limits(), settings.eventBatchIntervalMs());
    hedging = new HedgingPolicy(settings, registry, deadlines, retries);
  }

  private PendingRequest waitingRequest(Idempotency idempotency) {
    PendingRequest request =
        new PendingRequest(
            Fixture.job("r", 0, 5_000), Fixture.jobClass(idempotency, IdempotencyScope.ALL));
    request.attempts.add(new Attempt(worker, 0));
    request.inFlight = 1;
    return request;
  }

  @Test
  void hedgesOnlyWaitingRequestsThatMayRunTwice() {
    PendingRequest request = waitingRequest(Idempotency.SAFE);
    assertTrue(hedging.appliesTo(request));
    assertFalse(hedging.appliesTo(waitingRequest(Idempotency.UNSAFE)));
    assertEquals(40, hedging.delay(request, worker), 1e-9, "a fifth of 200 ms of spare time");
    assertTrue(hedging.isWaiting(request));
    request.attempts.get(0).startedAt = 10;
    assertFalse(hedging.isWaiting(request));
  }

  @Test
  void allowsOneHedgePerTwentyRequests() {
    PendingRequest request = waitingRequest(Idempotency.SAFE);
    for (int i = 0; i < 3; i++) {
      assertTrue(hedging.mayHedge(request, 10));
      hedging.hedgeSent();
    }
    assertFalse(hedging.mayHedge(request, 10));
    for (int i = 0; i < 21; i++) {
      hedging.firstAttemptSent();
    }
    assertTrue(hedging.mayHedge(request, 10));
  }
}
