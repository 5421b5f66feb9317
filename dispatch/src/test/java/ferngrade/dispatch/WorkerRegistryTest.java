package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The endpoint list's changes, restarts, and the slots held at workers. */
class WorkerRegistryTest {
  private final WorkerRegistry registry = new WorkerRegistry(0, 1);

  private void list(EndpointListUpdate update, Worker... entries) {
    registry.update(update, List.of(entries));
  }

  @Test
  void changesKeepTheOthersAndAWholeListDropsThem() {
    list(EndpointListUpdate.WHOLE, Fixture.worker(2, 0, 0), Fixture.worker(1, 0, 0));
    list(EndpointListUpdate.CHANGES, Fixture.worker(3, 1, 0));
    assertEquals(List.of(1L, 2L), registry.local().stream().map(each -> each.id).toList());
    assertEquals(List.of(3L), registry.remote().stream().map(each -> each.id).toList());
    list(EndpointListUpdate.WHOLE, Fixture.worker(3, 1, 0));
    assertEquals(1, registry.readyCount());
    list(
        EndpointListUpdate.CHANGES, Fixture.with(Fixture.worker(3, 1, 0), WorkerState.DRAINING, 0));
    assertEquals(0, registry.readyCount());
  }

  @Test
  void aRestartForgetsWhatWasLearned() {
    Worker entry = Fixture.worker(1, 0, 0);
    list(EndpointListUpdate.WHOLE, entry);
    WorkerStats before = registry.local().get(0);
    list(EndpointListUpdate.WHOLE, entry);
    assertSame(before, registry.local().get(0));
    list(EndpointListUpdate.WHOLE, Fixture.with(entry, WorkerState.READY, 500));
    assertNotSame(before, registry.local().get(0));
  }

  @Test
  void anUnprovenWorkerCountsAsHoldingTheMean() {
    list(EndpointListUpdate.WHOLE, Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0));
    WorkerStats one = registry.local().get(0);
    WorkerStats other = registry.local().get(1);
    Job job = Fixture.job("r", 0, 5_000);
    registry.attemptSent(one, job, 0);
    assertEquals(0.5, registry.effectiveHeldSlots(other));
    registry.markObserved(other);
    assertEquals(0, registry.effectiveHeldSlots(other));
    registry.attemptEnded(one, job);
    assertEquals(0, registry.effectiveHeldSlots(one));
    assertEquals(Math.exp(-1), registry.recentSlots(one, 1_000), 1e-9);
  }

  @Test
  void slotsAreLearnedFromLoadReports() {
    list(EndpointListUpdate.WHOLE, Fixture.worker(1, 0, 0));
    WorkerStats worker = registry.local().get(0);
    registry.learnSlots(worker, LoadReport.NONE);
    assertEquals(1, worker.group.slots);
    registry.learnSlots(worker, new LoadReport(3, 1, 0, 5));
    assertEquals(8, worker.group.slots);
    registry.learnSlots(worker, new LoadReport(8, 1, 0, 10));
    assertEquals(9, worker.group.slots, 1e-9);
  }
}
