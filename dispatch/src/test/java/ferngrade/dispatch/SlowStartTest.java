package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the budgets of workers that are warming up, if every dispatcher always has a request for
 * them.
 */
class SlowStartTest {
  private static final SlowStartPolicy POLICY = new SlowStartPolicy(0.2, 20_000, 3, 3_000);
  private static final double START = 1_000;
  private static final double STEP = 10;

  private record SentRequest(double at, double cost) {}

  private static Worker worker(double startedAt) {
    return new Worker(9, WorkerState.READY, 0, 0, 0, startedAt, 1);
  }

  private static double limit(double capacity, double time) {
    double capacityShare = Math.min(1, 0.2 + 0.8 * (time - START) / POLICY.warmUpMs());
    return POLICY.overloadFactor() * capacityShare * capacity * POLICY.overloadWindowMs() / 1000;
  }

  private static double sum(List<SentRequest> sends, double after, double until) {
    return sends.stream()
        .filter(request -> request.at() > after && request.at() <= until)
        .mapToDouble(SentRequest::cost)
        .sum();
  }

  private static List<SlowStart> fleet(int dispatchers) {
    List<SlowStart> fleet = new ArrayList<>();
    for (int index = 0; index < dispatchers; index++) {
      fleet.add(new SlowStart(POLICY, index, dispatchers));
    }
    return fleet;
  }

  /**
   * Lets every dispatcher send whenever it is allowed to, during the first {@code burst} ms of
   * every 6 s. All dispatchers restart at {@code restartAt}.
   */
  private static List<SentRequest> sendGreedily(
      List<SlowStart> fleet, double capacity, double burst, double restartAt) {
    SplittableRandom random = new SplittableRandom(3);
    List<SentRequest> sends = new ArrayList<>();
    List<SlowStart> running = fleet;
    for (double now = START; now < START + POLICY.warmUpMs(); now += STEP) {
      if (now == restartAt) {
        running = fleet(fleet.size());
      }
      for (SlowStart slowStart : running) {
        double cost = 0.2 + 1.6 * random.nextDouble();
        while (now % 6_000 < burst && slowStart.allows(worker(START), cost, capacity, now)) {
          slowStart.requestSent(worker(START), cost, now);
          sends.add(new SentRequest(now, cost));
          cost = 0.2 + 1.6 * random.nextDouble();
        }
      }
    }
    return sends;
  }

  private static void assertWithinLimit(List<SentRequest> sends, double capacity) {
    for (SentRequest latest : sends) {
      double limit = limit(capacity, latest.at());
      double tolerance = limit < 30 ? 3 * Math.sqrt(limit) + 3 : 2 * Math.sqrt(limit) + 2;
      double sent = sum(sends, latest.at() - POLICY.overloadWindowMs(), latest.at());
      assertTrue(sent <= limit + tolerance, sent + " of " + limit + " at " + latest.at());
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1,0.1", "1,2", "1,20", "1,200", "3,0.1", "3,2", "3,20", "3,200", "30,0.1", "30,2", "30,20",
    "30,200", "100,0.1", "100,2", "100,20", "100,200"
  })
  void staysWithinLimitInEveryWindowAndUsesBudget(int dispatchers, double capacity) {
    List<SentRequest> steady = sendGreedily(fleet(dispatchers), capacity, 6_000, 0);
    assertWithinLimit(steady, capacity);
    double mean =
        limit(capacity, START + POLICY.warmUpMs() / 2)
            * POLICY.warmUpMs()
            / POLICY.overloadWindowMs();
    double used = sum(steady, 0, Double.MAX_VALUE);
    assertTrue(used >= 0.3 * mean, used + " of " + mean);
    assertWithinLimit(sendGreedily(fleet(dispatchers), capacity, 3_000, 0), capacity);
  }

  @ParameterizedTest
  @CsvSource({"1,20", "3,20", "30,20", "100,20"})
  void staysWithinLimitAfterRestartOfAllDispatchers(int dispatchers, double capacity) {
    assertWithinLimit(sendGreedily(fleet(dispatchers), capacity, 6_000, START + 7_000), capacity);
  }

  @Test
  void chargesRequestsSentBeforeRestartWasKnownForOneWindow() {
    SlowStart slowStart = new SlowStart(POLICY, 0, 1);
    for (int i = 0; i < 50; i++) {
      slowStart.requestSent(worker(0), 1, START + 10 * i);
    }
    Worker restarted = worker(START);
    assertFalse(slowStart.allows(restarted, 1, 20, START + 500));
    assertFalse(slowStart.allows(restarted, 1, 20, START + 2_000));
    assertTrue(slowStart.allows(restarted, 1, 20, START + 4_500));
  }

  @Test
  void ignoresRequestsSentToThePreviousProcess() {
    SlowStart slowStart = new SlowStart(POLICY, 0, 1);
    slowStart.requestSent(worker(0), 50, START - 10);
    assertFalse(slowStart.allows(worker(START), 1, 20, START));
    assertTrue(slowStart.allows(worker(START), 1, 20, START + 500));
  }

  @Test
  void treatsStartTimeInTheFutureAsNow() {
    SlowStart slowStart = new SlowStart(POLICY, 0, 1);
    Worker future = worker(3_600_000);
    assertEquals(0.2, slowStart.capacityShare(future, START), 1e-9);
    slowStart.allows(future, 1, 20, START);
    assertTrue(slowStart.allows(future, 1, 20, START + 1_000));
  }

  @Test
  void hasNoLimitForWarmWorkersOrWithoutSlowStart() {
    SlowStart slowStart = new SlowStart(POLICY, 0, 100);
    assertTrue(slowStart.allows(worker(0), 1e6, 0, START));
    assertTrue(slowStart.allows(worker(START), 1e6, 0, START + POLICY.warmUpMs()));
    SlowStart disabled = new SlowStart(new SlowStartPolicy(1, 0, 1, 1_000), 0, 100);
    assertTrue(disabled.allows(worker(START), 1e6, 0, START));
    assertEquals(1, disabled.capacityShare(worker(START), START));
  }

  /**
   * Guards against processes of one dispatcher that each use the grants of a whole dispatcher: with
   * twice the processes, the number of requests sent must stay the same.
   */
  @Test
  void dividesGrantsAmongProcessesOfOneDispatcher() {
    double singleProcesses =
        sum(sendGreedily(fleet(2), 20, 6_000, Double.NaN), 0, Double.POSITIVE_INFINITY);
    List<SlowStart> processes = new ArrayList<>();
    for (int index = 0; index < 2; index++) {
      for (int process = 0; process < 2; process++) {
        SlowStart shared = new SlowStart(POLICY, index, 2);
        shared.setProcesses(2, process);
        processes.add(shared);
      }
    }
    double twoProcessesEach =
        sum(sendGreedily(processes, 20, 6_000, Double.NaN), 0, Double.POSITIVE_INFINITY);
    assertTrue(
        twoProcessesEach <= 1.05 * singleProcesses,
        twoProcessesEach + " requests sent; with one process per dispatcher " + singleProcesses);
    assertTrue(
        twoProcessesEach >= 0.7 * singleProcesses,
        twoProcessesEach + " requests sent; with one process per dispatcher " + singleProcesses);
  }
}
