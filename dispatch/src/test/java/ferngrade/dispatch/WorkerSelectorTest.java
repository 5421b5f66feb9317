package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks that the selector picks the preferred worker with the lowest cost, or else the permitted
 * worker with the shortest remaining ejection.
 */
class WorkerSelectorTest {
  private static final int DISPATCHERS = 1_000;
  private static final int LARGE_FLEET = 400;
  private static final long WARMING_ID = 1_000;
  private static final Job JOB = Fixture.job("r", 0, 5_000);

  private final JobClass jobClass = Fixture.jobClass(Idempotency.KEYED, IdempotencyScope.CELL);
  private final WorkerRegistry registry = new WorkerRegistry(0, 1);
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(1);
  private final SplittableRandom random = new SplittableRandom(3);
  private final OutlierDetector outliers = new OutlierDetector(registry, serviceTimes, random);
  private final PendingRequest request = new PendingRequest(JOB, jobClass);
  private final SlotBudget budget;
  private final SlowStartGate slowStartGate;
  private final WorkerSelector selector;

  WorkerSelectorTest() {
    DispatcherSettings settings = Fixture.settings(0, 1, jobClass);
    budget = new SlotBudget(true);
    WaitEstimator waits = new WaitEstimator(registry, serviceTimes, budget, DISPATCHERS);
    StartDeadlines deadlines = new StartDeadlines(serviceTimes, waits, budget);
    SlowStart slowStart = new SlowStart(settings.slowStart(), 0, 1);
    FleetLoadMeter fleetLoad = new FleetLoadMeter(registry, outliers, slowStart);
    slowStartGate = new SlowStartGate(registry, slowStart, serviceTimes, budget, fleetLoad);
    RetryPolicy retries = new RetryPolicy(settings.limits(), settings.eventBatchIntervalMs());
    CandidateFilter filter =
        new CandidateFilter(retries, slowStartGate, outliers, deadlines, budget);
    CandidateCost cost = new CandidateCost(settings, registry, serviceTimes, waits, slowStartGate);
    selector = new WorkerSelector(registry, slowStartGate, filter, cost, outliers, random);
    registry.update(
        EndpointListUpdate.WHOLE,
        List.of(Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0), Fixture.worker(3, 0, 1)));
  }

  private WorkerStats worker(int id) {
    return registry.local().get(id - 1);
  }

  private long selectedId() {
    return selector.select(request, null, 10).id;
  }

  @Test
  void selectsWorkerWithFewestHeldSlots() {
    registry.ready().forEach(registry::markObserved);
    registry.attemptSent(worker(1), JOB, 0);
    registry.attemptSent(worker(3), JOB, 0);
    assertEquals(2, selectedId());
  }

  @Test
  void selectsEjectedOrTriedWorkersOnlyWithoutAlternative() {
    outliers.eject(worker(1), 0);
    request.attempts.add(new Attempt(worker(2), 0));
    assertEquals(3, selectedId());
    outliers.eject(worker(3), 0);
    assertNull(selector.selectPreferred(request, null, 10));
    assertEquals(2, selectedId(), "the worker was tried before but is not ejected");
  }

  @Test
  void keepsKeyedRequestInGroupOfItsFirstAttempt() {
    Attempt firstAttempt = new Attempt(worker(1), 0);
    for (int i = 0; i < 20; i++) {
      assertNotEquals(3, selector.select(request, firstAttempt, 10).id);
    }
  }

  /** Guards against a sample of a large fleet that misses the only worker with a grant. */
  @Test
  void considersWarmingWorkerWithGrantInLargeFleet() {
    double now = 5_000;
    List<Worker> fleet = fleet(LARGE_FLEET);
    fleet.add(new Worker(WARMING_ID, WorkerState.READY, 0, 0, 0, now - 3_000, 1));
    registry.update(EndpointListUpdate.WHOLE, fleet);
    budget.endCycle(new FleetLoad(LARGE_FLEET, LARGE_FLEET, 0, 1, true), 100, 1, 0.5, now);
    registry
        .ready()
        .filter(worker -> worker.id != WARMING_ID)
        .forEach(worker -> addAttempt(worker, now));
    double oneWindowLater = now + Fixture.SLOW_START.overloadWindowMs();
    slowStartGate.startCycle(now);
    slowStartGate.startCycle(oneWindowLater);
    assertEquals(WARMING_ID, selector.select(request, null, oneWindowLater).id);
  }

  /** Guards against rejecting a request because all workers of a sample would start it late. */
  @Test
  void findsTheOnlyWorkerOfALargeFleetThatStartsInTime() {
    List<Worker> fleet = fleet(LARGE_FLEET);
    registry.update(EndpointListUpdate.WHOLE, fleet);
    fleet.replaceAll(worker -> worker.id() == 7 ? worker : loaded(worker));
    registry.update(EndpointListUpdate.WHOLE, fleet);
    budget.endCycle(new FleetLoad(LARGE_FLEET, LARGE_FLEET, 0, 1, true), 100, 1, 0.5, 10);
    registry.ready().filter(worker -> worker.id == 7).forEach(worker -> addAttempt(worker, 10));
    assertEquals(7, selectedId());
  }

  private static List<Worker> fleet(int size) {
    List<Worker> fleet = new ArrayList<>();
    for (int id = 1; id <= size; id++) {
      fleet.add(Fixture.worker(id, 0, 0));
    }
    return fleet;
  }

  /** Returns a copy of the worker with a queue of about a hundred jobs per core. */
  private static Worker loaded(Worker worker) {
    return new Worker(worker.id(), WorkerState.READY, 0, 0, 0, 0, 0.01);
  }

  private void addAttempt(WorkerStats worker, double now) {
    registry.markObserved(worker);
    registry.attemptSent(worker, JOB, now);
  }
}
