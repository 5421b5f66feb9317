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

/** The four rules and the pick, on hand-written events. */
class RulesTest {
  private static final List<Worker> FLEET =
      List.of(
          Fixture.worker(1, 0, 0),
          Fixture.worker(2, 0, 0),
          Fixture.worker(3, 0, 1),
          Fixture.worker(4, 1, 2),
          Fixture.worker(5, 1, 2),
          Fixture.worker(6, 1, 3));

  private final Fixture.Recorder out = new Fixture.Recorder();

  private ThrottlingDispatcher dispatcher(
      Idempotency effect, IdempotencyScope scope, boolean secondCopies) {
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            Fixture.settings(
                0,
                1,
                Fixture.jobClass(effect, scope),
                List.of(new Tenant("a", 1, 10)),
                secondCopies),
            7,
            0,
            out);
    dispatcher.members(0, EndpointListUpdate.STORED, FLEET);
    return dispatcher;
  }

  private static Worker entry(long id) {
    return FLEET.stream().filter(worker -> worker.id() == id).findFirst().orElseThrow();
  }

  @Test
  void hedgesStayWithinTheirBudgetWhenEveryQueueIsDeep() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.KEYED, IdempotencyScope.ALL, true);
    for (int i = 0; i < 100; i++) {
      dispatcher.arrived(10 + i, Fixture.job("r" + i, 0, 5_000));
    }
    assertEquals(100, out.sends.size());
    // None has started when its patience runs out, nor when that of its second place does.
    for (int i = 0; i < out.timers.size(); i++) {
      if (out.timers.get(i)[1] >= 16) {
        dispatcher.timer(200, out.timers.get(i)[1]);
      }
    }
    int hedges = out.sends.size() - 100;
    assertTrue(hedges > 0 && hedges <= 8, "hedges of 100 jobs: " + hedges);
  }

  @Test
  void requestThatAWorkerCannotUseFailsAtOnceAndThrowsNoSuspicionOnTheWorker() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.KEYED, IdempotencyScope.ALL, true);
    dispatcher.arrived(10, Fixture.job("bad", 0, 5_000));
    dispatcher.ended(12, "bad", 0, AttemptOutcome.UNUSABLE, 2, false, LoadReport.NONE);
    assertEquals(List.of("bad"), out.failed);
    assertEquals(1, out.sends.size());
    long worker = out.last().worker();
    for (int i = 0; i < 100; i++) {
      dispatcher.arrived(20, Fixture.job("r" + i, 0, 5_000));
    }
    assertTrue(out.sends.stream().skip(1).anyMatch(send -> send.worker() == worker));
  }

  @Test
  void workerThatHangsOnOneClassGetsNoMoreOfItAndKeepsTheOthers() {
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
                Fixture.COLD,
                false,
                true,
                true,
                0.01,
                new ServiceObjective(0.5, 0.2)),
            7,
            0,
            out);
    dispatcher.members(0, EndpointListUpdate.STORED, FLEET);
    dispatcher.arrived(10, Fixture.job("hangs", 0, 5_010));
    long worker = out.last().worker();
    dispatcher.progressed(500, "hangs", 0, 0.1);
    dispatcher.ended(1_010, "hangs", 0, AttemptOutcome.TIMEOUT, 1_000, false, LoadReport.NONE);
    for (int i = 0; i < 60; i++) {
      dispatcher.arrived(1_020, new Job("r" + i, i % 2, 0, 6_000, 0, 1, 0, 0));
    }
    List<Fixture.Send> toIt =
        out.sends.stream().skip(1).filter(send -> send.worker() == worker).toList();
    assertTrue(
        toIt.stream().noneMatch(send -> Integer.parseInt(send.id().substring(1)) % 2 == 0),
        "" + toIt);
    assertTrue(!toIt.isEmpty(), "it still gets the other class");
  }

  @Test
  void workerThatWorksIsNotEjectedWhenAJobRunsOutOfTimeInItsQueue() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
    dispatcher.members(5, EndpointListUpdate.WHOLE, FLEET.subList(0, 1));
    dispatcher.arrived(10, Fixture.job("waits", 0, 5_010));
    dispatcher.arrived(20, Fixture.job("runs", 0, 5_020));
    dispatcher.started(4_000, "runs", 0);
    dispatcher.members(5_000, EndpointListUpdate.WHOLE, FLEET.subList(0, 2));
    dispatcher.ended(5_010, "waits", 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
    dispatcher.ended(5_011, "runs", 0, AttemptOutcome.OK, 5_000, true, LoadReport.NONE);
    for (int i = 0; i < 20; i++) {
      dispatcher.arrived(5_020 + i, Fixture.job("next" + i, 0, 9_000));
    }
    long first =
        out.sends.stream()
            .filter(send -> send.id().startsWith("next") && send.worker() == 1)
            .count();
    assertTrue(first > 0, "sends to the worker that works: " + first);
  }

  @Test
  void everyOutcomeOfEveryEffectAndScopeIsAnsweredAsTheClassAllows() {
    for (Idempotency effect : Idempotency.values()) {
      for (IdempotencyScope scope : IdempotencyScope.values()) {
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
          if (outcome != AttemptOutcome.OK) {
            oneOutcome(effect, scope, outcome);
          }
        }
      }
    }
  }

  private void oneOutcome(Idempotency effect, IdempotencyScope scope, AttemptOutcome outcome) {
    String what = effect + " " + scope + " " + outcome;
    out.sends.clear();
    out.failed.clear();
    out.refused.clear();
    ThrottlingDispatcher dispatcher = dispatcher(effect, scope, false);
    dispatcher.arrived(10, Fixture.job("r", 0, 5_010));
    Worker first = entry(out.last().worker());
    dispatcher.ended(20, "r", 0, outcome, 10, false, LoadReport.NONE);
    boolean proof =
        outcome == AttemptOutcome.FULL
            || outcome == AttemptOutcome.CONNECT_FAILED
            || outcome == AttemptOutcome.NEVER_SENT;
    if ((effect == Idempotency.UNSAFE && !proof) || outcome == AttemptOutcome.UNUSABLE) {
      assertEquals(1, out.sends.size(), what);
      assertEquals(List.of("r"), out.failed, what);
      return;
    }
    assertEquals(2, out.sends.size(), what);
    if (effect == Idempotency.KEYED && !proof && scope != IdempotencyScope.ALL) {
      Worker second = entry(out.last().worker());
      boolean same =
          scope == IdempotencyScope.ZONE
              ? first.zone() == second.zone()
              : first.cell() == second.cell();
      assertTrue(same, what + " left its group: " + second);
    }
    dispatcher.ended(30, "r", 1, AttemptOutcome.FULL, 10, false, LoadReport.NONE);
    if (out.sends.size() == 3) {
      dispatcher.ended(40, "r", 2, AttemptOutcome.FULL, 10, false, LoadReport.NONE);
    }
    boolean mayRefuse =
        proof
            || effect == Idempotency.SAFE
            || (effect == Idempotency.KEYED && scope == IdempotencyScope.ALL);
    assertEquals(mayRefuse ? List.of("r") : List.of(), out.refused, what);
    assertEquals(mayRefuse ? List.of() : List.of("r"), out.failed, what);
  }

  @Test
  void keyedRepeatIsNotSentAfterItsWindow() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.KEYED, IdempotencyScope.ZONE, false);
    dispatcher.arrived(10, Fixture.job("r", 0, 60_000));
    dispatcher.ended(7_600, "r", 0, AttemptOutcome.RESET, 7_590, false, LoadReport.NONE);
    assertEquals(1, out.sends.size());
    assertEquals(List.of("r"), out.failed);
  }

  @Test
  void timeoutAtTheDeadlineIsAnsweredAtOnceAndOnlyOnce() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.arrived(10, Fixture.job("r", 0, 5_010));
    dispatcher.ended(5_010, "r", 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
    assertEquals(1, out.refused.size() + out.failed.size());
    dispatcher.ended(5_012, "r", 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
    dispatcher.abandoned(5_014, "r");
    assertEquals(1, out.refused.size() + out.failed.size());
    assertEquals(1, out.sends.size());
  }

  @Test
  void abandonedRequestIsNeitherSentNorAnswered() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.arrived(10, Fixture.job("r", 0, 5_010));
    dispatcher.abandoned(20, "r");
    dispatcher.ended(30, "r", 0, AttemptOutcome.FULL, 20, true, LoadReport.NONE);
    assertEquals(1, out.sends.size());
    assertEquals(0, out.refused.size() + out.failed.size());
  }

  @Test
  void drainingGoneAndMissingWorkersGetNothingAtOnce() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.members(
        5,
        EndpointListUpdate.CHANGES,
        List.of(
            Fixture.with(entry(1), WorkerState.DRAINING, 0),
            Fixture.with(entry(2), WorkerState.GONE, 0)));
    Set<Long> used = use(dispatcher, 60, 10);
    assertFalse(used.contains(1L) || used.contains(2L), "used " + used);
    dispatcher.members(6, EndpointListUpdate.WHOLE, List.of(entry(5), entry(6)));
    used = use(dispatcher, 60, 20);
    assertEquals(Set.of(5L, 6L), used);
    dispatcher.members(7, EndpointListUpdate.WHOLE, List.of());
    out.refused.clear();
    assertEquals(Set.of(), use(dispatcher, 3, 30));
    assertEquals(3, out.refused.size());
  }

  private int ids;

  private Set<Long> use(ThrottlingDispatcher dispatcher, int jobs, double now) {
    Set<Long> used = new HashSet<>();
    for (int i = 0; i < jobs; i++) {
      int before = out.sends.size();
      dispatcher.arrived(now, Fixture.job("u" + ids++, 0, now + 5_000));
      if (out.sends.size() > before) {
        used.add(out.last().worker());
      }
    }
    return used;
  }

  /**
   * All dispatchers together must stay under multiple x capacity x window; what is refused counts
   * as well.
   */
  @Test
  void coldWorkerGetsNoMoreThanItsBudgetFromAllDispatchersTogether() {
    for (int of : new int[] {1, 3, 4, 30, 40, 100}) {
      long sent = 0;
      double served = 0;
      for (int me = 0; me < of; me++) {
        Fixture.Recorder each = new Fixture.Recorder();
        ThrottlingDispatcher dispatcher =
            new ThrottlingDispatcher(
                Fixture.settings(me, of, Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
                me,
                0,
                each);
        List<Worker> fleet =
            new ArrayList<>(List.of(Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0)));
        dispatcher.members(0, EndpointListUpdate.STORED, fleet);
        // Each dispatcher carries 40/of jobs a second for 10 s, so a worker is known to carry 20.
        double gap = 1_000.0 * of / 40;
        int n = 0;
        double nextCycle = 500;
        for (double now = gap; now < 10_000; now += gap, n++) {
          dispatcher.arrived(now, Fixture.job("w" + n, 0, now + 5_000));
          dispatcher.ended(now, "w" + n, 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
          while (nextCycle < now) {
            dispatcher.timer(now, 1);
            nextCycle += 500;
          }
        }
        served += n;
        dispatcher.members(
            10_000,
            EndpointListUpdate.CHANGES,
            List.of(new Worker(9, WorkerState.READY, 0, 0, 0, 10_000, 1)));
        each.sends.clear();
        for (double now = 10_000; now < 13_000; now += 20) {
          String id = "c" + now;
          dispatcher.arrived(now, Fixture.job(id, 0, now + 5_000));
          if (!each.sends.isEmpty() && each.last().id().equals(id) && each.last().worker() == 9) {
            dispatcher.ended(now, id, 0, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
          }
        }
        sent += each.sends.stream().filter(send -> send.worker() == 9).count();
      }
      double carried = served / 10 / 2;
      double budget = Fixture.COLD.fallMultiple() * Fixture.COLD.startCapacity() * carried * 3;
      assertTrue(sent <= budget, of + " dispatchers sent " + sent + " of " + budget);
      assertTrue(sent > 0, "some traffic of " + of + " dispatchers must try the cold worker");
    }
  }

  @Test
  void fullWorkerIsHeldBackThoughItHoldsNothing() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
    dispatcher.arrived(10, Fixture.job("a", 0, 5_010));
    long full = out.last().worker();
    dispatcher.ended(10, "a", 0, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
    for (int i = 0; i < 5; i++) {
      dispatcher.arrived(11, Fixture.job("b" + i, 0, 5_011));
      assertNotEquals(full, out.last().worker());
    }
  }

  @Test
  void workerThatReportsNoRoomIsPassedOver() {
    for (LoadReport none :
        List.of(
            new LoadReport(0, Double.NaN, Double.NaN, Double.NaN),
            new LoadReport(Double.NaN, 0, Double.NaN, Double.NaN))) {
      ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
      dispatcher.arrived(10, Fixture.job("a", 0, 5_010));
      long busy = out.last().worker();
      dispatcher.ended(200, "a", 0, AttemptOutcome.OK, 190, true, none);
      assertFalse(use(dispatcher, 20, 201).contains(busy));
      assertTrue(use(dispatcher, 40, 400).contains(busy));
    }
  }

  @Test
  void tiesBreakAtRandomButRepeatably() {
    Set<Long> firsts = new HashSet<>();
    for (int seed = 0; seed < 40; seed++) {
      List<Long> runs = new ArrayList<>();
      for (int run = 0; run < 2; run++) {
        Fixture.Recorder each = new Fixture.Recorder();
        ThrottlingDispatcher dispatcher =
            new ThrottlingDispatcher(
                Fixture.settings(0, 1, Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
                seed,
                0,
                each);
        dispatcher.members(0, EndpointListUpdate.STORED, FLEET);
        dispatcher.arrived(10, Fixture.job("a", 0, 5_010));
        runs.add(each.last().worker());
      }
      assertEquals(runs.get(0), runs.get(1));
      firsts.add(runs.get(0));
    }
    assertTrue(firsts.size() >= 3, "always the same: " + firsts);
  }

  @Test
  void failingWorkerIsLeftOutAndReturnsByTrial() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    dispatcher.arrived(10, Fixture.job("a", 0, 5_010));
    long bad = out.last().worker();
    dispatcher.ended(12, "a", 0, AttemptOutcome.ERROR, 2, false, LoadReport.NONE);
    assertFalse(use(dispatcher, 30, 20).contains(bad));
    assertTrue(use(dispatcher, 30, 3_000).contains(bad));
  }

  /**
   * Danger: a dispatcher met a lost zone worker by worker, a refused connection each (incident
   * i1da63f).
   */
  @Test
  void zoneThatRefusesConnectionsIsLeftAsAWhole() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, false);
    List<Worker> fleet = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      fleet.add(Fixture.worker(100 + i, i % 2, 0));
    }
    dispatcher.members(1, EndpointListUpdate.WHOLE, fleet);
    int lost = 0;
    for (int i = 0; i < 60; i++) {
      String id = "z" + i;
      dispatcher.arrived(10 + i, Fixture.job(id, 0, 5_010));
      for (int n = 0; n < 3 && out.last().id().equals(id) && out.last().worker() % 2 == 0; n++) {
        lost++;
        dispatcher.ended(10 + i, id, n, AttemptOutcome.CONNECT_FAILED, 1, false, LoadReport.NONE);
      }
    }
    assertTrue(lost >= 1 && lost <= 6, "connections tried into the lost zone: " + lost);
  }

  @Test
  void repeatableJobStuckInAQueueIsTriedElsewhereAndTheFirstStartWins() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, true);
    dispatcher.arrived(10, Fixture.job("r", 0, 5_010));
    long token = out.timers.get(out.timers.size() - 1)[1];
    long first = out.last().worker();
    dispatcher.timer(200, token);
    assertEquals(2, out.sends.size());
    assertNotEquals(first, out.last().worker());
    dispatcher.started(205, "r", 1);
    assertEquals(List.of("r/0"), out.cancelled);
    dispatcher.ended(205, "r", 0, AttemptOutcome.CANCELLED, 195, false, LoadReport.NONE);
    assertEquals(2, out.sends.size(), "a given-up place is not sent again");
    dispatcher.ended(300, "r", 1, AttemptOutcome.OK, 100, true, LoadReport.NONE);
    assertEquals(0, out.refused.size() + out.failed.size());
  }

  @Test
  void unsafeJobNeverHasTwoAttemptsOut() {
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.UNSAFE, IdempotencyScope.ALL, true);
    dispatcher.arrived(10, Fixture.job("r", 0, 5_010));
    for (long[] timer : new ArrayList<>(out.timers)) {
      dispatcher.timer(400, timer[1]);
    }
    assertEquals(1, out.sends.size());
  }

  @Test
  void invalidSettingsAndJobsNameTheField() {
    Exception job = assertThrows(IllegalArgumentException.class, () -> Fixture.job("", 0, 1));
    assertTrue(job.getMessage().contains("Job.id"));
    Exception me =
        assertThrows(
            IllegalArgumentException.class,
            () -> Fixture.settings(3, 3, Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)));
    assertTrue(me.getMessage().contains("Settings.me"));
    ThrottlingDispatcher dispatcher = dispatcher(Idempotency.SAFE, IdempotencyScope.ALL, false);
    Exception range =
        assertThrows(
            IllegalArgumentException.class,
            () -> dispatcher.arrived(1, new Job("x", 9, 0, 10, 0, 1, 0, 0)));
    assertTrue(range.getMessage().contains("Job.jobClass"));
  }
}
