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

/** The model of a worker, against what can be worked out by hand. */
class WorkerModelTest {
  private final VirtualTime time = new VirtualTime(1000);
  private final Map<String, Double> ends = new TreeMap<>();
  private final List<String> heard = new ArrayList<>();
  private double fell = Double.NaN;

  private static KindSpec kind() {
    KindSpec kind = new KindSpec();
    kind.cores = 2;
    kind.speedSpread = 0;
    kind.errorRate = 0;
    kind.thrash = 0;
    kind.progressMs = 0;
    kind.queuePerCore = 2;
    return kind;
  }

  private WorkerModel worker(KindSpec kind, double startedAt) {
    return new WorkerModel(
        time, kind, startedAt, 2.5, 3000, new Streams(1).stream("w"), share -> fell = share);
  }

  private boolean offer(WorkerModel worker, String id, double work, int slots, int priority) {
    return worker.offer(
        new WorkerModel.Work(id, work, slots, priority, 0, 0),
        true,
        new WorkerModel.Ear() {
          @Override
          public void started() {
            heard.add(id + " started");
          }

          @Override
          public void progress(double share) {
            heard.add(id + " " + Math.round(share * 100));
          }

          @Override
          public void done() {
            ends.put(id, time.now());
          }

          @Override
          public void failed() {
            heard.add(id + " failed");
          }

          @Override
          public void returned() {
            heard.add(id + " returned");
          }

          @Override
          public void lost() {
            heard.add(id + " lost");
          }
        });
  }

  private double tookAbout(WorkerModel worker, long object) {
    double from = time.now();
    assertTrue(
        worker.offer(
            new WorkerModel.Work("o" + from, 100, 1, 0, object, 70),
            true,
            WorkerModel.ending(silent(), end -> ends.put("o" + from, time.now()))));
    time.run(from + 1000);
    return ends.get("o" + from) - from;
  }

  @Test
  void aJobPaysForAFetchUnlessItsObjectIsAmongThoseUsedLast() {
    KindSpec kind = kind();
    kind.keptPerSlot = 1;
    WorkerModel worker = worker(kind, 0);
    assertEquals(170, tookAbout(worker, 1), 1e-6);
    assertEquals(100, tookAbout(worker, 1), 1e-6);
    assertEquals(170, tookAbout(worker, 2), 1e-6);
    assertEquals(100, tookAbout(worker, 1), 1e-6);
    assertEquals(170, tookAbout(worker, 3), 1e-6);
    assertEquals(
        170,
        tookAbout(worker, 2),
        1e-6,
        "the third took the place of the one not used for longest");
    assertEquals(100, tookAbout(worker, 0), 1e-6, "a job that is about nothing fetches nothing");
  }

  @Test
  void slotsRunSideBySideTheQueueWaitsAndBeyondItIsFull() {
    WorkerModel worker = worker(kind(), 0);
    for (int i = 0; i < 6; i++) {
      assertTrue(offer(worker, "j" + i, 100, 1, 0));
    }
    assertFalse(offer(worker, "j6", 100, 1, 0));
    assertEquals(2, worker.running());
    assertEquals(4, worker.waiting());
    time.run(2000);
    assertEquals(
        Map.of("j0", 1100.0, "j1", 1100.0, "j2", 1200.0, "j3", 1200.0, "j4", 1300.0, "j5", 1300.0),
        ends);
  }

  @Test
  void moreSlotsThanCoresShareTheCores() {
    KindSpec kind = kind();
    kind.slotsPerCore = 2;
    WorkerModel worker = worker(kind, 0);
    for (int i = 0; i < 4; i++) {
      offer(worker, "j" + i, 100, 1, 0);
    }
    time.run(5000);
    assertEquals(1200, ends.get("j3"), 1e-6);
  }

  @Test
  void anOrderIsKeptAndAJobThatDoesNotFitHoldsUpAFifoAlone() {
    for (KindSpec.Order order : KindSpec.Order.values()) {
      ends.clear();
      KindSpec kind = kind();
      kind.order = order;
      WorkerModel worker = worker(kind, 0);
      double start = time.now();
      offer(worker, "first", 100, 1, 0);
      offer(worker, "wide", 100, 2, 0);
      offer(worker, "small", 100, 1, 1);
      time.run(start + 1000);
      double small = ends.get("small") - start;
      assertEquals(order == KindSpec.Order.FIFO ? 300 : 100, small, 1e-6, order.name());
    }
  }

  @Property(tries = 100, seed = "20261201")
  void allWorkIsServedAtTheSpeedOfTheCores(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = 500) Integer> works,
      @ForAll @DoubleRange(min = 0.05, max = 1) double coldStart,
      @ForAll @IntRange(max = 4000) int age) {
    VirtualTime clock = new VirtualTime(10_000);
    KindSpec kind = kind();
    kind.cores = 1;
    kind.slotsPerCore = 1;
    kind.queuePerCore = 10;
    kind.coldStart = coldStart;
    kind.coldMs = 3000;
    double born = 10_000 - age;
    WorkerModel worker =
        new WorkerModel(clock, kind, born, 1e9, 3000, new Streams(1).stream("w"), share -> {});
    double[] last = {0};
    double all = 0;
    for (int work : works) {
      all += work;
      worker.offer(
          new WorkerModel.Work("x", work, 1, 0, 0, 0),
          true,
          WorkerModel.ending(silent(), end -> last[0] = clock.now()));
    }
    clock.run(1e6);
    // The integral of the warmth from the offer to the last end, summed in small steps, is the
    // work.
    double served = 0;
    double step = 0.05;
    for (double at = 10_000; at < last[0]; at += step) {
      double warmth =
          Math.min(1, coldStart + (1 - coldStart) * Math.min(1, (at + step / 2 - born) / 3000));
      served += warmth * Math.min(step, last[0] - at);
    }
    assertEquals(all, served, 0.5);
  }

  private static WorkerModel.Ear silent() {
    return new WorkerModel.Ear() {
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
  void aDrainHandsBackWhatWaitsAndFinishesWhatRuns() {
    WorkerModel worker = worker(kind(), 0);
    offer(worker, "a", 100, 1, 0);
    offer(worker, "b", 100, 1, 0);
    offer(worker, "c", 100, 1, 0);
    heard.clear();
    worker.drain();
    assertFalse(offer(worker, "d", 100, 1, 0));
    time.run(2000);
    assertEquals(List.of("c returned"), heard);
    assertEquals(2, ends.size());
  }

  @Test
  void aColdWorkerFallsFromThePushOfAWindowAndAWarmOneDoesNot() {
    KindSpec kind = kind();
    kind.queuePerCore = 0;
    kind.coldStart = 0.2;
    kind.coldMs = 20_000;
    WorkerModel cold = worker(kind, time.now());
    // 2.5 times 0.4 of work a ms for 3 s is 3000: what is turned away counts as well.
    for (int i = 0; i < 29; i++) {
      offer(cold, "j" + i, 100, 1, 0);
    }
    assertTrue(cold.up());
    offer(cold, "k0", 100, 1, 0);
    offer(cold, "k1", 100, 1, 0);
    assertFalse(cold.up());
    assertEquals(1, fell, 1e-9);
    assertTrue(heard.contains("j0 lost"));
    WorkerModel warm = worker(kind, 0);
    for (int i = 0; i < 500; i++) {
      offer(warm, "w" + i, 100, 1, 0);
    }
    assertTrue(warm.up());
  }

  @Test
  void aSlowAndAHungWorkerSayNothingOfIt() {
    KindSpec kind = kind();
    kind.progressMs = 40;
    WorkerModel worker = worker(kind, 0);
    offer(worker, "a", 100, 1, 0);
    time.run(1050);
    worker.slow(10);
    time.run(1100);
    worker.slow(1);
    worker.hang(true);
    time.run(3000);
    assertEquals(Map.of(), ends);
    worker.hang(false);
    time.run(4000);
    assertEquals(3045, ends.get("a"), 1e-6);
    assertEquals(List.of("a started", "a 40", "a 53"), heard.subList(0, 3));
  }

  @Test
  void aLoadReportIsAsOldAsItsPeriodAndNoisy() {
    WorkerModel worker = worker(kind(), 0);
    double before = worker.report().queued();
    for (int i = 0; i < 6; i++) {
      offer(worker, "j" + i, 1000, 1, 0);
    }
    assertEquals(before, worker.report().queued(), "within the period it is the old one");
    time.run(time.now() + 50);
    double after = worker.report().queued();
    assertTrue(after != 4 && Math.abs(after - 4) <= 0.2, "strays by a twentieth at most: " + after);
  }

  @Test
  void aRepeatOfAKeyDoesNoWorkAndEndsAsTheFirstDoes() {
    KeyWindows windows = new KeyWindows(time);
    List<String> ended = new ArrayList<>();
    assertTrue(windows.first("k", 500, end -> ended.add("first " + end)));
    assertFalse(windows.first("k", 500, end -> ended.add("second " + end)));
    windows.ended("k", KeyWindows.End.DONE);
    assertFalse(windows.first("k", 500, end -> ended.add("third " + end)));
    time.run(time.now() + 499);
    assertEquals(List.of("second DONE", "third DONE"), ended);
    time.run(time.now() + 1);
    assertTrue(windows.first("k", 500, end -> ended.add("anew")));
    windows.ended("k", KeyWindows.End.RETURNED);
    assertTrue(
        windows.first("k", 500, end -> ended.add("again")), "what never ran leaves its key free");
  }
}
