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
 * The budgets of workers that are warming up, where every dispatcher always has a request for them.
 */
class SlowStartTest {
  private static final SlowStartPolicy RULE = new SlowStartPolicy(0.2, 20_000, 3, 3_000);
  private static final double START = 1_000;
  private static final double STEP = 10;

  private record SentRequest(double at, double cost) {}

  private static Worker worker(double startedAt) {
    return new Worker(9, WorkerState.READY, 0, 0, 0, startedAt, 1);
  }

  private static double limit(double capacity, double at) {
    double warmth = Math.min(1, 0.2 + 0.8 * (at - START) / RULE.coldMs());
    return RULE.fallMultiple() * warmth * capacity * RULE.tipMs() / 1000;
  }

  private static double sum(List<SentRequest> sends, double after, double until) {
    return sends.stream()
        .filter(request -> request.at() > after && request.at() <= until)
        .mapToDouble(SentRequest::cost)
        .sum();
  }

  private static List<SlowStart> fleet(int dispatchers) {
    List<SlowStart> fleet = new ArrayList<>();
    for (int me = 0; me < dispatchers; me++) {
      fleet.add(new SlowStart(RULE, me, dispatchers));
    }
    return fleet;
  }

  /**
   * Every dispatcher sends whenever it may; requests in {@code burst} ms out of 6 s, the rest is
   * quiet.
   */
  private static List<SentRequest> greedy(
      List<SlowStart> fleet, double capacity, double burst, double restartAt) {
    SplittableRandom random = new SplittableRandom(3);
    List<SentRequest> sends = new ArrayList<>();
    List<SlowStart> running = fleet;
    for (double now = START; now < START + RULE.coldMs(); now += STEP) {
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

  private static void assertKept(List<SentRequest> sends, double capacity) {
    for (SentRequest last : sends) {
      double n = limit(capacity, last.at());
      double slack = n < 30 ? 3 * Math.sqrt(n) + 3 : 2 * Math.sqrt(n) + 2;
      double sent = sum(sends, last.at() - RULE.tipMs(), last.at());
      assertTrue(sent <= n + slack, sent + " of " + n + " at " + last.at());
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1,0.1", "1,2", "1,20", "1,200", "3,0.1", "3,2", "3,20", "3,200", "30,0.1", "30,2", "30,20",
    "30,200", "100,0.1", "100,2", "100,20", "100,200"
  })
  void noWindowHoldsMoreThanTheLimitAndTheBudgetIsUsed(int dispatchers, double capacity) {
    List<SentRequest> steady = greedy(fleet(dispatchers), capacity, 6_000, 0);
    assertKept(steady, capacity);
    double mean = limit(capacity, START + RULE.coldMs() / 2) * RULE.coldMs() / RULE.tipMs();
    double used = sum(steady, 0, Double.MAX_VALUE);
    assertTrue(used >= 0.3 * mean, used + " of " + mean);
    assertKept(greedy(fleet(dispatchers), capacity, 3_000, 0), capacity);
  }

  @ParameterizedTest
  @CsvSource({"1,20", "3,20", "30,20", "100,20"})
  void aRestartOfAllDispatchersGrantsNothingTwice(int dispatchers, double capacity) {
    assertKept(greedy(fleet(dispatchers), capacity, 6_000, START + 7_000), capacity);
  }

  @Test
  void requestsThatReachedANewProcessUnnoticedArePaidForWithinAWindow() {
    SlowStart slowStart = new SlowStart(RULE, 0, 1);
    for (int i = 0; i < 50; i++) {
      slowStart.requestSent(worker(0), 1, START + 10 * i);
    }
    Worker restarted = worker(START);
    assertFalse(slowStart.allows(restarted, 1, 20, START + 500));
    assertFalse(slowStart.allows(restarted, 1, 20, START + 2_000));
    assertTrue(slowStart.allows(restarted, 1, 20, START + 4_500));
  }

  @Test
  void requestsToTheProcessBeforeTheRestartDoNotCount() {
    SlowStart slowStart = new SlowStart(RULE, 0, 1);
    slowStart.requestSent(worker(0), 50, START - 10);
    assertFalse(slowStart.allows(worker(START), 1, 20, START));
    assertTrue(slowStart.allows(worker(START), 1, 20, START + 500));
  }

  @Test
  void aStartInTheFutureCountsAsNow() {
    SlowStart slowStart = new SlowStart(RULE, 0, 1);
    Worker future = worker(3_600_000);
    assertEquals(0.2, slowStart.capacityShare(future, START), 1e-9);
    slowStart.allows(future, 1, 20, START);
    assertTrue(slowStart.allows(future, 1, 20, START + 1_000));
  }

  @Test
  void aWarmWorkerAndADeploymentWithoutSlowStartHaveNoLimit() {
    SlowStart slowStart = new SlowStart(RULE, 0, 100);
    assertTrue(slowStart.allows(worker(0), 1e6, 0, START));
    assertTrue(slowStart.allows(worker(START), 1e6, 0, START + RULE.coldMs()));
    SlowStart none = new SlowStart(new SlowStartPolicy(1, 0, 1, 1_000), 0, 100);
    assertTrue(none.allows(worker(START), 1e6, 0, START));
    assertEquals(1, none.capacityShare(worker(START), START));
  }

  /** Twice the processes, each of which would have a dispatcher's grants: the sum must not grow. */
  @Test
  void processesOfOneDispatcherShareItsGrants() {
    double alone = sum(greedy(fleet(2), 20, 6_000, Double.NaN), 0, Double.POSITIVE_INFINITY);
    List<SlowStart> sideBySide = new ArrayList<>();
    for (int me = 0; me < 2; me++) {
      for (int process = 0; process < 2; process++) {
        SlowStart shared = new SlowStart(RULE, me, 2);
        shared.setProcesses(2, process);
        sideBySide.add(shared);
      }
    }
    double together = sum(greedy(sideBySide, 20, 6_000, Double.NaN), 0, Double.POSITIVE_INFINITY);
    assertTrue(together <= 1.05 * alone, together + " where one process each gets " + alone);
    assertTrue(together >= 0.7 * alone, together + " where one process each gets " + alone);
  }
}
