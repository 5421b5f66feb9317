package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * What a worker reports against what it does, and jobs far from the mean, on workers that are
 * played here.
 */
class ReportsTest {
  private static final int WORKERS = 4;
  private static final int SLOTS = 4;
  private static final double WORK = 300;
  private static final LoadReport FREE = new LoadReport(SLOTS - 1, SLOTS - 1, Double.NaN, 1);

  private final Fixture.Recorder out = new Fixture.Recorder();
  private final SplittableRandom random = new SplittableRandom(11);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
  private final double[][] slotFree = new double[WORKERS + 1][SLOTS];
  private final double[] slowness = {1, 1, 1, 1, 1};
  private final int[] given = new int[WORKERS + 1];
  private ThrottlingDispatcher dispatcher;
  private int seen;

  private record Event(double at, Runnable run) {}

  private void start(JobClass... classes) {
    DispatcherSettings from = Fixture.settings(0, 1, classes[0]);
    dispatcher =
        new ThrottlingDispatcher(
            new DispatcherSettings(
                0,
                1,
                0,
                2,
                List.of(classes),
                from.tenants(),
                from.limits(),
                from.cold(),
                false,
                true,
                false,
                0,
                new ServiceObjective(0.5, 0.2)),
            7,
            0,
            out);
    List<Worker> fleet =
        List.of(
            Fixture.worker(1, 0, 0),
            Fixture.worker(2, 0, 0),
            Fixture.worker(3, 0, 1),
            Fixture.worker(4, 0, 2));
    dispatcher.members(0, EndpointListUpdate.STORED, fleet);
  }

  /**
   * Jobs come in the mean each {@code gap} ms; every worker tells that it is all but free, whatever
   * it holds.
   */
  private void play(double from, double until, double gap, double heavyShare, double heavy) {
    double at = from;
    for (int i = 0; at < until; i++) {
      at += gap * (0.5 + random.nextDouble());
      double time = at;
      double work = WORK * (random.nextDouble() < heavyShare ? heavy : 1);
      Job job = new Job("j" + from + "-" + i, 0, 0, at + 6_000, WORK, 1, 0, 0);
      events.add(
          new Event(
              at,
              () -> {
                dispatcher.arrived(time, job);
                carryOut(time, work);
              }));
    }
    for (double cycle = from; cycle < until; cycle += 500) {
      double time = cycle;
      events.add(new Event(cycle, () -> dispatcher.timer(time, 1)));
    }
    while (!events.isEmpty() && events.peek().at < until) {
      events.poll().run.run();
    }
  }

  /** Gives what was sent just now to its worker: the slot that is free first runs it. */
  private void carryOut(double now, double work) {
    for (; seen < out.sends.size(); seen++) {
      Fixture.Send send = out.sends.get(seen);
      long attempts =
          out.sends.subList(0, seen).stream().filter(each -> each.id().equals(send.id())).count();
      int worker = (int) send.worker();
      given[worker]++;
      double[] free = slotFree[worker];
      int first = 0;
      for (int i = 1; i < SLOTS; i++) {
        first = free[i] < free[first] ? i : first;
      }
      double begins = Math.max(now, free[first]);
      double ends = begins + work * slowness[worker];
      free[first] = ends;
      events.add(new Event(begins, () -> dispatcher.started(begins, send.id(), (int) attempts)));
      events.add(
          new Event(
              ends,
              () -> {
                dispatcher.ended(
                    ends, send.id(), (int) attempts, AttemptOutcome.OK, ends - now, true, FREE);
                carryOut(ends, work);
              }));
    }
  }

  @Test
  void aWorkerEightTimesSlowerThatReportsFreeGetsFarLessThanAnEvenShare() {
    start(Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL));
    play(0, 8_000, 40, 0, 1);
    slowness[2] = 8;
    play(8_000, 12_000, 40, 0, 1);
    int before = given[2];
    int others = given[1] + given[3] + given[4];
    play(12_000, 25_000, 40, 0, 1);
    int slow = given[2] - before;
    double even = (given[1] + given[3] + given[4] - others) / 3.0;
    assertTrue(slow < 0.4 * even, "the slow one got " + slow + ", each other " + even);
  }

  @Test
  void aFewJobsTwentyTimesAsCostlyEjectNobodyAndRefuseNobodyOnAnIdleFleet() {
    start(Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL));
    play(0, 30_000, 60, 0.02, 20);
    assertEquals(0, dispatcher.excluded(30_000));
    assertTrue(
        out.refused.size() < 0.02 * out.sends.size(),
        out.refused.size() + " of " + out.sends.size());
    for (int worker = 1; worker <= WORKERS; worker++) {
      assertTrue(
          given[worker] > 0.15 * out.sends.size(), "worker " + worker + " got " + given[worker]);
    }
  }

  @Test
  void aWorkerWithoutMemoryIsPassedOverForAMomentThoughItsSlotsAreFree() {
    start(Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL));
    double now = 100;
    dispatcher.arrived(now, new Job("first", 0, 0, now + 5_000, WORK, 1, 0, 0));
    long full = out.last().worker();
    now += 100;
    dispatcher.ended(
        now, "first", 0, AttemptOutcome.OK, 100, true, new LoadReport(SLOTS - 1, 0, Double.NaN, 1));
    for (int i = 0; i < 12; i++) {
      dispatcher.arrived(now, new Job("next" + i, 0, 0, now + 5_000, WORK, 1, 0, 0));
      assertFalse(out.last().worker() == full, "a worker without memory got a job");
    }
    dispatcher.arrived(now + 1_000, new Job("later", 0, 0, now + 6_000, WORK, 1, 0, 0));
    assertEquals(full, out.last().worker(), "it holds the fewest once the moment is over");
  }

  /**
   * The class that asks most of the work may change within a minute, and with it the one that goes
   * first.
   */
  @Test
  void whichClassGoesFirstFollowsTheWorkOfTheLastHalfMinute() {
    JobClass low =
        new JobClass(
            "low", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 2, 0.5, -1, 0);
    JobClass high =
        new JobClass(
            "high", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 10, 0.5, -1, 0);
    start(low, high);
    // Two minutes of nothing but the worthy class: then nobody can go before anybody, and the
    // worthy has no gain.
    double now = 0;
    for (int i = 0; i < 2_400; i++, now += 50) {
      offer("h" + i, 1, now, true);
    }
    int[] taken = new int[2];
    for (int i = 0; i < 1_500; i++, now += 10) {
      int jobClass = random.nextInt(5) == 0 ? 1 : 0;
      taken[jobClass] += offer("m" + i, jobClass, now, random.nextInt(3) == 0) && i > 700 ? 1 : 0;
    }
    assertTrue(
        taken[1] > 2 * taken[0] / 4, "of the worthy " + taken[1] + ", of the others " + taken[0]);
  }

  private boolean offer(String id, int jobClass, double now, boolean accepted) {
    int before = out.sends.size();
    dispatcher.arrived(now, new Job(id, jobClass, 0, now + 5_000, WORK, 1, 0, 0));
    boolean sent = out.sends.size() > before;
    for (int n = 0; out.sends.size() > before + n; n++) {
      dispatcher.ended(
          now,
          id,
          n,
          accepted ? AttemptOutcome.OK : AttemptOutcome.FULL,
          1,
          accepted,
          LoadReport.NONE);
    }
    if (now % 500 < 10) {
      dispatcher.timer(now, 1);
    }
    return sent;
  }
}
