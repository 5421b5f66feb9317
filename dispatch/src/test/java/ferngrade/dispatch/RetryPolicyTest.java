package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What may run again, where, until when, and which final answer is allowed. */
class RetryPolicyTest {
  private static final RetryPolicy POLICY =
      new RetryPolicy(new DeploymentLimits(3, false, true, true, true, 1_000), 2);

  private static PendingRequest request(Idempotency effect, IdempotencyScope scope) {
    return new PendingRequest(Fixture.job("r", 0, 20_000), Fixture.jobClass(effect, scope));
  }

  private static Attempt end(PendingRequest request, AttemptOutcome outcome) {
    Attempt attempt = new Attempt(new WorkerStats(Fixture.worker(1, 0, 4), 1), 100);
    attempt.outcome = outcome;
    request.attempts.add(attempt);
    return attempt;
  }

  @Test
  void anUnsafeRequestIsRetriedOnlyIfItCannotHaveRun() {
    PendingRequest request = request(Idempotency.UNSAFE, IdempotencyScope.ALL);
    end(request, AttemptOutcome.FULL);
    assertTrue(POLICY.maySend(request, 200));
    assertTrue(POLICY.mayReject(request));
    end(request, AttemptOutcome.RESET);
    assertFalse(POLICY.maySend(request, 200));
    assertFalse(POLICY.mayReject(request));
  }

  @Test
  void aKeyIsGoodWithinItsGroupAndWindow() {
    PendingRequest request = request(Idempotency.KEYED, IdempotencyScope.CELL);
    assertNull(POLICY.groupAttempt(request));
    Attempt first = end(request, AttemptOutcome.TIMEOUT);
    assertEquals(first, POLICY.groupAttempt(request));
    WorkerStats sameCell = new WorkerStats(Fixture.worker(2, 1, 4), 1);
    WorkerStats sameZone = new WorkerStats(Fixture.worker(3, 0, 5), 1);
    assertTrue(POLICY.sameGroup(first, sameCell, IdempotencyScope.CELL));
    assertFalse(POLICY.sameGroup(first, sameZone, IdempotencyScope.CELL));
    assertTrue(POLICY.sameGroup(first, sameZone, IdempotencyScope.ZONE));
    assertTrue(POLICY.maySend(request, 100 + 7_497));
    assertFalse(POLICY.maySend(request, 100 + 7_498), "the window less a round");
  }

  @Test
  void attemptsDeadlineAndHedgesAreBounded() {
    PendingRequest request = request(Idempotency.SAFE, IdempotencyScope.ALL);
    assertFalse(POLICY.maySend(request, 20_000));
    assertTrue(POLICY.deadlineReached(request, 19_998));
    end(request, AttemptOutcome.ERROR);
    request.inFlight = 1;
    assertFalse(POLICY.maySend(request, 200), "hedges are not permitted");
    request.inFlight = 0;
    end(request, AttemptOutcome.ERROR);
    assertTrue(POLICY.maySend(request, 200));
    end(request, AttemptOutcome.ERROR);
    assertFalse(POLICY.maySend(request, 200), "three attempts are spent");
  }
}
