package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Checks the idempotency, health, deadline and slow-start rules and the selection of a worker, with
 * hand-written events.
 */
class RulesTest {
  private static final List<Worker> FLEET =
      List.of(
          Fixture.worker(1, 0, 0),
          Fixture.worker(2, 0, 0),
          Fixture.worker(3, 0, 1),
          Fixture.worker(4, 1, 2),
          Fixture.worker(5, 1, 2),
          Fixture.worker(6, 1, 3));

  private final Fixture.Recorder actions = new Fixture.Recorder();

  private ThrottlingDispatcher dispatcher(
      Idempotency idempotency, IdempotencyScope scope, boolean hedgingAllowed) {
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            Fixture.settings(
                0,
                1,
                Fixture.jobClass(idempotency, scope),
                List.of(new Tenant("a", 1, 10)),
                hedgingAllowed),
            7,
            0,
            actions);
    dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, FLEET);
    return dispatcher;
  }

  private static Worker entry(long id) {
    return FLEET.stream().filter(worker -> worker.id() == id).findFirst().orElseThrow();
  }

  @Test
  void boundsHedgesByBudgetWhenAllQueuesAreLong() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.KEYED, IdempotencyScope.ALL, true);
    for (int i = 0; i < 100; i++) {
      dispatcher.requestArrived(10 + i, Fixture.job("r" + i, 0, 5_000));
    }
    assertEquals(100, actions.sends.size());
    // The hedging delays of the first and second attempts expire before any job has started.
    for (int i = 0; i < actions.timers.size(); i++) {
      if (actions.timers.get(i)[1] >= 16) {
        dispatcher.timerExpired(200, actions.timers.get(i)[1]);
      }
    }
    int hedges = actions.sends.size() - 100;
    assertTrue(hedges > 0 && hedges <= 8, "hedges of 100 jobs: " + hedges);
  }

  @Test
  void failsUnusableRequestWithoutRetryAndKeepsWorkerEligible() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.KEYED, IdempotencyScope.ALL, true);
    dispatcher.requestArrived(10, Fixture.job("bad", 0, 5_000));
    dispatcher.attemptEnded(12, "bad", 0, AttemptOutcome.UNUSABLE, 2, false, LoadReport.NONE);
    assertEquals(List.of("bad"), actions.failed);
    assertEquals(1, actions.sends.size());
    long worker = actions.lastSend().workerId();
    for (int i = 0; i < 100; i++) {
      dispatcher.requestArrived(20, Fixture.job("r" + i, 0, 5_000));
    }
    assertTrue(actions.sends.stream().skip(1).anyMatch(send -> send.workerId() == worker));
  }

  @Test
  void ejectsWorkerOnlyForTheClassThatItBlocksOn() {
    var classes =
        List.of(
            Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL),
            Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL));
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            new DispatcherSettings(
                0,
                1,
                0,
                2,
                classes,
                List.of(),
                Fixture.settings(0, 1, classes.get(0)).limits(),
                Fixture.SLOW_START,
                false,
                true,
                true,
                0.01,
                new ServiceObjective(0.5, 0.2)),
            7,
            0,
            actions);
    dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, FLEET);
    dispatcher.requestArrived(10, Fixture.job("hangs", 0, 5_010));
    long worker = actions.lastSend().workerId();
    dispatcher.attemptProgressed(500, "hangs", 0, 0.1);
    dispatcher.attemptEnded(
        1_010, "hangs", 0, AttemptOutcome.TIMEOUT, 1_000, false, LoadReport.NONE);
    for (int i = 0; i < 60; i++) {
      dispatcher.requestArrived(1_020, new Job("r" + i, i % 2, 0, 6_000, 0, 1, 0, 0));
    }
    List<Fixture.Send> sendsToWorker =
        actions.sends.stream().skip(1).filter(send -> send.workerId() == worker).toList();
    assertTrue(
        sendsToWorker.stream()
            .noneMatch(send -> Integer.parseInt(send.requestId().substring(1)) % 2 == 0),
        "" + sendsToWorker);
    assertTrue(!sendsToWorker.isEmpty(), "the worker still receives the other class");
  }

  @Test
  void keepsRespondingWorkerWhenQueuedJobTimesOut() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
    dispatcher.endpointsUpdated(5, EndpointListUpdate.WHOLE, FLEET.subList(0, 1));
    dispatcher.requestArrived(10, Fixture.job("waits", 0, 5_010));
    dispatcher.requestArrived(20, Fixture.job("runs", 0, 5_020));
    dispatcher.attemptStarted(4_000, "runs", 0);
    dispatcher.endpointsUpdated(5_000, EndpointListUpdate.WHOLE, FLEET.subList(0, 2));
    dispatcher.attemptEnded(
        5_010, "waits", 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
    dispatcher.attemptEnded(5_011, "runs", 0, AttemptOutcome.OK, 5_000, true, LoadReport.NONE);
    for (int i = 0; i < 20; i++) {
      dispatcher.requestArrived(5_020 + i, Fixture.job("next" + i, 0, 9_000));
    }
    long sendsToFirst =
        actions.sends.stream()
            .filter(send -> send.requestId().startsWith("next") && send.workerId() == 1)
            .count();
    assertTrue(sendsToFirst > 0, "sends to the worker that responds: " + sendsToFirst);
  }

  @Test
  void answersEveryOutcomeAsIdempotencyAndScopeAllow() {
    for (Idempotency idempotency : Idempotency.values()) {
      for (IdempotencyScope scope : IdempotencyScope.values()) {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
          if (outcome != AttemptOutcome.OK) {
            checkOutcome(idempotency, scope, outcome);
          }
        }
      }
    }
  }

  private void checkOutcome(
      Idempotency idempotency, IdempotencyScope scope, AttemptOutcome outcome) {
    String testCase = idempotency + " " + scope + " " + outcome;
    actions.sends.clear();
    actions.failed.clear();
    actions.rejected.clear();
    ThrottlingDispatcher dispatcher = dispatcher(idempotency, scope, false);
    dispatcher.requestArrived(10, Fixture.job("r", 0, 5_010));
    Worker firstWorker = entry(actions.lastSend().workerId());
    dispatcher.attemptEnded(20, "r", 0, outcome, 10, false, LoadReport.NONE);
    boolean provenNotRun =
        outcome == AttemptOutcome.FULL
            || outcome == AttemptOutcome.CONNECT_FAILED
            || outcome == AttemptOutcome.NEVER_SENT;
    if ((idempotency == Idempotency.UNSAFE && !provenNotRun)
        || outcome == AttemptOutcome.UNUSABLE) {
      assertEquals(1, actions.sends.size(), testCase);
      assertEquals(List.of("r"), actions.failed, testCase);
      return;
    }
    assertEquals(2, actions.sends.size(), testCase);
    if (idempotency == Idempotency.KEYED && !provenNotRun && scope != IdempotencyScope.ALL) {
      Worker secondWorker = entry(actions.lastSend().workerId());
      boolean sameGroup =
          scope == IdempotencyScope.ZONE
              ? firstWorker.zone() == secondWorker.zone()
              : firstWorker.cell() == secondWorker.cell();
      assertTrue(sameGroup, testCase + " left its group: " + secondWorker);
    }
    dispatcher.attemptEnded(30, "r", 1, AttemptOutcome.FULL, 10, false, LoadReport.NONE);
    if (actions.sends.size() == 3) {
      dispatcher.attemptEnded(40, "r", 2, AttemptOutcome.FULL, 10, false, LoadReport.NONE);
    }
    boolean mayReject =
        provenNotRun
            || idempotency == Idempotency.SAFE
            || (idempotency == Idempotency.KEYED && scope == IdempotencyScope.ALL);
    assertEquals(mayReject ? List.of("r") : List.of(), actions.rejected, testCase);
    assertEquals(mayReject ? List.of() : List.of("r"), actions.failed, testCase);
  }

  @Test
  void doesNotRetryKeyedRequestAfterItsWindow() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.KEYED, IdempotencyScope.ZONE, false);
    dispatcher.requestArrived(10, Fixture.job("r", 0, 60_000));
    dispatcher.attemptEnded(7_600, "r", 0, AttemptOutcome.RESET, 7_590, false, LoadReport.NONE);
    assertEquals(1, actions.sends.size());
    assertEquals(List.of("r"), actions.failed);
  }

  @Test
  void answersTimeoutAtDeadlineImmediatelyAndOnce() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.requestArrived(10, Fixture.job("r", 0, 5_010));
    dispatcher.attemptEnded(5_010, "r", 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
    assertEquals(1, actions.rejected.size() + actions.failed.size());
    dispatcher.attemptEnded(5_012, "r", 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
    dispatcher.requestAbandoned(5_014, "r");
    assertEquals(1, actions.rejected.size() + actions.failed.size());
    assertEquals(1, actions.sends.size());
  }

  @Test
  void neitherRetriesNorAnswersAbandonedRequest() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.requestArrived(10, Fixture.job("r", 0, 5_010));
    dispatcher.requestAbandoned(20, "r");
    dispatcher.attemptEnded(30, "r", 0, AttemptOutcome.FULL, 20, true, LoadReport.NONE);
    assertEquals(1, actions.sends.size());
    assertEquals(0, actions.rejected.size() + actions.failed.size());
  }

  @Test
  void sendsNothingToDrainingOrUnlistedWorkers() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.endpointsUpdated(
        5,
        EndpointListUpdate.CHANGES,
        List.of(
            Fixture.withState(entry(1), WorkerState.DRAINING, 0),
            Fixture.withState(entry(2), WorkerState.GONE, 0)));
    Set<Long> used = workersUsed(dispatcher, 60, 10);
    assertFalse(used.contains(1L) || used.contains(2L), "used " + used);
    dispatcher.endpointsUpdated(6, EndpointListUpdate.WHOLE, List.of(entry(5), entry(6)));
    used = workersUsed(dispatcher, 60, 20);
    assertEquals(Set.of(5L, 6L), used);
    dispatcher.endpointsUpdated(7, EndpointListUpdate.WHOLE, List.of());
    actions.rejected.clear();
    assertEquals(Set.of(), workersUsed(dispatcher, 3, 30));
    assertEquals(3, actions.rejected.size());
  }

  private int nextId;

  private Set<Long> workersUsed(ThrottlingDispatcher dispatcher, int jobs, double now) {
    Set<Long> used = new HashSet<>();
    for (int i = 0; i < jobs; i++) {
      int before = actions.sends.size();
      dispatcher.requestArrived(now, Fixture.job("u" + nextId++, 0, now + 5_000));
      if (actions.sends.size() > before) {
        used.add(actions.lastSend().workerId());
      }
    }
    return used;
  }

  /**
   * Guards against overloading a worker that is warming up: all dispatchers together may send at
   * most overload factor x start capacity x rate of a warm worker x window (3 s) to it. Rejected
   * attempts count as well.
   */
  @Test
  void allDispatchersTogetherStayWithinSlowStartBudget() {
    for (int dispatchers : new int[] {1, 3, 4, 30, 40, 100}) {
      long sentToWarmingWorker = 0;
      double served = 0;
      for (int dispatcherIndex = 0; dispatcherIndex < dispatchers; dispatcherIndex++) {
        Fixture.Recorder recorder = new Fixture.Recorder();
        ThrottlingDispatcher dispatcher =
            new ThrottlingDispatcher(
                Fixture.settings(
                    dispatcherIndex,
                    dispatchers,
                    Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
                dispatcherIndex,
                0,
                recorder);
        List<Worker> fleet =
            new ArrayList<>(List.of(Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0)));
        dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, fleet);
        // Each dispatcher sends 40/dispatchers jobs per second for 10 s, so the estimated capacity
        // of each of the two workers is 20 per second.
        double interval = 1_000.0 * dispatchers / 40;
        int jobs = 0;
        double nextCycle = 500;
        for (double now = interval; now < 10_000; now += interval, jobs++) {
          dispatcher.requestArrived(now, Fixture.job("w" + jobs, 0, now + 5_000));
          dispatcher.attemptEnded(now, "w" + jobs, 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
          while (nextCycle < now) {
            dispatcher.timerExpired(now, 1);
            nextCycle += 500;
          }
        }
        served += jobs;
        dispatcher.endpointsUpdated(
            10_000,
            EndpointListUpdate.CHANGES,
            List.of(new Worker(9, WorkerState.READY, 0, 0, 0, 10_000, 1)));
        recorder.sends.clear();
        for (double now = 10_000; now < 13_000; now += 20) {
          String id = "c" + now;
          dispatcher.requestArrived(now, Fixture.job(id, 0, now + 5_000));
          if (!recorder.sends.isEmpty()
              && recorder.lastSend().requestId().equals(id)
              && recorder.lastSend().workerId() == 9) {
            dispatcher.attemptEnded(now, id, 0, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
          }
        }
        sentToWarmingWorker += recorder.sends.stream().filter(send -> send.workerId() == 9).count();
      }
      double ratePerWorker = served / 10 / 2;
      double budget =
          Fixture.SLOW_START.overloadFactor()
              * Fixture.SLOW_START.startCapacity()
              * ratePerWorker
              * 3;
      assertTrue(
          sentToWarmingWorker <= budget,
          dispatchers + " dispatchers sent " + sentToWarmingWorker + " of " + budget);
      assertTrue(
          sentToWarmingWorker > 0,
          "all " + dispatchers + " dispatchers sent nothing to the worker that is warming up");
    }
  }

  @Test
  void avoidsFullWorkerEvenWithoutSlotsInFlight() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
    dispatcher.requestArrived(10, Fixture.job("a", 0, 5_010));
    long full = actions.lastSend().workerId();
    dispatcher.attemptEnded(10, "a", 0, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
    for (int i = 0; i < 5; i++) {
      dispatcher.requestArrived(11, Fixture.job("b" + i, 0, 5_011));
      assertNotEquals(full, actions.lastSend().workerId());
    }
  }

  @Test
  void avoidsWorkerThatReportsNoFreeCapacity() {
    for (LoadReport report :
        List.of(
            new LoadReport(0, Double.NaN, Double.NaN, Double.NaN),
            new LoadReport(Double.NaN, 0, Double.NaN, Double.NaN))) {
      ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
      dispatcher.requestArrived(10, Fixture.job("a", 0, 5_010));
      long exhausted = actions.lastSend().workerId();
      dispatcher.attemptEnded(200, "a", 0, AttemptOutcome.OK, 190, true, report);
      assertFalse(workersUsed(dispatcher, 20, 201).contains(exhausted));
      assertTrue(workersUsed(dispatcher, 40, 400).contains(exhausted));
    }
  }

  @Test
  void breaksTiesRandomlyAndReproducibly() {
    Set<Long> selectedWorkers = new HashSet<>();
    for (int seed = 0; seed < 40; seed++) {
      List<Long> runs = new ArrayList<>();
      for (int run = 0; run < 2; run++) {
        Fixture.Recorder recorder = new Fixture.Recorder();
        ThrottlingDispatcher dispatcher =
            new ThrottlingDispatcher(
                Fixture.settings(0, 1, Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
                seed,
                0,
                recorder);
        dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, FLEET);
        dispatcher.requestArrived(10, Fixture.job("a", 0, 5_010));
        runs.add(recorder.lastSend().workerId());
      }
      assertEquals(runs.get(0), runs.get(1));
      selectedWorkers.add(runs.get(0));
    }
    assertTrue(selectedWorkers.size() >= 3, "selected workers: " + selectedWorkers);
  }

  @Test
  void ejectsFailingWorkerAndReadmitsItByProbe() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.requestArrived(10, Fixture.job("a", 0, 5_010));
    long failing = actions.lastSend().workerId();
    dispatcher.attemptEnded(12, "a", 0, AttemptOutcome.ERROR, 2, false, LoadReport.NONE);
    assertFalse(workersUsed(dispatcher, 30, 20).contains(failing));
    assertTrue(workersUsed(dispatcher, 30, 3_000).contains(failing));
  }

  /**
   * Guards against detecting the loss of a zone separately for each of its workers, with one
   * refused connection per worker (incident i1da63f).
   */
  @Test
  void avoidsWholeZoneAfterRefusedConnections() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
    List<Worker> fleet = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      fleet.add(Fixture.worker(100 + i, i % 2, 0));
    }
    dispatcher.endpointsUpdated(1, EndpointListUpdate.WHOLE, fleet);
    int connections = 0;
    for (int i = 0; i < 60; i++) {
      String id = "z" + i;
      dispatcher.requestArrived(10 + i, Fixture.job(id, 0, 5_010));
      for (int n = 0;
          n < 3
              && actions.lastSend().requestId().equals(id)
              && actions.lastSend().workerId() % 2 == 0;
          n++) {
        connections++;
        dispatcher.attemptEnded(
            10 + i, id, n, AttemptOutcome.CONNECT_FAILED, 1, false, LoadReport.NONE);
      }
    }
    assertTrue(
        connections >= 1 && connections <= 6, "connections to the lost zone: " + connections);
  }

  @Test
  void hedgesQueuedJobAndCancelsTheAttemptThatHasNotStarted() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, true);
    dispatcher.requestArrived(10, Fixture.job("r", 0, 5_010));
    long token = actions.timers.get(actions.timers.size() - 1)[1];
    long first = actions.lastSend().workerId();
    dispatcher.timerExpired(200, token);
    assertEquals(2, actions.sends.size());
    assertNotEquals(first, actions.lastSend().workerId());
    dispatcher.attemptStarted(205, "r", 1);
    assertEquals(List.of("r/0"), actions.cancelled);
    dispatcher.attemptEnded(205, "r", 0, AttemptOutcome.CANCELLED, 195, false, LoadReport.NONE);
    assertEquals(2, actions.sends.size(), "a cancelled attempt is not retried");
    dispatcher.attemptEnded(300, "r", 1, AttemptOutcome.OK, 100, true, LoadReport.NONE);
    assertEquals(0, actions.rejected.size() + actions.failed.size());
  }

  @Test
  void neverHedgesUnsafeJob() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, true);
    dispatcher.requestArrived(10, Fixture.job("r", 0, 5_010));
    for (long[] timer : new ArrayList<>(actions.timers)) {
      dispatcher.timerExpired(400, timer[1]);
    }
    assertEquals(1, actions.sends.size());
  }

  @Test
  void namesInvalidFieldOfSettingsAndJobs() {
    Exception invalidId = assertThrows(IllegalArgumentException.class, () -> Fixture.job("", 0, 1));
    assertTrue(invalidId.getMessage().contains("Job.id"));
    Exception invalidIndex =
        assertThrows(
            IllegalArgumentException.class,
            () -> Fixture.settings(3, 3, Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)));
    assertTrue(invalidIndex.getMessage().contains("Settings.me"));
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    Exception invalidClass =
        assertThrows(
            IllegalArgumentException.class,
            () -> dispatcher.requestArrived(1, new Job("x", 9, 0, 10, 0, 1, 0, 0)));
    assertTrue(invalidClass.getMessage().contains("Job.jobClass"));
  }
}
