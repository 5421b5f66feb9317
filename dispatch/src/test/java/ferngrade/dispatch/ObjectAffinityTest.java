package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the selection of workers for jobs that need an object, the use of load reports, and the
 * priority of classes.
 */
class ObjectAffinityTest {
  private static final List<Worker> FLEET =
      List.of(
          Fixture.worker(1, 0, 0),
          Fixture.worker(2, 0, 0),
          Fixture.worker(3, 0, 1),
          Fixture.worker(4, 0, 2));
  private static final double WORK = 300;
  private static final LoadReport FOUR_SLOTS = new LoadReport(3, 3, Double.NaN, 1);

  private final Fixture.Recorder actions = new Fixture.Recorder();
  private double now = 1000;
  private int nextId;

  private ThrottlingDispatcher dispatcher(int index, Idempotency idempotency) {
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            Fixture.settings(
                index,
                4,
                Fixture.jobClass(idempotency, IdempotencyScope.ZONE),
                List.of(new Tenant("a", 1, 10)),
                true),
            7 + index,
            0,
            actions);
    dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, FLEET);
    return dispatcher;
  }

  /** Submits a job and returns the worker that it is sent to. */
  private long submit(ThrottlingDispatcher dispatcher, long object) {
    dispatcher.requestArrived(now, new Job("r" + nextId++, 0, 0, now + 5_000, WORK, 1, 0, object));
    return actions.lastSend().workerId();
  }

  private void complete(ThrottlingDispatcher dispatcher, LoadReport report) {
    now += WORK;
    dispatcher.attemptEnded(now, "r" + (nextId - 1), 0, AttemptOutcome.OK, WORK, true, report);
  }

  /**
   * Returns a dispatcher whose workers have reported their slots, after one job for each of 40
   * objects has completed.
   */
  private ThrottlingDispatcher warmDispatcher(int index) {
    ThrottlingDispatcher dispatcher = dispatcher(index, Idempotency.SAFE);
    for (int i = 0; i < 40; i++) {
      submit(dispatcher, 100 + i);
      complete(dispatcher, FOUR_SLOTS);
    }
    return dispatcher;
  }

  @Test
  void sendsJobToWorkerThatHasItsObjectCached() {
    ThrottlingDispatcher dispatcher = warmDispatcher(0);
    long cachingWorker = submit(dispatcher, 5);
    complete(dispatcher, FOUR_SLOTS);
    for (int i = 0; i < 20; i++) {
      assertEquals(cachingWorker, submit(dispatcher, 5));
      complete(dispatcher, FOUR_SLOTS);
    }
  }

  @Test
  void dispatchersWithoutMessagesPreferTheSameWorkerForAnObject() {
    int sameWorker = 0;
    for (long object = 1; object <= 20; object++) {
      long first = submit(warmDispatcher(0), object);
      sameWorker += first == submit(warmDispatcher(1), object) ? 1 : 0;
    }
    assertTrue(
        sameWorker >= 12,
        "objects of 20 for which both dispatchers chose the same worker: "
            + sameWorker
            + "; by chance 5 of 20");
  }

  @Test
  void avoidsOverloadedWorkerThatHasTheObjectCached() {
    ThrottlingDispatcher dispatcher = warmDispatcher(0);
    List<Long> workers = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      workers.add(submit(dispatcher, 5));
    }
    assertEquals(4, workers.stream().distinct().count(), "workers used: " + workers);
  }

  @Test
  void movesObjectToAnotherWorkerWhenTheOnlyOneWithItDrains() {
    ThrottlingDispatcher dispatcher = warmDispatcher(0);
    long cachingWorker = submit(dispatcher, 5);
    complete(dispatcher, FOUR_SLOTS);
    Worker entry =
        FLEET.stream().filter(worker -> worker.id() == cachingWorker).findFirst().orElseThrow();
    dispatcher.endpointsUpdated(
        now,
        EndpointListUpdate.CHANGES,
        List.of(Fixture.withState(entry, WorkerState.DRAINING, 0)));
    long next = submit(dispatcher, 5);
    assertNotEquals(cachingWorker, next);
    complete(dispatcher, FOUR_SLOTS);
    assertEquals(next, submit(dispatcher, 5));
  }

  @Test
  void assumesEmptyCacheAfterRestart() {
    ObjectAffinity cachedObjects = new ObjectAffinity();
    cachedObjects.recordUse(5, 4);
    assertEquals(0, cachedObjects.fetchFraction(5, 1));
    assertTrue(new ObjectAffinity().fetchFraction(5, 1) > 0.8);
    for (long object = 10; object < 14; object++) {
      cachedObjects.recordUse(object, 4);
    }
    assertTrue(cachedObjects.fetchFraction(5, 1) > 0.8, "four later objects must have evicted it");
    assertEquals(0, cachedObjects.fetchFraction(0, 1), "a job without an object needs no fetch");
  }

  @Test
  void keepsRetryOfKeyedJobInItsZoneRegardlessOfObject() {
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            Fixture.settings(
                0,
                1,
                Fixture.jobClass(Idempotency.KEYED, IdempotencyScope.ZONE),
                List.of(new Tenant("a", 1, 10)),
                true),
            7,
            0,
            actions);
    dispatcher.endpointsUpdated(
        0, EndpointListUpdate.STORED, List.of(Fixture.worker(1, 0, 0), Fixture.worker(4, 1, 2)));
    long first = submit(dispatcher, 5);
    dispatcher.attemptEnded(now + 5, "r0", 0, AttemptOutcome.RESET, 5, false, LoadReport.NONE);
    assertTrue(
        actions.sends.stream().allMatch(send -> send.workerId() == first), "" + actions.sends);
  }

  @Test
  void ignoresMissingAndInvalidReports() {
    for (double invalid :
        new double[] {-1, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, Double.NaN, 1e300}) {
      LoadReport report = new LoadReport(invalid, invalid, invalid, invalid);
      assertTrue(Double.isNaN(report.jobs()) && Double.isNaN(report.freeSlots()), "" + report);
      actions.sends.clear();
      ThrottlingDispatcher dispatcher = dispatcher(0, Idempotency.SAFE);
      for (int i = 0; i < 40; i++) {
        submit(dispatcher, 0);
        complete(dispatcher, report);
      }
      assertEquals(40, actions.sends.size());
    }
  }

  @Test
  void ejectsNoWorkerWhenAllAreSlow() {
    ThrottlingDispatcher dispatcher = warmDispatcher(0);
    int firstId = nextId;
    for (int i = 0; i < 32; i++) {
      submit(dispatcher, 100 + i);
    }
    // All jobs start a second late and take four times their work; the last ones time out in the
    // queue.
    for (int i = firstId; i < firstId + 32; i++) {
      if (i < firstId + 24) {
        dispatcher.attemptStarted(now + 1000, "r" + i, 0);
        dispatcher.attemptEnded(
            now + 1000 + 4 * WORK,
            "r" + i,
            0,
            AttemptOutcome.OK,
            1000 + 4 * WORK,
            true,
            FOUR_SLOTS);
      } else {
        dispatcher.attemptEnded(
            now + 5_000, "r" + i, 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
      }
    }
    assertEquals(0, dispatcher.ejectedWorkerCount(now + 5_000));
  }

  /**
   * Offers 40 jobs of each class, at several times the rate of the slice, and returns the admitted
   * share of each class.
   */
  private double[] admittedShares(ServiceObjective objective) {
    List<JobClass> classes =
        List.of(
            new JobClass(
                "low", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 2, 0.5, -1, 0),
            new JobClass(
                "high", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 10, 0.5, -1, 0));
    Fixture.Recorder recorder = new Fixture.Recorder();
    DispatcherSettings base = Fixture.settings(0, 1, classes.get(0));
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            new DispatcherSettings(
                0,
                1,
                0,
                2,
                classes,
                base.tenants(),
                base.limits(),
                base.slowStart(),
                false,
                true,
                false,
                0,
                objective),
            7,
            0,
            recorder);
    dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, FLEET);
    double[] shares = new double[2];
    double time = 0;
    for (int cycle = 0; cycle < 20; cycle++) {
      for (int i = 0; i < 20; i++) {
        time += 25;
        String id = "j" + cycle + "-" + i;
        int sendsBefore = recorder.sends.size();
        dispatcher.requestArrived(
            time, new Job(id, i % 4 == 0 ? 1 : 0, 0, time + 5_000, WORK, 1, 0, 0));
        boolean sent = recorder.sends.size() > sendsBefore;
        // The workers reject two of three attempts, so that the slice settles below the demand.
        boolean full = i % 3 != 0;
        for (int n = 0; recorder.sends.size() > sendsBefore + n; n++) {
          dispatcher.attemptEnded(
              time,
              id,
              n,
              full ? AttemptOutcome.FULL : AttemptOutcome.OK,
              1,
              !full,
              LoadReport.NONE);
        }
        shares[i % 4 == 0 ? 1 : 0] += cycle >= 10 && sent ? 1.0 / (i % 4 == 0 ? 50 : 150) : 0;
      }
      dispatcher.timerExpired(time, 1);
    }
    return shares;
  }

  @Test
  void prioritisesMostValuableClassWhenTotalValueHasMostWeight() {
    double[] shares = admittedShares(new ServiceObjective(0.5, 0.2));
    assertTrue(shares[1] > 2 * shares[0], "low " + shares[0] + ", high " + shares[1]);
  }

  @Test
  void prioritisesNoClassWhenWorstClassHasMostWeightOrNoObjectiveIsSet() {
    for (ServiceObjective objective :
        List.of(new ServiceObjective(0.4, 0.9), new ServiceObjective(0, 0))) {
      double[] shares = admittedShares(objective);
      assertFalse(
          shares[1] > 1.5 * shares[0], objective + ": low " + shares[0] + ", high " + shares[1]);
    }
  }
}
