package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the slice, the exchange of slots with peers and the water level. */
class BudgetTest {
  private static final long BUDGET_CYCLE_TOKEN = 1;
  private int nextId;

  private static ThrottlingDispatcher dispatcher(
      int index, int dispatchers, Fixture.Recorder actions, List<Tenant> tenants) {
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            Fixture.settings(
                index,
                dispatchers,
                Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL),
                tenants,
                false),
            index,
            0,
            actions);
    dispatcher.endpointsUpdated(
        0, EndpointListUpdate.STORED, List.of(Fixture.worker(1, 0, 0), Fixture.worker(2, 0, 0)));
    return dispatcher;
  }

  private void sendRequests(
      ThrottlingDispatcher dispatcher,
      Fixture.Recorder actions,
      int count,
      int tenant,
      double now,
      AttemptOutcome outcome) {
    for (int i = 0; i < count; i++) {
      String id = "r" + nextId++;
      int sendsBefore = actions.sends.size();
      dispatcher.requestArrived(now, Fixture.job(id, tenant, now + 5_000));
      for (int n = 0; actions.sends.size() > sendsBefore + n; n++) {
        dispatcher.attemptEnded(
            now, id, n, outcome, 1, outcome == AttemptOutcome.OK, LoadReport.NONE);
      }
    }
  }

  @Test
  void computesWaterLevelOfKnownCases() {
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
  void rejectsNothingOnIdleFleetAfterWaitingForClients() {
    Fixture.Recorder actions = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, actions, List.of(new Tenant("a", 1, 10)));
    double now = 0;
    for (int cycle = 0; cycle < 40; cycle++) {
      now += 500;
      dispatcher.timerExpired(now, BUDGET_CYCLE_TOKEN);
      if (cycle >= 8) {
        sendRequests(dispatcher, actions, cycle, 0, now + 1, AttemptOutcome.OK);
      }
    }
    assertEquals(List.of(), actions.rejected);
  }

  @Test
  void movesSlotsToPeerWithMoreDemandAndPreservesSum() {
    List<Fixture.Recorder> recorders = List.of(new Fixture.Recorder(), new Fixture.Recorder());
    List<ThrottlingDispatcher> pair = new ArrayList<>();
    List<Tenant> tenants = List.of(new Tenant("a", 1, 10));
    for (int index = 0; index < 2; index++) {
      pair.add(dispatcher(index, 2, recorders.get(index), tenants));
      sendRequests(pair.get(index), recorders.get(index), 20, 0, 100, AttemptOutcome.OK);
      pair.get(index).timerExpired(500, BUDGET_CYCLE_TOKEN);
    }
    exchange(pair, recorders);
    double before = pair.get(0).slice() + pair.get(1).slice();
    // In this cycle both dispatchers receive 20 requests each; both slices are at their maximum
    // relative to the demand and do not grow. In the next cycle the second dispatcher receives 30.
    sendRequests(pair.get(0), recorders.get(0), 20, 0, 600, AttemptOutcome.OK);
    sendRequests(pair.get(1), recorders.get(1), 20, 0, 600, AttemptOutcome.OK);
    pair.forEach(dispatcher -> dispatcher.timerExpired(1_000, BUDGET_CYCLE_TOKEN));
    assertEquals(before, pair.get(0).slice() + pair.get(1).slice(), before * 0.25);
    exchange(pair, recorders);
    double first = pair.get(0).slice();
    double second = pair.get(1).slice();
    sendRequests(pair.get(1), recorders.get(1), 30, 0, 1_100, AttemptOutcome.OK);
    pair.forEach(dispatcher -> dispatcher.timerExpired(1_500, BUDGET_CYCLE_TOKEN));
    exchange(pair, recorders);
    pair.forEach(dispatcher -> dispatcher.timerExpired(2_000, BUDGET_CYCLE_TOKEN));
    assertTrue(
        pair.get(1).slice() - second > pair.get(0).slice() - first,
        "slots must move to the dispatcher with more demand");
  }

  private static void exchange(List<ThrottlingDispatcher> pair, List<Fixture.Recorder> recorders) {
    for (int index = 0; index < 2; index++) {
      byte[] message = recorders.get(index).messages.get(recorders.get(index).messages.size() - 1);
      assertTrue(message.length <= 256);
      pair.get(1 - index).peerMessageReceived(0, index, message);
    }
  }

  @Test
  void boundsSliceWithoutPeerMessagesAndIgnoresMalformedOnes() {
    Fixture.Recorder actions = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 3, actions, List.of(new Tenant("a", 1, 10)));
    for (int cycle = 1; cycle < 60; cycle++) {
      sendRequests(dispatcher, actions, 20, 0, cycle * 500 - 10, AttemptOutcome.OK);
      dispatcher.peerMessageReceived(cycle * 500 - 5, 1, new byte[] {1, 2, 3});
      dispatcher.peerMessageReceived(cycle * 500 - 5, 99, new byte[16]);
      dispatcher.peerMessageReceived(
          cycle * 500 - 5, 2, java.util.Base64.getDecoder().decode("AAAAAX/AAAB/wAAAf8AAAA=="));
      dispatcher.timerExpired(cycle * 500, BUDGET_CYCLE_TOKEN);
    }
    assertTrue(dispatcher.slice() > 40 && dispatcher.slice() < 100, "slice " + dispatcher.slice());
  }

  @Test
  void cutsSliceAfterRejectionsAndGrowsItAgain() {
    Fixture.Recorder actions = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, actions, List.of(new Tenant("a", 1, 10)));
    sendRequests(dispatcher, actions, 50, 0, 10, AttemptOutcome.OK);
    dispatcher.timerExpired(500, BUDGET_CYCLE_TOKEN);
    double initial = dispatcher.slice();
    assertTrue(initial > 100, "the initial slice must exceed the demand");
    sendRequests(dispatcher, actions, 50, 0, 510, AttemptOutcome.FULL);
    dispatcher.timerExpired(1_000, BUDGET_CYCLE_TOKEN);
    double cut = dispatcher.slice();
    assertTrue(cut < initial / 2, "rejections must cut the slice");
    sendRequests(dispatcher, actions, 50, 0, 1_010, AttemptOutcome.OK);
    dispatcher.timerExpired(1_500, BUDGET_CYCLE_TOKEN);
    assertTrue(dispatcher.slice() > cut, "accepted attempts must grow the slice");
  }

  /**
   * Guards against further cuts of an already small slice by jobs that were sent before the last
   * cut (incident iea15a6).
   */
  @Test
  void doesNotCutAgainForLateStartOfJobSentBeforeLastCut() {
    Fixture.Recorder actions = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, actions, List.of(new Tenant("a", 1, 10)));
    for (int i = 0; i < 6; i++) {
      dispatcher.requestArrived(10, Fixture.job("old" + i, 0, 9_000));
    }
    sendRequests(dispatcher, actions, 50, 0, 20, AttemptOutcome.FULL);
    dispatcher.timerExpired(500, BUDGET_CYCLE_TOKEN);
    double cut = dispatcher.slice();
    sendRequests(dispatcher, actions, 50, 0, 600, AttemptOutcome.OK);
    for (int i = 0; i < 6; i++) {
      dispatcher.attemptStarted(900, "old" + i, 0);
    }
    dispatcher.timerExpired(1_000, BUDGET_CYCLE_TOKEN);
    assertTrue(dispatcher.slice() > cut, dispatcher.slice() + " after " + cut);
  }

  @Test
  void cutsSliceForMissedStartDeadlinesBeforeTheJobsStart() {
    Fixture.Recorder actions = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, actions, List.of(new Tenant("a", 1, 10)));
    sendRequests(dispatcher, actions, 50, 0, 10, AttemptOutcome.OK);
    dispatcher.timerExpired(500, BUDGET_CYCLE_TOKEN);
    double before = dispatcher.slice();
    for (int i = 0; i < 50; i++) {
      dispatcher.requestArrived(510, Fixture.job("stuck" + i, 0, 9_000));
    }
    List<long[]> dueTimers = actions.timers.stream().filter(timer -> timer[1] >= 16).toList();
    dueTimers.forEach(timer -> dispatcher.timerExpired((double) (510 + timer[0]), timer[1]));
    dispatcher.timerExpired(1_000, BUDGET_CYCLE_TOKEN);
    assertTrue(dispatcher.slice() < before, dispatcher.slice() + " after " + before);
  }

  @Test
  void doesNotCutSliceForOneLateJobOfFew() {
    Fixture.Recorder actions = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher = dispatcher(0, 1, actions, List.of(new Tenant("a", 1, 10)));
    for (int cycle = 1; cycle <= 10; cycle++) {
      sendRequests(dispatcher, actions, 20, 0, cycle * 500 - 10, AttemptOutcome.OK);
      dispatcher.timerExpired(cycle * 500, BUDGET_CYCLE_TOKEN);
    }
    double before = dispatcher.slice();
    sendRequests(dispatcher, actions, 2, 0, 5_010, AttemptOutcome.OK);
    dispatcher.requestArrived(5_020, Fixture.job("late", 0, 14_000));
    long token = actions.timers.get(actions.timers.size() - 1)[1];
    dispatcher.timerExpired(5_400, token);
    dispatcher.timerExpired(5_500, BUDGET_CYCLE_TOKEN);
    assertTrue(dispatcher.slice() > 0.75 * before, dispatcher.slice() + " after " + before);
  }

  @Test
  void rejectsTenantAboveItsQuotaAndServesTheOther() {
    Fixture.Recorder actions = new Fixture.Recorder();
    ThrottlingDispatcher dispatcher =
        dispatcher(0, 1, actions, List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 10)));
    for (int cycle = 1; cycle <= 6; cycle++) {
      sendRequests(
          dispatcher,
          actions,
          100,
          0,
          cycle * 500 - 20,
          cycle < 3 ? AttemptOutcome.FULL : AttemptOutcome.OK);
      sendRequests(dispatcher, actions, 5, 1, cycle * 500 - 10, AttemptOutcome.OK);
      dispatcher.timerExpired(cycle * 500, BUDGET_CYCLE_TOKEN);
    }
    actions.rejected.clear();
    int sendsBefore = actions.sends.size();
    int firstIdOfSmallTenant = nextId;
    for (int i = 0; i < 5; i++) {
      sendRequests(dispatcher, actions, 1, 1, 3_010 + i * 90, AttemptOutcome.OK);
    }
    assertEquals(
        List.of(),
        actions.rejected,
        "rejected requests of the small tenant, which is below its quota, from r"
            + firstIdOfSmallTenant);
    sendRequests(dispatcher, actions, 500, 0, 3_480, AttemptOutcome.OK);
    assertTrue(actions.rejected.size() > 300, "rejected " + actions.rejected.size());
    assertTrue(
        actions.sends.size() - sendsBefore < 200, "sent " + (actions.sends.size() - sendsBefore));
  }

  @Test
  void peerGraphIsSymmetricAndBounded() {
    for (int dispatchers : new int[] {1, 2, 7, 8, 15, 200}) {
      List<List<Integer>> links = new ArrayList<>();
      for (int index = 0; index < dispatchers; index++) {
        Fixture.Recorder actions = new Fixture.Recorder();
        dispatcher(index, dispatchers, actions, List.of(new Tenant("a", 1, 10)))
            .timerExpired(500, BUDGET_CYCLE_TOKEN);
        links.add(actions.messagedPeers.stream().sorted().toList());
        assertTrue(links.get(index).size() <= 6 && !links.get(index).contains(index));
        assertTrue(dispatchers == 1 || !links.get(index).isEmpty());
      }
      int[] oneWay =
          java.util.stream.IntStream.range(0, dispatchers)
              .filter(a -> links.get(a).stream().anyMatch(b -> !links.get(b).contains(a)))
              .toArray();
      assertArrayEquals(new int[0], oneWay, "dispatchers with one-way links, of " + dispatchers);
    }
  }
}
