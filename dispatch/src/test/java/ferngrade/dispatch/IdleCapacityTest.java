package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.knownfailures.SkipKnownFailures;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against rejections while workers are idle. On a machine short of processor time, late
 * starts cut the slice of a process that has served few requests to the minimum. The slice then
 * grows by only a fifth per half second, so requests are rejected for ten seconds. A log showed
 * slice=1.7 at demand=203.2 (279 of 281 requests rejected by quota) and one second later slice=7.4
 * at demand=307.9 (286 of 292 rejected). The same lines had accepted=1.0 and 3.6, held=0, size=3.0
 * and rejected_share=0: only the slice limited the process.
 */
@ExtendWith(SkipKnownFailures.class)
class IdleCapacityTest {
  private static final long BUDGET_CYCLE_TOKEN = 1;
  private static final double BUDGET_CYCLE_MS = 500;
  private static final int WORKERS = 4;
  private static final int CORES = 4;

  private final Fixture.Recorder actions = new Fixture.Recorder();
  private final ThrottlingDispatcher dispatcher = dispatcher(1);
  private double now;
  private int nextId;

  private ThrottlingDispatcher dispatcher(int dispatchers) {
    JobClass jobClass = Fixture.jobClass(Idempotency.UNSAFE, IdempotencyScope.ALL);
    ThrottlingDispatcher created =
        new ThrottlingDispatcher(Fixture.settings(0, dispatchers, jobClass), 1, 0, actions);
    List<Worker> workers = new ArrayList<>();
    for (int id = 1; id <= WORKERS; id++) {
      workers.add(new Worker(id, WorkerState.READY, 0, 0, 0, 0, CORES));
    }
    created.endpointsUpdated(0, EndpointListUpdate.STORED, workers);
    return created;
  }

  /**
   * Sends one request, which its worker runs for 20 ms. If {@code late} is true, the start deadline
   * of the request passes before its worker starts it.
   */
  private void sendRequest(boolean late) {
    String id = "r" + nextId++;
    int sendsBefore = actions.sends.size();
    dispatcher.requestArrived(now, Fixture.job(id, 0, now + 5_000));
    if (actions.sends.size() > sendsBefore) {
      if (late) {
        actions.timers.stream()
            .filter(timer -> timer[1] > BUDGET_CYCLE_TOKEN + 1)
            .reduce((first, second) -> second)
            .ifPresent(timer -> dispatcher.timerExpired(now + timer[0], timer[1]));
      }
      dispatcher.attemptStarted(now + 1, id, 0);
      dispatcher.attemptEnded(now + 20, id, 0, AttemptOutcome.OK, 20, true, LoadReport.NONE);
    }
  }

  /**
   * Runs a budget cycle with the requests spread over it, and returns the number of rejected
   * requests. If {@code late} is true, every job passes its start deadline.
   */
  private int runCycle(int requests, boolean late) {
    int rejectedBefore = actions.rejected.size();
    double cycleStart = now;
    for (int i = 0; i < requests; i++) {
      now = cycleStart + i * BUDGET_CYCLE_MS / requests;
      sendRequest(late);
    }
    now = cycleStart + BUDGET_CYCLE_MS;
    dispatcher.timerExpired(now, BUDGET_CYCLE_TOKEN);
    return actions.rejected.size() - rejectedBefore;
  }

  @Test
  void servesAllDemandSoonAfterLateStartsHaveCutTheSlice() {
    runCycle(2, false);
    for (int i = 0; i < 4; i++) {
      runCycle(80, true);
    }
    List<Integer> rejected = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      rejected.add(runCycle(80, false));
    }
    assertEquals(
        0,
        rejected.stream().skip(2).mapToInt(Integer::intValue).sum(),
        "rejected per cycle: " + rejected);
  }

  @Test
  void doesNotCountRejectingWorkersAsIdle() {
    runCycle(80, false);
    for (int i = 0; i < 80; i++) {
      now += 5;
      String id = "full" + i;
      int sendsBefore = actions.sends.size();
      dispatcher.requestArrived(now, Fixture.job(id, 0, now + 5_000));
      for (int n = 0; actions.sends.size() > sendsBefore + n; n++) {
        dispatcher.attemptEnded(now + 1, id, n, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
      }
    }
    now += BUDGET_CYCLE_MS;
    dispatcher.timerExpired(now, BUDGET_CYCLE_TOKEN);
    int sendsBefore = actions.sends.size();
    for (int i = 0; i < 100; i++) {
      dispatcher.requestArrived(now + 1, Fixture.job("burst" + i, 0, now + 5_000));
    }
    assertTrue(
        actions.sends.size() - sendsBefore < 60, "sent " + (actions.sends.size() - sendsBefore));
  }

  @Test
  void limitsJobsInFlightToTheCoresOfIdleWorkers() {
    runCycle(2, false);
    for (int i = 0; i < 4; i++) {
      runCycle(80, true);
    }
    int sendsBefore = actions.sends.size();
    for (int i = 0; i < 100; i++) {
      dispatcher.requestArrived(now + 1, Fixture.job("held" + i, 0, now + 5_000));
    }
    int attemptsInFlight = actions.sends.size() - sendsBefore;
    assertTrue(attemptsInFlight <= WORKERS * CORES, "attempts in flight: " + attemptsInFlight);
  }
}
