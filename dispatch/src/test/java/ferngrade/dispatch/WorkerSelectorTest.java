package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which worker is selected: by cost among the good ones, else the one that is blocked least. */
class WorkerSelectorTest {
  private static final Job JOB = Fixture.job("r", 0, 5_000);

  private final JobClass jobClass = Fixture.jobClass(Idempotency.KEYED, IdempotencyScope.CELL);
  private final WorkerRegistry registry = new WorkerRegistry(0, 1);
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(1);
  private final SplittableRandom random = new SplittableRandom(3);
  private final OutlierDetector outliers = new OutlierDetector(registry, serviceTimes, random);
  private final PendingRequest request = new PendingRequest(JOB, jobClass);
  private final WorkerSelector selector;

  WorkerSelectorTest() {
    DispatcherSettings settings = Fixture.settings(0, 1, jobClass);
    SlotBudget budget = new SlotBudget(false);
    WaitEstimator waits = new WaitEstimator(registry, serviceTimes, budget, 1);
    StartDeadlines deadlines = new StartDeadlines(serviceTimes, waits, budget);
    SlowStart grants = new SlowStart(settings.cold(), 0, 1);
    FleetLoadMeter fleetLoad = new FleetLoadMeter(registry, outliers, grants);
    SlowStartGate slowStart = new SlowStartGate(grants, serviceTimes, budget, fleetLoad);
    RetryPolicy retries = new RetryPolicy(settings.limits(), settings.roundMs());
    CandidateFilter filter = new CandidateFilter(retries, slowStart, outliers, deadlines, budget);
    CandidateCost cost = new CandidateCost(settings, registry, serviceTimes, waits);
    selector = new WorkerSelector(registry, filter, cost, outliers, random);
    registry.update(
        EndpointListUpdate.WHOLE,
        List.of(Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0), Fixture.worker(3, 0, 1)));
  }

  private WorkerStats worker(int id) {
    return registry.local().get(id - 1);
  }

  private long selected() {
    return selector.select(request, null, 10).id;
  }

  @Test
  void theWorkerThatHoldsTheFewestSlotsIsSelected() {
    registry.ready().forEach(registry::markProven);
    registry.attemptSent(worker(1), JOB, 0);
    registry.attemptSent(worker(3), JOB, 0);
    assertEquals(2, selected());
  }

  @Test
  void ejectedAndTriedWorkersAreTheLastResort() {
    outliers.eject(worker(1), 0);
    request.attempts.add(new Attempt(worker(2), 0));
    assertEquals(3, selected());
    outliers.eject(worker(3), 0);
    assertNull(selector.selectPreferred(request, null, 10));
    assertEquals(2, selected(), "tried, but not blocked");
  }

  @Test
  void aKeyedRequestStaysInTheGroupOfItsFirstAttempt() {
    Attempt first = new Attempt(worker(1), 0);
    for (int i = 0; i < 20; i++) {
      assertNotEquals(3, selector.select(request, first, 10).id);
    }
  }
}
