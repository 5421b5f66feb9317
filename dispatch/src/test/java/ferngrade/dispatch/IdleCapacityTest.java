package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.knownfailures.SkipKnownFailures;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * A process that has served little sees some late starts, because the machine is short of processor
 * time, and trims its slice to the floor: nothing it has accepted so far proves a higher one. From
 * there the slice grows by a fifth each half second, so that for ten seconds it rejects what idle
 * workers could do. The log of such a process, second by second:
 *
 * <pre>
 * budget answered=281 rejected_quota=279 slice=1.7 demand=203.2 accepted=1.0 rejected_share=0.000 held=0 size=3.0
 * budget answered=292 rejected_quota=286 slice=7.4 demand=307.9 accepted=3.6 rejected_share=0.000 held=0 size=3.0
 * </pre>
 *
 * No slot is held, no attempt is rejected, and the slice is the only limit.
 */
@ExtendWith(SkipKnownFailures.class)
class IdleCapacityTest {
  private static final long CYCLE = 1;
  private static final double PERIOD = 500;
  private static final int WORKERS = 4;
  private static final int CORES = 4;

  private final Fixture.Recorder out = new Fixture.Recorder();
  private final ThrottlingDispatcher dispatcher = dispatcher(1);
  private double now;
  private int ids;

  private ThrottlingDispatcher dispatcher(int dispatchers) {
    JobClass jobClass = Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL);
    ThrottlingDispatcher made =
        new ThrottlingDispatcher(Fixture.settings(0, dispatchers, jobClass), 1, 0, out);
    List<Worker> workers = new ArrayList<>();
    for (int id = 1; id <= WORKERS; id++) {
      workers.add(new Worker(id, WorkerState.READY, 0, 0, 0, 0, CORES));
    }
    made.members(0, EndpointListUpdate.STORED, workers);
    return made;
  }

  /** One request that its worker runs for 20 ms, or that waits for its start until it is late. */
  private void request(boolean late) {
    String id = "r" + ids++;
    int sent = out.sends.size();
    dispatcher.arrived(now, Fixture.job(id, 0, now + 5_000));
    if (out.sends.size() > sent) {
      if (late) {
        out.timers.stream()
            .filter(timer -> timer[1] > CYCLE + 1)
            .reduce((first, second) -> second)
            .ifPresent(timer -> dispatcher.timer(now + timer[0], timer[1]));
      }
      dispatcher.started(now + 1, id, 0);
      dispatcher.ended(now + 20, id, 0, AttemptOutcome.OK, 20, true, LoadReport.NONE);
    }
  }

  /** A budget cycle with so many requests spread over it; returns how many were rejected. */
  private int cycle(int requests, boolean late) {
    int before = out.refused.size();
    double begin = now;
    for (int i = 0; i < requests; i++) {
      now = begin + i * PERIOD / requests;
      request(late);
    }
    now = begin + PERIOD;
    dispatcher.timer(now, CYCLE);
    return out.refused.size() - before;
  }

  @Test
  void idleWorkersGetWhatIsAskedForSoonAfterLateStartsHaveTrimmedTheSlice() {
    cycle(2, false);
    for (int i = 0; i < 4; i++) {
      cycle(80, true);
    }
    List<Integer> rejected = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      rejected.add(cycle(80, false));
    }
    assertEquals(
        0, rejected.stream().skip(2).mapToInt(Integer::intValue).sum(), "by cycle: " + rejected);
  }

  @Test
  void workersThatRejectAreNotIdle() {
    cycle(80, false);
    for (int i = 0; i < 80; i++) {
      now += 5;
      String id = "full" + i;
      int sent = out.sends.size();
      dispatcher.arrived(now, Fixture.job(id, 0, now + 5_000));
      for (int n = 0; out.sends.size() > sent + n; n++) {
        dispatcher.ended(now + 1, id, n, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
      }
    }
    now += PERIOD;
    dispatcher.timer(now, CYCLE);
    int sent = out.sends.size();
    for (int i = 0; i < 100; i++) {
      dispatcher.arrived(now + 1, Fixture.job("burst" + i, 0, now + 5_000));
    }
    assertTrue(out.sends.size() - sent < 60, "sent " + (out.sends.size() - sent));
  }

  @Test
  void jobsInFlightFillTheShareOfIdleWorkers() {
    cycle(2, false);
    for (int i = 0; i < 4; i++) {
      cycle(80, true);
    }
    int sent = out.sends.size();
    for (int i = 0; i < 100; i++) {
      dispatcher.arrived(now + 1, Fixture.job("held" + i, 0, now + 5_000));
    }
    int held = out.sends.size() - sent;
    assertTrue(held <= WORKERS * CORES, "sent without an outcome: " + held);
  }
}
