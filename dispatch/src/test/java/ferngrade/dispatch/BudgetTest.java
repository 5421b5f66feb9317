package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The slice, the peer step and the water level. */
class BudgetTest {
  private static final long CYCLE = 1;
  private int ids;

  private static ThrottlingDispatcher dispatcher(
      int me, int of, Fixture.Recorder actions, List<Tenant> tenants) {
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            Fixture.settings(
                me, of, Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL), tenants, false),
            me,
            0,
            actions);
    dispatcher.members(
        0, EndpointListUpdate.STORED, List.of(Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0)));
    return dispatcher;
  }

  private void arrive(
      ThrottlingDispatcher dispatcher,
      Fixture.Recorder actions,
      int count,
      int tenant,
      double now,
      AttemptOutcome outcome) {
    for (int i = 0; i < count; i++) {
      String id = "r" + ids++;
      int before = actions.sends.size();
      dispatcher.arrived(now, Fixture.job(id, tenant, now + 5_000));
      for (int n = 0; actions.sends.size() > before + n; n++) {
        dispatcher.ended(now, id, n, outcome, 1, outcome == AttemptOutcome.OK, LoadReport.NONE);
      }
    }
  }

  @Test
  void waterLevelMatchesHandComputedCases() {
    double[] equal = {1, 1, 1};
    assertEquals(
        Double.POSITIVE_INFINITY, TenantQuotas.waterLevel(10, new double[] {2, 3, 5}, equal));
    assertEquals(4, TenantQuotas.waterLevel(10, new double[] {2, 9, 9}, equal), 1e-9);
    assertEquals(10.0 / 3, TenantQuotas.waterLevel(10, new double[] {5, 9, 9}, equal), 1e-9);
    assertEquals(
        2, TenantQuotas.waterLevel(12, new double[] {100, 100}, new double[] {4, 2}), 1e-9);
    assertEquals(10, TenantQuotas.waterLevel(12, new double[] {100, 2}, new double[] {1, 1}), 1e-9);
    assertEquals(0, TenantQuotas.waterLevel(0, new double[] {1}, new double[] {1}), 1e-9);
  }

  @Test
  void aDispatcherThatWaitedForItsClientsRefusesNothingOnAnIdleFleet() {
    Fixture.Recorder out = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, out, List.of(new Tenant("a", 1, 10)));
    double now = 0;
    for (int cycle = 0; cycle < 40; cycle++) {
      now += 500;
      dispatcher.timer(now, CYCLE);
      if (cycle >= 8) {
        arrive(dispatcher, out, cycle, 0, now + 1, AttemptOutcome.OK);
      }
    }
    assertEquals(List.of(), out.refused);
  }

  @Test
  void peerStepMovesSlotsToTheAskingPeerAndKeepsTheSum() {
    List<Fixture.Recorder> out = List.of(new Fixture.Recorder(), new Fixture.Recorder());
    List<ThrottlingDispatcher> pair = new ArrayList<>();
    List<Tenant> tenants = List.of(new Tenant("a", 1, 10));
    for (int me = 0; me < 2; me++) {
      pair.add(dispatcher(me, 2, out.get(me), tenants));
      arrive(pair.get(me), out.get(me), 20, 0, 100, AttemptOutcome.OK);
      pair.get(me).timer(500, CYCLE);
    }
    exchange(pair, out);
    double before = pair.get(0).slice() + pair.get(1).slice();
    // Slices stand at the slack bound, where nothing grows; the second asks for more, the first as
    // before.
    arrive(pair.get(0), out.get(0), 20, 0, 600, AttemptOutcome.OK);
    arrive(pair.get(1), out.get(1), 20, 0, 600, AttemptOutcome.OK);
    pair.forEach(dispatcher -> dispatcher.timer(1_000, CYCLE));
    assertEquals(before, pair.get(0).slice() + pair.get(1).slice(), before * 0.25);
    exchange(pair, out);
    double first = pair.get(0).slice();
    double second = pair.get(1).slice();
    arrive(pair.get(1), out.get(1), 30, 0, 1_100, AttemptOutcome.OK);
    pair.forEach(dispatcher -> dispatcher.timer(1_500, CYCLE));
    exchange(pair, out);
    pair.forEach(dispatcher -> dispatcher.timer(2_000, CYCLE));
    assertTrue(
        pair.get(1).slice() - second > pair.get(0).slice() - first,
        "slots move to the one that asks");
  }

  private static void exchange(List<ThrottlingDispatcher> pair, List<Fixture.Recorder> out) {
    for (int me = 0; me < 2; me++) {
      byte[] last = out.get(me).messages.get(out.get(me).messages.size() - 1);
      assertTrue(last.length <= 256);
      pair.get(1 - me).heard(0, me, last);
    }
  }

  @Test
  void sliceIsBoundedWhenPeersFallSilentAndGarbageIsIgnored() {
    Fixture.Recorder out = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 3, out, List.of(new Tenant("a", 1, 10)));
    for (int cycle = 1; cycle < 60; cycle++) {
      arrive(dispatcher, out, 20, 0, cycle * 500 - 10, AttemptOutcome.OK);
      dispatcher.heard(cycle * 500 - 5, 1, new byte[] {1, 2, 3});
      dispatcher.heard(cycle * 500 - 5, 99, new byte[16]);
      dispatcher.heard(
          cycle * 500 - 5, 2, java.util.Base64.getDecoder().decode("AAAAAX/AAAB/wAAAf8AAAA=="));
      dispatcher.timer(cycle * 500, CYCLE);
    }
    assertTrue(dispatcher.slice() > 40 && dispatcher.slice() < 100, "slice " + dispatcher.slice());
  }

  @Test
  void sliceIsTrimmedByRefusalsAndGrowsBack() {
    Fixture.Recorder out = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, out, List.of(new Tenant("a", 1, 10)));
    arrive(dispatcher, out, 50, 0, 10, AttemptOutcome.OK);
    dispatcher.timer(500, CYCLE);
    double generous = dispatcher.slice();
    assertTrue(generous > 100, "a slice starts generous");
    arrive(dispatcher, out, 50, 0, 510, AttemptOutcome.FULL);
    dispatcher.timer(1_000, CYCLE);
    double trimmed = dispatcher.slice();
    assertTrue(trimmed < generous / 2, "refusals trim");
    arrive(dispatcher, out, 50, 0, 1_010, AttemptOutcome.OK);
    dispatcher.timer(1_500, CYCLE);
    assertTrue(dispatcher.slice() > trimmed, "acceptance grows");
  }

  /**
   * Danger: jobs stuck since before a cut kept cutting a slice that was small already (incident
   * iea15a6).
   */
  @Test
  void lateStartOfAJobSentBeforeTheLastCutDoesNotCutAgain() {
    Fixture.Recorder out = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, out, List.of(new Tenant("a", 1, 10)));
    for (int i = 0; i < 6; i++) {
      dispatcher.arrived(10, Fixture.job("old" + i, 0, 9_000));
    }
    arrive(dispatcher, out, 50, 0, 20, AttemptOutcome.FULL);
    dispatcher.timer(500, CYCLE);
    double cut = dispatcher.slice();
    arrive(dispatcher, out, 50, 0, 600, AttemptOutcome.OK);
    for (int i = 0; i < 6; i++) {
      dispatcher.started(900, "old" + i, 0);
    }
    dispatcher.timer(1_000, CYCLE);
    assertTrue(dispatcher.slice() > cut, dispatcher.slice() + " after " + cut);
  }

  @Test
  void jobsThatHaveNotStartedInTimeCutTheSliceBeforeTheyStart() {
    Fixture.Recorder out = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, out, List.of(new Tenant("a", 1, 10)));
    arrive(dispatcher, out, 50, 0, 10, AttemptOutcome.OK);
    dispatcher.timer(500, CYCLE);
    double before = dispatcher.slice();
    for (int i = 0; i < 50; i++) {
      dispatcher.arrived(510, Fixture.job("stuck" + i, 0, 9_000));
    }
    List<long[]> due = out.timers.stream().filter(timer -> timer[1] >= 16).toList();
    due.forEach(timer -> dispatcher.timer((double) (510 + timer[0]), timer[1]));
    dispatcher.timer(1_000, CYCLE);
    assertTrue(dispatcher.slice() < before, dispatcher.slice() + " after " + before);
  }

  @Test
  void fewLateJobsOfFewDoNotCutASliceThatCarriedManyBefore() {
    Fixture.Recorder out = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, out, List.of(new Tenant("a", 1, 10)));
    for (int cycle = 1; cycle <= 10; cycle++) {
      arrive(dispatcher, out, 20, 0, cycle * 500 - 10, AttemptOutcome.OK);
      dispatcher.timer(cycle * 500, CYCLE);
    }
    double before = dispatcher.slice();
    arrive(dispatcher, out, 2, 0, 5_010, AttemptOutcome.OK);
    dispatcher.arrived(5_020, Fixture.job("late", 0, 14_000));
    long token = out.timers.get(out.timers.size() - 1)[1];
    dispatcher.timer(5_400, token);
    dispatcher.timer(5_500, CYCLE);
    assertTrue(dispatcher.slice() > 0.75 * before, dispatcher.slice() + " after " + before);
  }

  @Test
  void excessTenantIsRefusedUnsentAndTheOtherServed() {
    Fixture.Recorder out = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher =
        dispatcher(0, 1, out, List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 10)));
    for (int cycle = 1; cycle <= 6; cycle++) {
      arrive(
          dispatcher,
          out,
          100,
          0,
          cycle * 500 - 20,
          cycle < 3 ? AttemptOutcome.FULL : AttemptOutcome.OK);
      arrive(dispatcher, out, 5, 1, cycle * 500 - 10, AttemptOutcome.OK);
      dispatcher.timer(cycle * 500, CYCLE);
    }
    out.refused.clear();
    int sends = out.sends.size();
    int firstOfSmall = ids;
    for (int i = 0; i < 5; i++) {
      arrive(dispatcher, out, 1, 1, 3_010 + i * 90, AttemptOutcome.OK);
    }
    assertEquals(
        List.of(), out.refused, "the small tenant is under its level from r" + firstOfSmall);
    arrive(dispatcher, out, 500, 0, 3_480, AttemptOutcome.OK);
    assertTrue(out.refused.size() > 300, "refused " + out.refused.size());
    assertTrue(out.sends.size() - sends < 200, "sent " + (out.sends.size() - sends));
  }

  @Test
  void peerGraphIsUndirectedAndBounded() {
    for (int of : new int[] {1, 2, 7, 8, 15, 200}) {
      List<List<Integer>> links = new ArrayList<>();
      for (int me = 0; me < of; me++) {
        Fixture.Recorder out = new Fixture.Recorder();
        dispatcher(me, of, out, List.of(new Tenant("a", 1, 10))).timer(500, CYCLE);
        links.add(out.messagedPeers.stream().sorted().toList());
        assertTrue(links.get(me).size() <= 6 && !links.get(me).contains(me));
        assertTrue(of == 1 || !links.get(me).isEmpty());
      }
      int[] missing =
          java.util.stream.IntStream.range(0, of)
              .filter(a -> links.get(a).stream().anyMatch(b -> !links.get(b).contains(a)))
              .toArray();
      assertArrayEquals(new int[0], missing, "one-way links among " + of);
    }
  }
}
