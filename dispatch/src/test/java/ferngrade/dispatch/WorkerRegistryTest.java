package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks updates of the endpoint list, restarts of workers, and the slots held at workers. */
class WorkerRegistryTest {
  private final WorkerRegistry registry = new WorkerRegistry(0, 1);

  private void update(EndpointListUpdate update, Worker... entries) {
    registry.update(update, List.of(entries));
  }

  @Test
  void keepsOtherWorkersOnChangesAndDropsThemOnWholeList() {
    update(EndpointListUpdate.WHOLE, Fixture.worker(2, 0, 0), Fixture.worker(1, 0, 0));
    update(EndpointListUpdate.CHANGES, Fixture.worker(3, 1, 0));
    assertEquals(List.of(1L, 2L), registry.local().stream().map(worker -> worker.id).toList());
    assertEquals(List.of(3L), registry.remote().stream().map(worker -> worker.id).toList());
    update(EndpointListUpdate.WHOLE, Fixture.worker(3, 1, 0));
    assertEquals(1, registry.readyCount());
    update(
        EndpointListUpdate.CHANGES,
        Fixture.withState(Fixture.worker(3, 1, 0), WorkerState.DRAINING, 0));
    assertEquals(0, registry.readyCount());
  }

  @Test
  void discardsEstimatesAfterRestart() {
    Worker entry = Fixture.worker(1, 0, 0);
    update(EndpointListUpdate.WHOLE, entry);
    WorkerStats before = registry.local().get(0);
    update(EndpointListUpdate.WHOLE, entry);
    assertSame(before, registry.local().get(0));
    update(EndpointListUpdate.WHOLE, Fixture.withState(entry, WorkerState.READY, 500));
    assertNotSame(before, registry.local().get(0));
  }

  @Test
  void assumesMeanHeldSlotsForWorkerWithoutOutcomes() {
    update(EndpointListUpdate.WHOLE, Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0));
    WorkerStats first = registry.local().get(0);
    WorkerStats second = registry.local().get(1);
    Job job = Fixture.job("r", 0, 5_000);
    registry.attemptSent(first, job, 0);
    assertEquals(0.5, registry.effectiveSlotsInFlight(second));
    registry.markObserved(second);
    assertEquals(0, registry.effectiveSlotsInFlight(second));
    registry.attemptEnded(first, job);
    assertEquals(0, registry.effectiveSlotsInFlight(first));
    assertEquals(Math.exp(-1), registry.recentSlots(first, 1_000), 1e-9);
  }

  @Test
  void learnsSlotsFromLoadReports() {
    update(EndpointListUpdate.WHOLE, Fixture.worker(1, 0, 0));
    WorkerStats worker = registry.local().get(0);
    registry.learnSlots(worker, LoadReport.NONE);
    assertEquals(1, worker.group.slots);
    registry.learnSlots(worker, new LoadReport(3, 1, 0, 5));
    assertEquals(8, worker.group.slots);
    registry.learnSlots(worker, new LoadReport(8, 1, 0, 10));
    assertEquals(9, worker.group.slots, 1e-9);
  }
}
