package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a dispatcher makes of the load that the endpoint list shows of each worker. */
class LoadTest {
  private static final long CYCLE = 1;
  private static final int WORKERS = 8;
  private static final double SIZE = 8;
  private final Fixture.Recorder out = new Fixture.Recorder();
  private ThrottlingDispatcher dispatcher = dispatcher(0, 4);
  private final Deque<String> running = new ArrayDeque<>();
  private final double[] load = new double[WORKERS];
  private final Set<Integer> gone = new HashSet<>();
  private int ids;
  private double now;

  private ThrottlingDispatcher dispatcher(int me, int dispatchers) {
    return new ThrottlingDispatcher(
        Fixture.settings(
            me,
            dispatchers,
            Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL),
            List.of(new Tenant("a", 1, 10)),
            true,
            true),
        7 + me,
        0,
        out);
  }

  private void list() {
    List<Worker> entries = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      WorkerState state = gone.contains(i) ? WorkerState.GONE : WorkerState.READY;
      entries.add(new Worker(i, state, 0, 0, 0, 0, SIZE / (1 + load[i])));
    }
    dispatcher.members(now, EndpointListUpdate.CHANGES, entries);
  }

  /**
   * Half seconds that begin with a list, in each of which so many jobs come and end; the jobs
   * refused.
   */
  private int cycles(int count, int jobs) {
    int refused = out.refused.size();
    for (int i = 0; i < count; i++, now += jobs == 0 ? 500 : 0) {
      list();
      for (int job = 0; job < jobs; job++) {
        now += 500.0 / jobs;
        String id = "r" + ids++;
        int sends = out.sends.size();
        dispatcher.arrived(now, Fixture.job(id, 0, now + 10_000));
        if (out.sends.size() > sends) {
          dispatcher.started(now + 1, id, 0);
          running.add(id);
        }
        if (running.size() > 5) {
          dispatcher.ended(now + 1, running.poll(), 0, AttemptOutcome.OK, 1, true, LoadReport.NONE);
        }
      }
      dispatcher.timer(now, CYCLE);
    }
    return out.refused.size() - refused;
  }

  private double warmUp(double each) {
    list();
    Arrays.fill(load, each);
    cycles(20, 10);
    return dispatcher.slice();
  }

  @Test
  void theSliceIsTheShareOfWhatTheFleetCanDo() {
    // 20 slots a second of half the fleet's cores: its share is 40, and the slice is ample for
    // that.
    assertEquals(1.75 * 40, warmUp(0.5), 10);
  }

  @Test
  void aSurgeAfterAQuietTimeGetsWhatTheFleetHasIdle() {
    warmUp(0.3);
    cycles(20, 0);
    assertEquals(0, cycles(4, 8));
  }

  @Test
  void aLostZoneIsInTheSliceBeforeAnyJobIsLate() {
    double before = warmUp(0.5);
    gone.addAll(List.of(0, 1, 2, 3));
    cycles(2, 10);
    assertTrue(dispatcher.slice() < 0.75 * before, before + " -> " + dispatcher.slice());
  }

  @Test
  void oneWorkerWithADeepQueueIsPassedOverAndCutsNobodysSlice() {
    double before = warmUp(0.5);
    load[3] = 40;
    int from = out.sends.size();
    cycles(2, 10);
    assertTrue(
        out.sends.subList(from, out.sends.size()).stream().noneMatch(send -> send.worker() == 3));
    assertTrue(dispatcher.slice() > 0.8 * before, before + " -> " + dispatcher.slice());
  }

  @Test
  void aWorkerThatHoldsNothingOfOursButHasADeepQueueRefusesNoJob() {
    warmUp(0.5);
    load[3] = 3;
    list();
    // None of these begins: the others soon hold several jobs of ours each, the deep one none.
    for (int i = 0; i < 20; i++) {
      dispatcher.arrived(now + 10 * i, Fixture.job("h" + i, 0, now + 10_000));
    }
    assertTrue(out.refused.stream().noneMatch(id -> id.startsWith("h")), "refused " + out.refused);
  }

  @Test
  void aJobThatWouldBeLateEverywhereIsRefusedAtOnce() {
    warmUp(0.5);
    Arrays.fill(load, 40);
    assertTrue(cycles(1, 5) >= 4, "refused " + out.refused);
    Arrays.fill(load, 0.2);
    assertEquals(0, cycles(1, 5), "refused once the queues are gone");
  }

  @Test
  void aHundredDispatchersDoNotAllCrowdOnTheWorkerThatTheirCommonListShowsIdle() {
    int crowd = 0;
    for (int number = 0; number < 100; number++) {
      dispatcher = dispatcher(number, 100);
      running.clear();
      warmUp(0.5);
      Arrays.fill(load, 1.95);
      load[3] = 0.2;
      list();
      dispatcher.arrived(now, Fixture.job("c" + number, 0, now + 10_000));
      crowd += out.last().worker() == 3 ? 1 : 0;
      Arrays.fill(load, 0);
    }
    assertTrue(crowd < 60, "of a hundred jobs, one from each, the idle worker got " + crowd);
  }

  @Test
  void jobsSpreadBeforeTheFastWorkersGetMoreHoweverLargeTheListSaysTheyAre() {
    List<Worker> entries = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      entries.add(new Worker(i, WorkerState.READY, 0, i % 2, 0, 0, SIZE));
    }
    dispatcher.members(now, EndpointListUpdate.STORED, entries);
    for (int i = 0; i < 40; i++) {
      String id = "w" + i;
      dispatcher.arrived(now, new Job(id, 0, 0, now + 10_000, 1000, 1, 0, 0));
      dispatcher.started(now, id, 0);
      double took = out.last().worker() % 2 == 0 ? 500 : 1000;
      now += took;
      dispatcher.ended(now, id, 0, AttemptOutcome.OK, took, true, LoadReport.NONE);
    }
    int from = out.sends.size();
    for (int i = 0; i < WORKERS; i++) {
      dispatcher.arrived(now, new Job("b" + i, 0, 0, now + 10_000, 1000, 1, 0, 0));
    }
    long used = out.sends.stream().skip(from).map(Fixture.Send::worker).distinct().count();
    assertTrue(used > WORKERS / 2, "workers used for as many jobs: " + used);
  }
}
