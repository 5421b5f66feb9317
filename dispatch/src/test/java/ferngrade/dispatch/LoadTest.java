package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks how a dispatcher uses the load of each worker in the endpoint list. */
class LoadTest {
  private static final long BUDGET_CYCLE_TOKEN = 1;
  private static final int WORKERS = 8;
  private static final double CORES = 8;
  private final Fixture.Recorder actions = new Fixture.Recorder();
  private ThrottlingDispatcher dispatcher = dispatcher(0, 4);
  private final Deque<String> running = new ArrayDeque<>();
  private final double[] load = new double[WORKERS];
  private final Set<Integer> removed = new HashSet<>();
  private int nextId;
  private double now;

  private ThrottlingDispatcher dispatcher(int index, int dispatchers) {
    return new ThrottlingDispatcher(
        Fixture.settings(
            index,
            dispatchers,
            Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL),
            List.of(new Tenant("a", 1, 10)),
            true,
            true),
        7 + index,
        0,
        actions);
  }

  private void updateList() {
    List<Worker> entries = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      WorkerState state = removed.contains(i) ? WorkerState.GONE : WorkerState.READY;
      entries.add(new Worker(i, state, 0, 0, 0, 0, CORES / (1 + load[i])));
    }
    dispatcher.endpointsUpdated(now, EndpointListUpdate.CHANGES, entries);
  }

  /**
   * Runs {@code count} budget cycles of half a second. Each cycle begins with an update of the
   * endpoint list; {@code jobs} jobs arrive and end within the cycle. Returns the number of
   * rejected jobs.
   */
  private int runCycles(int count, int jobs) {
    int rejectedBefore = actions.rejected.size();
    for (int i = 0; i < count; i++, now += jobs == 0 ? 500 : 0) {
      updateList();
      for (int job = 0; job < jobs; job++) {
        now += 500.0 / jobs;
        String id = "r" + nextId++;
        int sendsBefore = actions.sends.size();
        dispatcher.requestArrived(now, Fixture.job(id, 0, now + 10_000));
        if (actions.sends.size() > sendsBefore) {
          dispatcher.attemptStarted(now + 1, id, 0);
          running.add(id);
        }
        if (running.size() > 5) {
          dispatcher.attemptEnded(
              now + 1, running.poll(), 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
        }
      }
      dispatcher.timerExpired(now, BUDGET_CYCLE_TOKEN);
    }
    return actions.rejected.size() - rejectedBefore;
  }

  private double warmUp(double workerLoad) {
    updateList();
    Arrays.fill(load, workerLoad);
    runCycles(20, 10);
    return dispatcher.slice();
  }

  @Test
  void setsSliceToShareOfTheFleetWithHeadroom() {
    // The dispatcher starts 20 slots per second while half of the fleet's cores are busy, so its
    // share is 40; the slice includes headroom above that.
    assertEquals(1.75 * 40, warmUp(0.5), 10);
  }

  @Test
  void admitsBurstAfterIdlePeriodUpToIdleCapacity() {
    warmUp(0.3);
    runCycles(20, 0);
    assertEquals(0, runCycles(4, 8));
  }

  @Test
  void reducesSliceAfterLossOfZoneBeforeAnyJobIsLate() {
    double before = warmUp(0.5);
    removed.addAll(List.of(0, 1, 2, 3));
    runCycles(2, 10);
    assertTrue(dispatcher.slice() < 0.75 * before, before + " -> " + dispatcher.slice());
  }

  @Test
  void avoidsOneWorkerWithLongQueueWithoutCuttingSlice() {
    double before = warmUp(0.5);
    load[3] = 40;
    int firstNewSend = actions.sends.size();
    runCycles(2, 10);
    assertTrue(
        actions.sends.subList(firstNewSend, actions.sends.size()).stream()
            .noneMatch(send -> send.workerId() == 3));
    assertTrue(dispatcher.slice() > 0.8 * before, before + " -> " + dispatcher.slice());
  }

  @Test
  void doesNotRejectJobsBecauseOfWorkerWithLongQueueFromOthers() {
    warmUp(0.5);
    load[3] = 3;
    updateList();
    // None of these jobs starts, so the other workers soon hold several jobs of this dispatcher
    // each, while the worker with the long queue holds none.
    for (int i = 0; i < 20; i++) {
      dispatcher.requestArrived(now + 10 * i, Fixture.job("h" + i, 0, now + 10_000));
    }
    assertTrue(
        actions.rejected.stream().noneMatch(id -> id.startsWith("h")),
        "rejected " + actions.rejected);
  }

  @Test
  void rejectsJobThatWouldStartLateAtEveryWorker() {
    warmUp(0.5);
    Arrays.fill(load, 40);
    assertTrue(runCycles(1, 5) >= 4, "rejected " + actions.rejected);
    Arrays.fill(load, 0.2);
    assertEquals(0, runCycles(1, 5), "rejections after the queues have drained");
  }

  @Test
  void hundredDispatchersDoNotOverloadTheWorkerListedAsIdle() {
    int sentToIdleWorker = 0;
    for (int number = 0; number < 100; number++) {
      dispatcher = dispatcher(number, 100);
      running.clear();
      warmUp(0.5);
      Arrays.fill(load, 1.95);
      load[3] = 0.2;
      updateList();
      dispatcher.requestArrived(now, Fixture.job("c" + number, 0, now + 10_000));
      sentToIdleWorker += actions.lastSend().workerId() == 3 ? 1 : 0;
      Arrays.fill(load, 0);
    }
    assertTrue(
        sentToIdleWorker < 60,
        "jobs at the idle worker, of one from each of 100 dispatchers: " + sentToIdleWorker);
  }

  @Test
  void spreadsJobsBeforeFastWorkersReceiveMoreRegardlessOfListedSize() {
    List<Worker> entries = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      entries.add(new Worker(i, WorkerState.READY, 0, i % 2, 0, 0, CORES));
    }
    dispatcher.endpointsUpdated(now, EndpointListUpdate.STORED, entries);
    for (int i = 0; i < 40; i++) {
      String id = "w" + i;
      dispatcher.requestArrived(now, new Job(id, 0, 0, now + 10_000, 1000, 1, 0, 0));
      dispatcher.attemptStarted(now, id, 0);
      double durationMs = actions.lastSend().workerId() % 2 == 0 ? 500 : 1000;
      now += durationMs;
      dispatcher.attemptEnded(now, id, 0, AttemptOutcome.OK, durationMs, true, LoadReport.NONE);
    }
    int firstNewSend = actions.sends.size();
    for (int i = 0; i < WORKERS; i++) {
      dispatcher.requestArrived(now, new Job("b" + i, 0, 0, now + 10_000, 1000, 1, 0, 0));
    }
    long usedWorkers =
        actions.sends.stream().skip(firstNewSend).map(Fixture.Send::workerId).distinct().count();
    assertTrue(usedWorkers > WORKERS / 2, "workers used for one job per worker: " + usedWorkers);
  }
}
