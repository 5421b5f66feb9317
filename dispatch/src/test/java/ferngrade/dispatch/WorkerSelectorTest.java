package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which worker is selected: by cost among the good ones, else the one that is blocked least. */
class WorkerSelectorTest {
  private static final int DISPATCHERS = 1_000;
  private static final int LARGE_FLEET = 400;
  private static final long COLD = 1_000;
  private static final Job JOB = Fixture.job("r", 0, 5_000);

  private final JobClass jobClass = Fixture.jobClass(Idempotency.KEYED, IdempotencyScope.CELL);
  private final WorkerRegistry registry = new WorkerRegistry(0, 1);
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(1);
  private final SplittableRandom random = new SplittableRandom(3);
  private final OutlierDetector outliers = new OutlierDetector(registry, serviceTimes, random);
  private final PendingRequest request = new PendingRequest(JOB, jobClass);
  private final SlotBudget budget;
  private final SlowStartGate slowStart;
  private final WorkerSelector selector;

  WorkerSelectorTest() {
    DispatcherSettings settings = Fixture.settings(0, 1, jobClass);
    budget = new SlotBudget(true);
    WaitEstimator waits = new WaitEstimator(registry, serviceTimes, budget, DISPATCHERS);
    StartDeadlines deadlines = new StartDeadlines(serviceTimes, waits, budget);
    SlowStart grants = new SlowStart(settings.cold(), 0, 1);
    FleetLoadMeter fleetLoad = new FleetLoadMeter(registry, outliers, grants);
    slowStart = new SlowStartGate(registry, grants, serviceTimes, budget, fleetLoad);
    RetryPolicy retries = new RetryPolicy(settings.limits(), settings.roundMs());
    CandidateFilter filter = new CandidateFilter(retries, slowStart, outliers, deadlines, budget);
    CandidateCost cost = new CandidateCost(settings, registry, serviceTimes, waits, slowStart);
    selector = new WorkerSelector(registry, slowStart, filter, cost, outliers, random);
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
    registry.ready().forEach(registry::markObserved);
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

  /** Fails where a sample of a large fleet mostly misses the worker that may be used. */
  @Test
  void aWorkerThatWarmsUpIsLookedAtWhileThereIsAGrant() {
    double now = 5_000;
    List<Worker> fleet = fleet(LARGE_FLEET);
    fleet.add(new Worker(COLD, WorkerState.READY, 0, 0, 0, now - 3_000, 1));
    registry.update(EndpointListUpdate.WHOLE, fleet);
    budget.endCycle(new FleetLoad(LARGE_FLEET, LARGE_FLEET, 0, 1, true), 100, 1, 0.5, now);
    registry.ready().filter(each -> each.id != COLD).forEach(each -> hold(each, now));
    double aWindowLater = now + Fixture.COLD.tipMs();
    slowStart.startCycle(now);
    slowStart.startCycle(aWindowLater);
    assertEquals(COLD, selector.select(request, null, aWindowLater).id);
  }

  /** Fails where a request is rejected by the rows of a sample that are late. */
  @Test
  void theOneWorkerOfALargeFleetThatStartsInTimeIsFound() {
    List<Worker> fleet = fleet(LARGE_FLEET);
    registry.update(EndpointListUpdate.WHOLE, fleet);
    fleet.replaceAll(each -> each.id() == 7 ? each : loaded(each));
    registry.update(EndpointListUpdate.WHOLE, fleet);
    budget.endCycle(new FleetLoad(LARGE_FLEET, LARGE_FLEET, 0, 1, true), 100, 1, 0.5, 10);
    registry.ready().filter(each -> each.id == 7).forEach(each -> hold(each, 10));
    assertEquals(7, selected());
  }

  private static List<Worker> fleet(int size) {
    List<Worker> fleet = new ArrayList<>();
    for (int id = 1; id <= size; id++) {
      fleet.add(Fixture.worker(id, 0, 0));
    }
    return fleet;
  }

  /** The worker with a queue of a hundred jobs for each core. */
  private static Worker loaded(Worker worker) {
    return new Worker(worker.id(), WorkerState.READY, 0, 0, 0, 0, 0.01);
  }

  private void hold(WorkerStats worker, double now) {
    registry.markObserved(worker);
    registry.attemptSent(worker, JOB, now);
  }
}
