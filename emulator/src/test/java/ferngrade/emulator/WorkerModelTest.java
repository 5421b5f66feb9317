package ferngrade.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Compares the worker model with results that are calculated by hand. */
class WorkerModelTest {
  private final VirtualTime time = new VirtualTime(1000);
  private final Map<String, Double> ends = new TreeMap<>();
  private final List<String> events = new ArrayList<>();
  private double informedShare = Double.NaN;

  private static WorkerTypeSpec workerType() {
    WorkerTypeSpec type = new WorkerTypeSpec();
    type.cores = 2;
    type.speedSpread = 0;
    type.errorRate = 0;
    type.thrash = 0;
    type.progressMs = 0;
    type.queuePerCore = 2;
    return type;
  }

  private WorkerModel worker(WorkerTypeSpec type, double startedAt) {
    return new WorkerModel(
        time,
        type,
        startedAt,
        2.5,
        3000,
        new RandomStreams(1).stream("w"),
        share -> informedShare = share);
  }

  private boolean offer(WorkerModel worker, String id, double work, int slots, int priority) {
    return worker.offer(
        new WorkerModel.Work(id, work, slots, priority, 0, 0),
        true,
        new WorkerModel.JobListener() {
          @Override
          public void started() {
            events.add(id + " started");
          }

          @Override
          public void progress(double share) {
            events.add(id + " " + Math.round(share * 100));
          }

          @Override
          public void done() {
            ends.put(id, time.now());
          }

          @Override
          public void failed() {
            events.add(id + " failed");
          }

          @Override
          public void returned() {
            events.add(id + " returned");
          }

          @Override
          public void lost() {
            events.add(id + " lost");
          }
        });
  }

  /** Returns how long a job with 100 ms of work and a fetch of 70 ms takes for the object. */
  private double durationOfJobWithObject(WorkerModel worker, long object) {
    double start = time.now();
    assertTrue(
        worker.offer(
            new WorkerModel.Work("o" + start, 100, 1, 0, object, 70),
            true,
            WorkerModel.notifyingOutcome(
                ignoringListener(), end -> ends.put("o" + start, time.now()))));
    time.run(start + 1000);
    return ends.get("o" + start) - start;
  }

  @Test
  void jobFetchesItsObjectUnlessItIsCached() {
    WorkerTypeSpec type = workerType();
    type.keptPerSlot = 1;
    WorkerModel worker = worker(type, 0);
    assertEquals(170, durationOfJobWithObject(worker, 1), 1e-6);
    assertEquals(100, durationOfJobWithObject(worker, 1), 1e-6);
    assertEquals(170, durationOfJobWithObject(worker, 2), 1e-6);
    assertEquals(100, durationOfJobWithObject(worker, 1), 1e-6);
    assertEquals(170, durationOfJobWithObject(worker, 3), 1e-6);
    assertEquals(
        170,
        durationOfJobWithObject(worker, 2),
        1e-6,
        "the third object must have evicted the least recently used one");
    assertEquals(
        100, durationOfJobWithObject(worker, 0), 1e-6, "a job without an object must not fetch");
  }

  @Test
  void runsJobsInSlotsQueuesMoreAndRejectsWhenTheQueueIsFull() {
    WorkerModel worker = worker(workerType(), 0);
    for (int i = 0; i < 6; i++) {
      assertTrue(offer(worker, "j" + i, 100, 1, 0));
    }
    assertFalse(offer(worker, "j6", 100, 1, 0));
    assertEquals(2, worker.runningCount());
    assertEquals(4, worker.waitingCount());
    time.run(2000);
    assertEquals(
        Map.of("j0", 1100.0, "j1", 1100.0, "j2", 1200.0, "j3", 1200.0, "j4", 1300.0, "j5", 1300.0),
        ends);
  }

  @Test
  void moreSlotsThanCoresShareTheCores() {
    WorkerTypeSpec type = workerType();
    type.slotsPerCore = 2;
    WorkerModel worker = worker(type, 0);
    for (int i = 0; i < 4; i++) {
      offer(worker, "j" + i, 100, 1, 0);
    }
    time.run(5000);
    assertEquals(1200, ends.get("j3"), 1e-6);
  }

  @Test
  void jobThatDoesNotFitBlocksOnlyAFifoQueue() {
    for (WorkerTypeSpec.Order order : WorkerTypeSpec.Order.values()) {
      ends.clear();
      WorkerTypeSpec type = workerType();
      type.order = order;
      WorkerModel worker = worker(type, 0);
      double start = time.now();
      offer(worker, "first", 100, 1, 0);
      offer(worker, "wide", 100, 2, 0);
      offer(worker, "small", 100, 1, 1);
      time.run(start + 1000);
      double small = ends.get("small") - start;
      assertEquals(order == WorkerTypeSpec.Order.FIFO ? 300 : 100, small, 1e-6, order.name());
    }
  }

  @Property(tries = 100, seed = "20261201")
  void completesAllWorkAtTheSpeedOfTheCores(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 500) Integer> works,
      @ForAll @DoubleRange(min = 0.05, max = 1) double coldStart,
      @ForAll @IntRange(max = 4000) int age) {
    VirtualTime clock = new VirtualTime(10_000);
    WorkerTypeSpec type = workerType();
    type.cores = 1;
    type.slotsPerCore = 1;
    type.queuePerCore = 10;
    type.coldStart = coldStart;
    type.coldMs = 3000;
    double startedAt = 10_000 - age;
    WorkerModel worker =
        new WorkerModel(
            clock, type, startedAt, 1e9, 3000, new RandomStreams(1).stream("w"), share -> {});
    double[] lastEnd = {0};
    double offered = 0;
    for (int work : works) {
      offered += work;
      worker.offer(
          new WorkerModel.Work("x", work, 1, 0, 0, 0),
          true,
          WorkerModel.notifyingOutcome(ignoringListener(), end -> lastEnd[0] = clock.now()));
    }
    clock.run(1e6);
    // Integrates the warmth, in small steps, over the time from the offer of the jobs to the end of
    // the last job. The integral must equal the work offered.
    double served = 0;
    double step = 0.05;
    for (double at = 10_000; at < lastEnd[0]; at += step) {
      double warmth =
          Math.min(
              1, coldStart + (1 - coldStart) * Math.min(1, (at + step / 2 - startedAt) / 3000));
      served += warmth * Math.min(step, lastEnd[0] - at);
    }
    assertEquals(offered, served, 0.5);
  }

  private static WorkerModel.JobListener ignoringListener() {
    return new WorkerModel.JobListener() {
      @Override
      public void started() {}

      @Override
      public void progress(double share) {}

      @Override
      public void done() {}

      @Override
      public void failed() {}

      @Override
      public void returned() {}

      @Override
      public void lost() {}
    };
  }

  @Test
  void drainReturnsWaitingJobsAndFinishesRunningJobs() {
    WorkerModel worker = worker(workerType(), 0);
    offer(worker, "a", 100, 1, 0);
    offer(worker, "b", 100, 1, 0);
    offer(worker, "c", 100, 1, 0);
    events.clear();
    worker.drain();
    assertFalse(offer(worker, "d", 100, 1, 0));
    time.run(2000);
    assertEquals(List.of("c returned"), events);
    assertEquals(2, ends.size());
  }

  @Test
  void coldWorkerCrashesFromOverloadAndWarmWorkerDoesNot() {
    WorkerTypeSpec type = workerType();
    type.queuePerCore = 0;
    type.coldStart = 0.2;
    type.coldMs = 20_000;
    WorkerModel cold = worker(type, time.now());
    // The limit is 3000 ms of work: 2.5 times the capacity of 0.4 ms per ms, over 3 s. Rejected
    // work
    // counts as well.
    for (int i = 0; i < 29; i++) {
      offer(cold, "j" + i, 100, 1, 0);
    }
    assertTrue(cold.up());
    offer(cold, "k0", 100, 1, 0);
    offer(cold, "k1", 100, 1, 0);
    assertFalse(cold.up());
    assertEquals(1, informedShare, 1e-9);
    assertTrue(events.contains("j0 lost"));
    WorkerModel warm = worker(type, 0);
    for (int i = 0; i < 500; i++) {
      offer(warm, "w" + i, 100, 1, 0);
    }
    assertTrue(warm.up());
  }

  @Test
  void slowOrHungWorkerReportsNoError() {
    WorkerTypeSpec type = workerType();
    type.progressMs = 40;
    WorkerModel worker = worker(type, 0);
    offer(worker, "a", 100, 1, 0);
    time.run(1050);
    worker.setSlowdown(10);
    time.run(1100);
    worker.setSlowdown(1);
    worker.setHung(true);
    time.run(3000);
    assertEquals(Map.of(), ends);
    worker.setHung(false);
    time.run(4000);
    assertEquals(3045, ends.get("a"), 1e-6);
    assertEquals(List.of("a started", "a 40", "a 53"), events.subList(0, 3));
  }

  @Test
  void loadReportIsUpdatedOncePerPeriodAndContainsNoise() {
    WorkerModel worker = worker(workerType(), 0);
    double before = worker.report().queued();
    for (int i = 0; i < 6; i++) {
      offer(worker, "j" + i, 1000, 1, 0);
    }
    assertEquals(before, worker.report().queued(), "the report must not change within its period");
    time.run(time.now() + 50);
    double after = worker.report().queued();
    assertTrue(
        after != 4 && Math.abs(after - 4) <= 0.2,
        "the noise must be at most one twentieth: " + after);
  }

  @Test
  void repeatedKeyDoesNoWorkAndEndsLikeTheFirst() {
    KeyWindows windows = new KeyWindows(time);
    List<String> ended = new ArrayList<>();
    assertTrue(windows.registerFirst("k", 500, end -> ended.add("first " + end)));
    assertFalse(windows.registerFirst("k", 500, end -> ended.add("second " + end)));
    windows.recordOutcome("k", KeyWindows.Outcome.DONE);
    assertFalse(windows.registerFirst("k", 500, end -> ended.add("third " + end)));
    time.run(time.now() + 499);
    assertEquals(List.of("second DONE", "third DONE"), ended);
    time.run(time.now() + 1);
    assertTrue(windows.registerFirst("k", 500, end -> ended.add("anew")));
    windows.recordOutcome("k", KeyWindows.Outcome.RETURNED);
    assertTrue(
        windows.registerFirst("k", 500, end -> ended.add("again")),
        "a returned job must free its key");
  }
}
