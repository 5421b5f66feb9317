package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks workers whose load reports contradict their behaviour, and jobs whose work is far from the
 * mean. The workers are simulated.
 */
class ReportsTest {
  private static final int WORKERS = 4;
  private static final int SLOTS = 4;
  private static final double WORK = 300;
  private static final LoadReport ALMOST_IDLE = new LoadReport(SLOTS - 1, SLOTS - 1, Double.NaN, 1);

  private final Fixture.Recorder actions = new Fixture.Recorder();
  private final SplittableRandom random = new SplittableRandom(11);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.time, b.time));
  private final double[][] slotFreeAt = new double[WORKERS + 1][SLOTS];
  private final double[] slowness = {1, 1, 1, 1, 1};
  private final int[] attemptsSent = new int[WORKERS + 1];
  private ThrottlingDispatcher dispatcher;
  private int deliveredSends;

  private record Event(double time, Runnable action) {}

  private void createDispatcher(JobClass... classes) {
    DispatcherSettings base = Fixture.settings(0, 1, classes[0]);
    dispatcher =
        new ThrottlingDispatcher(
            new DispatcherSettings(
                0,
                1,
                0,
                2,
                List.of(classes),
                base.tenants(),
                base.limits(),
                base.slowStart(),
                false,
                true,
                false,
                0,
                new ServiceObjective(0.5, 0.2)),
            7,
            0,
            actions);
    List<Worker> fleet =
        List.of(
            Fixture.worker(1, 0, 0),
            Fixture.worker(2, 0, 0),
            Fixture.worker(3, 0, 1),
            Fixture.worker(4, 0, 2));
    dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, fleet);
  }

  /**
   * Simulates jobs that arrive every {@code interval} ms on average. Every worker reports that it
   * is almost idle, regardless of the jobs it holds.
   */
  private void simulate(
      double startTime, double endTime, double interval, double heavyShare, double heavyFactor) {
    double nextArrival = startTime;
    for (int i = 0; nextArrival < endTime; i++) {
      nextArrival += interval * (0.5 + random.nextDouble());
      double time = nextArrival;
      double work = WORK * (random.nextDouble() < heavyShare ? heavyFactor : 1);
      Job job = new Job("j" + startTime + "-" + i, 0, 0, nextArrival + 6_000, WORK, 1, 0, 0);
      events.add(
          new Event(
              nextArrival,
              () -> {
                dispatcher.requestArrived(time, job);
                deliverSends(time, work);
              }));
    }
    for (double cycle = startTime; cycle < endTime; cycle += 500) {
      double time = cycle;
      events.add(new Event(cycle, () -> dispatcher.timerExpired(time, 1)));
    }
    while (!events.isEmpty() && events.peek().time < endTime) {
      events.poll().action.run();
    }
  }

  /** Delivers the new attempts to their workers; each runs in the slot that becomes free first. */
  private void deliverSends(double now, double work) {
    for (; deliveredSends < actions.sends.size(); deliveredSends++) {
      Fixture.Send send = actions.sends.get(deliveredSends);
      long attemptNumber =
          actions.sends.subList(0, deliveredSends).stream()
              .filter(previous -> previous.requestId().equals(send.requestId()))
              .count();
      int worker = (int) send.workerId();
      attemptsSent[worker]++;
      double[] freeAt = slotFreeAt[worker];
      int firstFree = 0;
      for (int i = 1; i < SLOTS; i++) {
        firstFree = freeAt[i] < freeAt[firstFree] ? i : firstFree;
      }
      double startedAt = Math.max(now, freeAt[firstFree]);
      double endedAt = startedAt + work * slowness[worker];
      freeAt[firstFree] = endedAt;
      events.add(
          new Event(
              startedAt,
              () -> dispatcher.attemptStarted(startedAt, send.requestId(), (int) attemptNumber)));
      events.add(
          new Event(
              endedAt,
              () -> {
                dispatcher.attemptEnded(
                    endedAt,
                    send.requestId(),
                    (int) attemptNumber,
                    AttemptOutcome.OK,
                    endedAt - now,
                    true,
                    ALMOST_IDLE);
                deliverSends(endedAt, work);
              }));
    }
  }

  @Test
  void sendsFewerJobsToSlowWorkerThatReportsIdle() {
    createDispatcher(Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL));
    simulate(0, 8_000, 40, 0, 1);
    slowness[2] = 8;
    simulate(8_000, 12_000, 40, 0, 1);
    int slowBefore = attemptsSent[2];
    int othersBefore = attemptsSent[1] + attemptsSent[3] + attemptsSent[4];
    simulate(12_000, 25_000, 40, 0, 1);
    int slow = attemptsSent[2] - slowBefore;
    double meanOfOthers =
        (attemptsSent[1] + attemptsSent[3] + attemptsSent[4] - othersBefore) / 3.0;
    assertTrue(
        slow < 0.4 * meanOfOthers,
        "attempts sent to the slow worker: " + slow + ", to each other worker: " + meanOfOthers);
  }

  @Test
  void neitherEjectsNorRejectsBecauseOfFewExpensiveJobsOnIdleFleet() {
    createDispatcher(Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL));
    simulate(0, 30_000, 60, 0.02, 20);
    assertEquals(0, dispatcher.ejectedWorkerCount(30_000));
    assertTrue(
        actions.rejected.size() < 0.02 * actions.sends.size(),
        actions.rejected.size() + " rejected of " + actions.sends.size());
    for (int worker = 1; worker <= WORKERS; worker++) {
      assertTrue(
          attemptsSent[worker] > 0.15 * actions.sends.size(),
          "attempts sent to worker " + worker + ": " + attemptsSent[worker]);
    }
  }

  @Test
  void avoidsWorkerWithoutFreeMemoryBriefly() {
    createDispatcher(Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL));
    double now = 100;
    dispatcher.requestArrived(now, new Job("first", 0, 0, now + 5_000, WORK, 1, 0, 0));
    long full = actions.lastSend().workerId();
    now += 100;
    dispatcher.attemptEnded(
        now, "first", 0, AttemptOutcome.OK, 100, true, new LoadReport(SLOTS - 1, 0, Double.NaN, 1));
    for (int i = 0; i < 12; i++) {
      dispatcher.requestArrived(now, new Job("next" + i, 0, 0, now + 5_000, WORK, 1, 0, 0));
      assertFalse(
          actions.lastSend().workerId() == full,
          "a job was sent to the worker without free memory");
    }
    dispatcher.requestArrived(now + 1_000, new Job("later", 0, 0, now + 6_000, WORK, 1, 0, 0));
    assertEquals(
        full, actions.lastSend().workerId(), "after the backoff the worker holds the fewest slots");
  }

  /**
   * Guards against priorities that do not follow the load. The class with the most work may change
   * within a minute, and the priorities must then change as well.
   */
  @Test
  void prioritisesClassesByTheWorkOfTheLastHalfMinute() {
    JobClass low =
        new JobClass(
            "low", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 2, 0.5, -1, 0);
    JobClass high =
        new JobClass(
            "high", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 10, 0.5, -1, 0);
    createDispatcher(low, high);
    // For two minutes only the class of high value has requests. No class can then have priority,
    // since giving it more slots gains nothing.
    double now = 0;
    for (int i = 0; i < 2_400; i++, now += 50) {
      submit("h" + i, 1, now, true);
    }
    int[] admitted = new int[2];
    for (int i = 0; i < 1_500; i++, now += 10) {
      int jobClass = random.nextInt(5) == 0 ? 1 : 0;
      admitted[jobClass] +=
          submit("m" + i, jobClass, now, random.nextInt(3) == 0) && i > 700 ? 1 : 0;
    }
    assertTrue(
        admitted[1] > 2 * admitted[0] / 4,
        "admitted of high value: " + admitted[1] + ", of low value: " + admitted[0]);
  }

  private boolean submit(String id, int jobClass, double now, boolean accepted) {
    int sendsBefore = actions.sends.size();
    dispatcher.requestArrived(now, new Job(id, jobClass, 0, now + 5_000, WORK, 1, 0, 0));
    boolean sent = actions.sends.size() > sendsBefore;
    for (int n = 0; actions.sends.size() > sendsBefore + n; n++) {
      dispatcher.attemptEnded(
          now,
          id,
          n,
          accepted ? AttemptOutcome.OK : AttemptOutcome.FULL,
          1,
          accepted,
          LoadReport.NONE);
    }
    if (now % 500 < 10) {
      dispatcher.timerExpired(now, 1);
    }
    return sent;
  }
}
