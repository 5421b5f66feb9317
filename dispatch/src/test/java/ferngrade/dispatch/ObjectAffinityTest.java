package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Where jobs go that need an object, what reports tell of a worker's size, and which class goes
 * first.
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

  private final Fixture.Recorder out = new Fixture.Recorder();
  private double now = 1000;
  private int ids;

  private ThrottlingDispatcher dispatcher(int me, Idempotency effect) {
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            Fixture.settings(
                me,
                4,
                Fixture.jobClass(effect, IdempotencyScope.ZONE),
                List.of(new Tenant("a", 1, 10)),
                true),
            7 + me,
            0,
            out);
    dispatcher.members(0, EndpointListUpdate.STORED, FLEET);
    return dispatcher;
  }

  /** Sends a job and returns its worker. */
  private long send(ThrottlingDispatcher dispatcher, long object) {
    dispatcher.arrived(now, new Job("r" + ids++, 0, 0, now + 5_000, WORK, 1, 0, object));
    return out.last().worker();
  }

  private void serve(ThrottlingDispatcher dispatcher, LoadReport report) {
    now += WORK;
    dispatcher.ended(now, "r" + (ids - 1), 0, AttemptOutcome.OK, WORK, true, report);
  }

  /** Its workers have reported their slots, and one job of each of many objects has been served. */
  private ThrottlingDispatcher warm(int me) {
    ThrottlingDispatcher dispatcher = dispatcher(me, Idempotency.SAFE);
    for (int i = 0; i < 40; i++) {
      send(dispatcher, 100 + i);
      serve(dispatcher, FOUR_SLOTS);
    }
    return dispatcher;
  }

  @Test
  void aJobGoesWhereItsObjectWentBefore() {
    ThrottlingDispatcher dispatcher = warm(0);
    long holder = send(dispatcher, 5);
    serve(dispatcher, FOUR_SLOTS);
    for (int i = 0; i < 20; i++) {
      assertEquals(holder, send(dispatcher, 5));
      serve(dispatcher, FOUR_SLOTS);
    }
  }

  @Test
  void dispatchersThatNeverSpokeLeanToOneWorkerForAnObject() {
    int together = 0;
    for (long object = 1; object <= 20; object++) {
      long first = send(warm(0), object);
      together += first == send(warm(1), object) ? 1 : 0;
    }
    assertTrue(
        together >= 12, "of 20 objects " + together + " met at one worker; by chance 5 would");
  }

  @Test
  void aCrowdedHolderIsPassedOver() {
    ThrottlingDispatcher dispatcher = warm(0);
    List<Long> workers = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      workers.add(send(dispatcher, 5));
    }
    assertEquals(4, workers.stream().distinct().count(), "all waited for the holder: " + workers);
  }

  @Test
  void theOnlyHolderDrainsAndAnotherTakesItsObject() {
    ThrottlingDispatcher dispatcher = warm(0);
    long holder = send(dispatcher, 5);
    serve(dispatcher, FOUR_SLOTS);
    Worker entry = FLEET.stream().filter(each -> each.id() == holder).findFirst().orElseThrow();
    dispatcher.members(
        now, EndpointListUpdate.CHANGES, List.of(Fixture.with(entry, WorkerState.DRAINING, 0)));
    long next = send(dispatcher, 5);
    assertNotEquals(holder, next);
    serve(dispatcher, FOUR_SLOTS);
    assertEquals(next, send(dispatcher, 5));
  }

  @Test
  void aRestartedHolderHasNothingAtHand() {
    ObjectAffinity kept = new ObjectAffinity();
    kept.recordUse(5, 4);
    assertEquals(0, kept.fetchFraction(5, 1));
    assertTrue(new ObjectAffinity().fetchFraction(5, 1) > 0.8);
    for (long object = 10; object < 14; object++) {
      kept.recordUse(object, 4);
    }
    assertTrue(kept.fetchFraction(5, 1) > 0.8, "four later objects have taken its place");
    assertEquals(0, kept.fetchFraction(0, 1), "a job that needs none misses none");
  }

  @Test
  void aKeyedJobsSecondCopyStaysInItsSiteThoughItsObjectLiesElsewhere() {
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
            out);
    dispatcher.members(
        0, EndpointListUpdate.STORED, List.of(Fixture.worker(1, 0, 0), Fixture.worker(4, 1, 2)));
    long first = send(dispatcher, 5);
    dispatcher.ended(now + 5, "r0", 0, AttemptOutcome.RESET, 5, false, LoadReport.NONE);
    assertTrue(out.sends.stream().allMatch(send -> send.worker() == first), "" + out.sends);
  }

  @Test
  void aReportThatIsNoneOrWildChangesNothing() {
    for (double wild :
        new double[] {-1, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, Double.NaN, 1e300}) {
      LoadReport report = new LoadReport(wild, wild, wild, wild);
      assertTrue(Double.isNaN(report.held()) && Double.isNaN(report.freeSlots()), "" + report);
      out.sends.clear();
      ThrottlingDispatcher dispatcher = dispatcher(0, Idempotency.SAFE);
      for (int i = 0; i < 40; i++) {
        send(dispatcher, 0);
        serve(dispatcher, report);
      }
      assertEquals(40, out.sends.size());
    }
  }

  @Test
  void nobodyIsEjectedWhereAllAreSlowAtOnce() {
    ThrottlingDispatcher dispatcher = warm(0);
    int first = ids;
    for (int i = 0; i < 32; i++) {
      send(dispatcher, 100 + i);
    }
    // All tell their starts a second late and end at four times their work; the last run out of
    // time in the queue.
    for (int i = first; i < first + 32; i++) {
      if (i < first + 24) {
        dispatcher.started(now + 1000, "r" + i, 0);
        dispatcher.ended(
            now + 1000 + 4 * WORK,
            "r" + i,
            0,
            AttemptOutcome.OK,
            1000 + 4 * WORK,
            true,
            FOUR_SLOTS);
      } else {
        dispatcher.ended(
            now + 5_000, "r" + i, 0, AttemptOutcome.TIMEOUT, 5_000, false, LoadReport.NONE);
      }
    }
    assertEquals(0, dispatcher.excluded(now + 5_000));
  }

  /** The share of each class that is taken of 40 jobs each, offered at several times the slice. */
  private double[] taken(ServiceObjective goal) {
    List<JobClass> classes =
        List.of(
            new JobClass(
                "low", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 2, 0.5, -1, 0),
            new JobClass(
                "high", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, 10, 0.5, -1, 0));
    Fixture.Recorder actions = new Fixture.Recorder();
    DispatcherSettings from = Fixture.settings(0, 1, classes.get(0));
    ThrottlingDispatcher dispatcher =
        new ThrottlingDispatcher(
            new DispatcherSettings(
                0,
                1,
                0,
                2,
                classes,
                from.tenants(),
                from.limits(),
                from.cold(),
                false,
                true,
                false,
                0,
                goal),
            7,
            0,
            actions);
    dispatcher.members(0, EndpointListUpdate.STORED, FLEET);
    double[] taken = new double[2];
    double at = 0;
    for (int cycle = 0; cycle < 20; cycle++) {
      for (int i = 0; i < 20; i++) {
        at += 25;
        String id = "j" + cycle + "-" + i;
        int before = actions.sends.size();
        dispatcher.arrived(at, new Job(id, i % 4 == 0 ? 1 : 0, 0, at + 5_000, WORK, 1, 0, 0));
        boolean sent = actions.sends.size() > before;
        // The fleet turns two in three away, so that the slice settles below what is asked.
        boolean full = i % 3 != 0;
        for (int n = 0; actions.sends.size() > before + n; n++) {
          dispatcher.ended(
              at, id, n, full ? AttemptOutcome.FULL : AttemptOutcome.OK, 1, !full, LoadReport.NONE);
        }
        taken[i % 4 == 0 ? 1 : 0] += cycle >= 10 && sent ? 1.0 / (i % 4 == 0 ? 50 : 150) : 0;
      }
      dispatcher.timer(at, 1);
    }
    return taken;
  }

  @Test
  void theWorthiestClassGoesFirstWhereTheWholeWeighsMost() {
    double[] taken = taken(new ServiceObjective(0.5, 0.2));
    assertTrue(taken[1] > 2 * taken[0], "low " + taken[0] + ", high " + taken[1]);
  }

  @Test
  void noClassGoesFirstWhereTheWorstClassWeighsMostOrNothingIsTold() {
    for (ServiceObjective goal :
        List.of(new ServiceObjective(0.4, 0.9), new ServiceObjective(0, 0))) {
      double[] taken = taken(goal);
      assertFalse(taken[1] > 1.5 * taken[0], goal + ": low " + taken[0] + ", high " + taken[1]);
    }
  }
}
