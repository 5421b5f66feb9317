package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks which requests may be retried, at which workers and until when, and which final answers
 * are allowed.
 */
class RetryPolicyTest {
  private static final RetryPolicy POLICY =
      new RetryPolicy(new DeploymentLimits(3, false, true, true, true, 1_000), 2);

  private static PendingRequest request(Idempotency idempotency, IdempotencyScope scope) {
    return new PendingRequest(Fixture.job("r", 0, 20_000), Fixture.jobClass(idempotency, scope));
  }

  private static Attempt addEndedAttempt(PendingRequest request, AttemptOutcome outcome) {
    Attempt attempt = new Attempt(new WorkerStats(Fixture.worker(1, 0, 4), 1), 100);
    attempt.outcome = outcome;
    request.attempts.add(attempt);
    return attempt;
  }

  @Test
  void retriesUnsafeRequestOnlyIfItCannotHaveRun() {
    PendingRequest request = request(Idempotency.UNSAFE, IdempotencyScope.ALL);
    addEndedAttempt(request, AttemptOutcome.FULL);
    assertTrue(POLICY.maySend(request, 200));
    assertTrue(POLICY.mayReject(request));
    addEndedAttempt(request, AttemptOutcome.RESET);
    assertFalse(POLICY.maySend(request, 200));
    assertFalse(POLICY.mayReject(request));
  }

  @Test
  void retriesKeyedRequestOnlyWithinItsGroupAndWindow() {
    PendingRequest request = request(Idempotency.KEYED, IdempotencyScope.CELL);
    assertNull(POLICY.groupAttempt(request));
    Attempt first = addEndedAttempt(request, AttemptOutcome.TIMEOUT);
    assertEquals(first, POLICY.groupAttempt(request));
    WorkerStats sameCell = new WorkerStats(Fixture.worker(2, 1, 4), 1);
    WorkerStats sameZone = new WorkerStats(Fixture.worker(3, 0, 5), 1);
    assertTrue(POLICY.sameGroup(first, sameCell, IdempotencyScope.CELL));
    assertFalse(POLICY.sameGroup(first, sameZone, IdempotencyScope.CELL));
    assertTrue(POLICY.sameGroup(first, sameZone, IdempotencyScope.ZONE));
    assertTrue(POLICY.maySend(request, 100 + 7_497));
    assertFalse(
        POLICY.maySend(request, 100 + 7_498),
        "the window minus the time between batches has passed");
  }

  @Test
  void limitsAttemptsByCountDeadlineAndHedging() {
    PendingRequest request = request(Idempotency.SAFE, IdempotencyScope.ALL);
    assertFalse(POLICY.maySend(request, 20_000));
    assertTrue(POLICY.deadlineReached(request, 19_998));
    addEndedAttempt(request, AttemptOutcome.ERROR);
    request.inFlight = 1;
    assertFalse(POLICY.maySend(request, 200), "hedges are not permitted");
    request.inFlight = 0;
    addEndedAttempt(request, AttemptOutcome.ERROR);
    assertTrue(POLICY.maySend(request, 200));
    addEndedAttempt(request, AttemptOutcome.ERROR);
    assertFalse(POLICY.maySend(request, 200), "all three attempts are used");
  }
}
