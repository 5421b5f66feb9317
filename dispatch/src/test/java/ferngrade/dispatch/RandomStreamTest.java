package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.golden.GoldenFile;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Feeds a dispatcher seeded random events in any legal order. An independent checker verifies every
 * rule that a single dispatcher can violate.
 */
class RandomStreamTest {
  private static final int WORKERS = 12;
  private static final double DEADLINE = 800;

  private final List<JobClass> classes = new ArrayList<>();
  private final Map<String, RequestRecord> requests = new HashMap<>();
  private final Map<Long, Worker> workers = new HashMap<>();
  private final List<double[]> timers = new ArrayList<>();
  private double now;
  private int sends;
  private boolean hedgingAllowed;
  private ActionDigest digest;

  /** The checker's record of a request. */
  private static final class RequestRecord {
    private final JobClass jobClass;
    private final double deadline;
    private final List<Long> workerIds = new ArrayList<>();
    private final List<Double> sentAt = new ArrayList<>();
    private final List<AttemptOutcome> outcomes = new ArrayList<>();
    private boolean answered;

    RequestRecord(JobClass jobClass, double deadline) {
      this.jobClass = jobClass;
      this.deadline = deadline;
    }

    int firstThatMayHaveRun() {
      for (int i = 0; i < outcomes.size(); i++) {
        AttemptOutcome outcome = outcomes.get(i);
        boolean provenNotRun =
            outcome == AttemptOutcome.FULL
                || outcome == AttemptOutcome.CONNECT_FAILED
                || outcome == AttemptOutcome.NEVER_SENT;
        if (!provenNotRun) {
          return i;
        }
      }
      return -1;
    }
  }

  private final class Checker implements Dispatcher.Actions {
    @Override
    public void send(String id, long workerId, double timeoutMs) {
      digest.add(1, id, workerId, timeoutMs);
      RequestRecord request = requests.get(id);
      assertTrue(!request.answered, "attempt sent after the final answer: " + id);
      assertEquals(
          WorkerState.READY,
          workers.get(workerId).state(),
          "attempt sent to a worker that is not ready");
      assertTrue(request.workerIds.size() < 3, "too many attempts");
      int firstAttempt = request.firstThatMayHaveRun();
      if (firstAttempt >= 0) {
        assertTrue(request.jobClass.idempotency() != Idempotency.UNSAFE, "unsafe request retried");
        assertTrue(
            hedgingAllowed || !request.outcomes.contains(null),
            "two attempts in flight without hedging");
        if (request.jobClass.idempotency() == Idempotency.KEYED) {
          checkGroup(request, firstAttempt, workerId);
        }
      }
      request.workerIds.add(workerId);
      request.sentAt.add(now);
      request.outcomes.add(null);
      sends++;
    }

    private void checkGroup(RequestRecord request, int firstAttempt, long workerId) {
      Worker firstWorker = workers.get(request.workerIds.get(firstAttempt));
      Worker nextWorker = workers.get(workerId);
      IdempotencyScope scope = request.jobClass.idempotencyScope();
      boolean sameGroup =
          scope == IdempotencyScope.ALL
              || (scope == IdempotencyScope.ZONE
                  ? firstWorker.zone() == nextWorker.zone()
                  : firstWorker.cell() == nextWorker.cell());
      assertTrue(sameGroup, "keyed request retried outside its group");
      assertTrue(
          now <= request.sentAt.get(firstAttempt) + request.jobClass.keyWindowMs(),
          "keyed request retried after its window");
    }

    @Override
    public void reject(String id, double retryAfter) {
      digest.add(2, id, 0, retryAfter);
      RequestRecord request = requests.get(id);
      answer(request, id);
      boolean keyedForAllWorkers =
          request.jobClass.idempotency() == Idempotency.KEYED
              && request.jobClass.idempotencyScope() == IdempotencyScope.ALL;
      assertTrue(
          request.firstThatMayHaveRun() < 0
              || request.jobClass.idempotency() == Idempotency.SAFE
              || keyedForAllWorkers,
          "rejected although the job may have run");
    }

    @Override
    public void fail(String id) {
      digest.add(3, id, 0, 0);
      answer(requests.get(id), id);
    }

    private void answer(RequestRecord request, String id) {
      assertTrue(!request.answered, "answered twice: " + id);
      assertTrue(now <= request.deadline + 8, "answered late: " + id);
      request.answered = true;
    }

    @Override
    public void cancel(String id, int attempt) {
      digest.add(4, id, attempt, 0);
      assertTrue(
          attempt < requests.get(id).workerIds.size(), "cancelled an attempt that does not exist");
    }

    @Override
    public void checkHealth(long worker) {
      digest.add(5, "", worker, 0);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
      digest.add(6, HexFormat.of().formatHex(message), peer, 0);
      assertTrue(peer >= 0 && peer < 9 && peer != 0 && message.length <= 256);
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
      digest.add(7, "", token, delayMs);
      timers.add(new double[] {now + delayMs, token});
    }

    @Override
    public void watchEndpoints() {
      digest.add(8, "", 0, 0);
    }

    @Override
    public void log(String line) {}
  }

  @Test
  void keepsAllRulesOnRandomStreams() {
    for (int seed = 0; seed < 60; seed++) {
      runStream(seed);
    }
    assertTrue(sends > 10_000, "sends " + sends);
  }

  /**
   * Guards against unintended changes of behaviour: compares all requested actions, to the last bit
   * and in order, with recorded digests. A change in the order of random draws is detected as well.
   */
  @Test
  void requestsRecordedActionsOnRandomStreams() {
    GoldenFile golden = GoldenFile.open("random-streams.txt");
    for (int seed = 0; seed < 60; seed++) {
      runStream(seed);
      golden.verify("seed-" + seed, digest.hex());
    }
  }

  private void runStream(int seed) {
    digest = new ActionDigest();
    Random random = new Random(seed);
    hedgingAllowed = seed % 2 == 0;
    // A slice that follows the listed loads needs several cycles of traffic, so time advances
    // faster.
    boolean loadsListed = seed % 4 < 2;
    classes.clear();
    requests.clear();
    workers.clear();
    timers.clear();
    now = 0;
    for (Idempotency idempotency : Idempotency.values()) {
      for (IdempotencyScope scope : IdempotencyScope.values()) {
        classes.add(new JobClass("c", idempotency, scope, 300, 50, 2, DEADLINE, 1, 0, -1, 0));
      }
    }
    DispatcherSettings settings =
        new DispatcherSettings(
            0,
            9,
            0,
            2,
            classes,
            List.of(new Tenant("a", 0.7, 9), new Tenant("b", 0, 0)),
            new DeploymentLimits(3, hedgingAllowed, true, false, true, 0),
            Fixture.SLOW_START,
            seed % 3 == 0,
            true,
            loadsListed,
            0.05,
            new ServiceObjective(0.5, 0.2));
    ThrottlingDispatcher dispatcher = new ThrottlingDispatcher(settings, seed, now, new Checker());
    updateEndpoints(dispatcher, random, EndpointListUpdate.STORED);
    for (int i = 0; i < 1_500; i++) {
      now += random.nextInt(loadsListed ? 12 : 4);
      fireTimers(dispatcher);
      expireRequests(dispatcher);
      sendEvent(dispatcher, random, seed + ":" + i);
    }
    now += DEADLINE + 10;
    expireRequests(dispatcher);
    requests.forEach((id, request) -> assertTrue(request.answered, "never answered: " + id));
  }

  private void sendEvent(ThrottlingDispatcher dispatcher, Random random, String id) {
    int eventType = random.nextInt(20);
    if (eventType < 9) {
      int jobClass = random.nextInt(classes.size());
      double deadline = now + 50 + random.nextInt((int) DEADLINE - 50);
      requests.put(id, new RequestRecord(classes.get(jobClass), deadline));
      dispatcher.requestArrived(
          now,
          new Job(
              id,
              jobClass,
              random.nextInt(2),
              deadline,
              random.nextInt(3) * 10.0,
              1,
              0,
              random.nextInt(4)));
    } else if (eventType < 18) {
      advanceOneAttempt(dispatcher, random);
    } else if (eventType == 18) {
      updateEndpoints(
          dispatcher,
          random,
          random.nextBoolean() ? EndpointListUpdate.CHANGES : EndpointListUpdate.WHOLE);
    } else {
      byte[] randomMessage = new byte[random.nextInt(24)];
      random.nextBytes(randomMessage);
      dispatcher.peerMessageReceived(now, random.nextInt(12), randomMessage);
    }
  }

  private void advanceOneAttempt(ThrottlingDispatcher dispatcher, Random random) {
    List<String> ids =
        requests.keySet().stream()
            .sorted()
            .filter(id -> requests.get(id).outcomes.contains(null))
            .toList();
    if (ids.isEmpty()) {
      return;
    }
    String id = ids.get(random.nextInt(ids.size()));
    RequestRecord request = requests.get(id);
    int attempt = request.outcomes.indexOf(null);
    if (random.nextInt(4) == 0) {
      dispatcher.attemptStarted(now, id, attempt);
    } else if (random.nextInt(12) == 0 && !request.answered) {
      request.answered = true;
      dispatcher.requestAbandoned(now, id);
    } else {
      AttemptOutcome[] allOutcomes = AttemptOutcome.values();
      endAttempt(dispatcher, id, attempt, allOutcomes[random.nextInt(allOutcomes.length)]);
    }
  }

  private void endAttempt(
      ThrottlingDispatcher dispatcher, String id, int attempt, AttemptOutcome outcome) {
    RequestRecord request = requests.get(id);
    request.outcomes.set(attempt, outcome);
    boolean completed = request.answered || outcome == AttemptOutcome.OK;
    request.answered = completed;
    dispatcher.attemptEnded(
        now, id, attempt, outcome, now - request.sentAt.get(attempt), completed, LoadReport.NONE);
  }

  private void expireRequests(ThrottlingDispatcher dispatcher) {
    for (String id : requests.keySet().stream().sorted().toList()) {
      RequestRecord request = requests.get(id);
      for (int i = 0; i < request.outcomes.size(); i++) {
        if (now >= request.deadline && request.outcomes.get(i) == null) {
          double actualNow = now;
          now = Math.min(now, request.deadline + 2);
          endAttempt(dispatcher, id, i, AttemptOutcome.TIMEOUT);
          now = actualNow;
        }
      }
    }
  }

  private void fireTimers(ThrottlingDispatcher dispatcher) {
    List<double[]> dueTimers = timers.stream().filter(timer -> timer[0] <= now).toList();
    timers.removeAll(dueTimers);
    dueTimers.forEach(timer -> dispatcher.timerExpired(now, (long) timer[1]));
  }

  private void updateEndpoints(
      ThrottlingDispatcher dispatcher, Random random, EndpointListUpdate update) {
    List<Worker> entries = new ArrayList<>();
    if (update != EndpointListUpdate.CHANGES) {
      workers.replaceAll(
          (id, worker) -> Fixture.withState(worker, WorkerState.GONE, worker.startedAt()));
    }
    for (long id = 0; id < WORKERS; id++) {
      if ((update == EndpointListUpdate.CHANGES && random.nextInt(4) > 0)
          || random.nextInt(10) == 0) {
        continue;
      }
      WorkerState state =
          random.nextInt(5) > 0
              ? WorkerState.READY
              : random.nextBoolean() ? WorkerState.DRAINING : WorkerState.GONE;
      double startedAt = random.nextInt(3) == 0 ? Math.max(0, now - random.nextInt(30_000)) : 0;
      Worker worker =
          new Worker(
              id,
              state,
              (int) id % 3,
              (int) id % 2,
              (int) id / 3,
              startedAt,
              random.nextInt(4) / 2.0);
      entries.add(worker);
      workers.put(id, worker);
    }
    dispatcher.endpointsUpdated(now, update, entries);
  }
}
