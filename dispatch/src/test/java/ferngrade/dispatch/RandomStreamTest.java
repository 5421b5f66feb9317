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
 * Seeded random events in any legal order; a checker of its own follows every rule that one
 * dispatcher can break.
 */
class RandomStreamTest {
  private static final int WORKERS = 12;
  private static final double DEADLINE = 800;

  private final List<JobClass> classes = new ArrayList<>();
  private final Map<String, Entry> open = new HashMap<>();
  private final Map<Long, Worker> list = new HashMap<>();
  private final List<double[]> timers = new ArrayList<>();
  private double now;
  private int sends;
  private boolean secondCopies;
  private ActionDigest digest;

  /** The checker's own record of a request. */
  private static final class Entry {
    private final JobClass jobClass;
    private final double due;
    private final List<Long> workers = new ArrayList<>();
    private final List<Double> sentAt = new ArrayList<>();
    private final List<AttemptOutcome> ends = new ArrayList<>();
    private boolean answered;

    Entry(JobClass jobClass, double due) {
      this.jobClass = jobClass;
      this.due = due;
    }

    int firstDoubtful() {
      for (int i = 0; i < ends.size(); i++) {
        AttemptOutcome end = ends.get(i);
        boolean proof =
            end == AttemptOutcome.FULL
                || end == AttemptOutcome.CONNECT_FAILED
                || end == AttemptOutcome.NEVER_SENT;
        if (!proof) {
          return i;
        }
      }
      return -1;
    }
  }

  private final class Checker implements Dispatcher.Actions {
    @Override
    public void send(String id, long worker, double timeout) {
      digest.add(1, id, worker, timeout);
      Entry entry = open.get(id);
      assertTrue(!entry.answered, "sent after its answer: " + id);
      assertEquals(
          WorkerState.READY, list.get(worker).state(), "sent to a worker that drains or is gone");
      assertTrue(entry.workers.size() < 3, "too many attempts");
      int doubtful = entry.firstDoubtful();
      if (doubtful >= 0) {
        assertTrue(entry.jobClass.effect() != Idempotency.UNSAFE, "unsafe sent again");
        assertTrue(secondCopies || !entry.ends.contains(null), "two attempts out");
        if (entry.jobClass.effect() == Idempotency.KEYED) {
          inGroup(entry, doubtful, worker);
        }
      }
      entry.workers.add(worker);
      entry.sentAt.add(now);
      entry.ends.add(null);
      sends++;
    }

    private void inGroup(Entry entry, int doubtful, long worker) {
      Worker first = list.get(entry.workers.get(doubtful));
      Worker then = list.get(worker);
      IdempotencyScope scope = entry.jobClass.scope();
      boolean same =
          scope == IdempotencyScope.ALL
              || (scope == IdempotencyScope.ZONE
                  ? first.zone() == then.zone()
                  : first.cell() == then.cell());
      assertTrue(same, "keyed repeat left its group");
      assertTrue(
          now <= entry.sentAt.get(doubtful) + entry.jobClass.window(),
          "keyed repeat after its window");
    }

    @Override
    public void refuse(String id, double retryAfter) {
      digest.add(2, id, 0, retryAfter);
      Entry entry = open.get(id);
      answer(entry, id);
      boolean all =
          entry.jobClass.effect() == Idempotency.KEYED
              && entry.jobClass.scope() == IdempotencyScope.ALL;
      assertTrue(
          entry.firstDoubtful() < 0 || entry.jobClass.effect() == Idempotency.SAFE || all,
          "refused in doubt");
    }

    @Override
    public void fail(String id) {
      digest.add(3, id, 0, 0);
      answer(open.get(id), id);
    }

    private void answer(Entry entry, String id) {
      assertTrue(!entry.answered, "answered twice: " + id);
      assertTrue(now <= entry.due + 8, "answered late: " + id);
      entry.answered = true;
    }

    @Override
    public void cancel(String id, int attempt) {
      digest.add(4, id, attempt, 0);
      assertTrue(attempt < open.get(id).workers.size(), "cancelled a never-made attempt");
    }

    @Override
    public void check(long worker) {
      digest.add(5, "", worker, 0);
    }

    @Override
    public void tell(int peer, byte[] message) {
      digest.add(6, HexFormat.of().formatHex(message), peer, 0);
      assertTrue(peer >= 0 && peer < 9 && peer != 0 && message.length <= 256);
    }

    @Override
    public void timer(double after, long token) {
      digest.add(7, "", token, after);
      timers.add(new double[] {now + after, token});
    }

    @Override
    public void watch() {
      digest.add(8, "", 0, 0);
    }

    @Override
    public void log(String line) {}
  }

  @Test
  void noRuleBreaksOnRandomStreams() {
    for (int seed = 0; seed < 60; seed++) {
      stream(seed);
    }
    assertTrue(sends > 10_000, "sends " + sends);
  }

  /**
   * All that was asked for, to the last bit and in its order: so chance is drawn in the recorded
   * order too.
   */
  @Test
  void theActionsOnRandomStreamsAreAsRecorded() {
    GoldenFile golden = GoldenFile.open("random-streams.txt");
    for (int seed = 0; seed < 60; seed++) {
      stream(seed);
      golden.verify("seed-" + seed, digest.hex());
    }
  }

  private void stream(int seed) {
    digest = new ActionDigest();
    Random random = new Random(seed);
    secondCopies = seed % 2 == 0;
    // A share by the listed loads needs some cycles of traffic.
    boolean live = seed % 4 < 2;
    classes.clear();
    open.clear();
    list.clear();
    timers.clear();
    now = 0;
    for (Idempotency effect : Idempotency.values()) {
      for (IdempotencyScope scope : IdempotencyScope.values()) {
        classes.add(new JobClass("c", effect, scope, 300, 50, 2, DEADLINE, 1, 0, -1, 0));
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
            new DeploymentLimits(3, secondCopies, true, false, true, 0),
            Fixture.COLD,
            seed % 3 == 0,
            true,
            live,
            0.05,
            new ServiceObjective(0.5, 0.2));
    ThrottlingDispatcher dispatcher = new ThrottlingDispatcher(settings, seed, now, new Checker());
    members(dispatcher, random, EndpointListUpdate.STORED);
    for (int i = 0; i < 1_500; i++) {
      now += random.nextInt(live ? 12 : 4);
      fireTimers(dispatcher);
      expire(dispatcher);
      event(dispatcher, random, seed + ":" + i);
    }
    now += DEADLINE + 10;
    expire(dispatcher);
    open.forEach((id, entry) -> assertTrue(entry.answered, "never answered: " + id));
  }

  private void event(ThrottlingDispatcher dispatcher, Random random, String id) {
    int kind = random.nextInt(20);
    if (kind < 9) {
      int jobClass = random.nextInt(classes.size());
      double due = now + 50 + random.nextInt((int) DEADLINE - 50);
      open.put(id, new Entry(classes.get(jobClass), due));
      dispatcher.arrived(
          now,
          new Job(
              id,
              jobClass,
              random.nextInt(2),
              due,
              random.nextInt(3) * 10.0,
              1,
              0,
              random.nextInt(4)));
    } else if (kind < 18) {
      resolveOne(dispatcher, random);
    } else if (kind == 18) {
      members(
          dispatcher,
          random,
          random.nextBoolean() ? EndpointListUpdate.CHANGES : EndpointListUpdate.WHOLE);
    } else {
      byte[] noise = new byte[random.nextInt(24)];
      random.nextBytes(noise);
      dispatcher.heard(now, random.nextInt(12), noise);
    }
  }

  private void resolveOne(ThrottlingDispatcher dispatcher, Random random) {
    List<String> ids =
        open.keySet().stream().sorted().filter(id -> open.get(id).ends.contains(null)).toList();
    if (ids.isEmpty()) {
      return;
    }
    String id = ids.get(random.nextInt(ids.size()));
    Entry entry = open.get(id);
    int attempt = entry.ends.indexOf(null);
    if (random.nextInt(4) == 0) {
      dispatcher.started(now, id, attempt);
    } else if (random.nextInt(12) == 0 && !entry.answered) {
      entry.answered = true;
      dispatcher.abandoned(now, id);
    } else {
      AttemptOutcome[] outcomes = AttemptOutcome.values();
      end(dispatcher, id, attempt, outcomes[random.nextInt(outcomes.length)]);
    }
  }

  private void end(
      ThrottlingDispatcher dispatcher, String id, int attempt, AttemptOutcome outcome) {
    Entry entry = open.get(id);
    entry.ends.set(attempt, outcome);
    boolean over = entry.answered || outcome == AttemptOutcome.OK;
    entry.answered = over;
    dispatcher.ended(
        now, id, attempt, outcome, now - entry.sentAt.get(attempt), over, LoadReport.NONE);
  }

  private void expire(ThrottlingDispatcher dispatcher) {
    for (String id : open.keySet().stream().sorted().toList()) {
      Entry entry = open.get(id);
      for (int i = 0; i < entry.ends.size(); i++) {
        if (now >= entry.due && entry.ends.get(i) == null) {
          double real = now;
          now = Math.min(now, entry.due + 2);
          end(dispatcher, id, i, AttemptOutcome.TIMEOUT);
          now = real;
        }
      }
    }
  }

  private void fireTimers(ThrottlingDispatcher dispatcher) {
    List<double[]> due = timers.stream().filter(timer -> timer[0] <= now).toList();
    timers.removeAll(due);
    due.forEach(timer -> dispatcher.timer(now, (long) timer[1]));
  }

  private void members(ThrottlingDispatcher dispatcher, Random random, EndpointListUpdate news) {
    List<Worker> entries = new ArrayList<>();
    if (news != EndpointListUpdate.CHANGES) {
      list.replaceAll((id, worker) -> Fixture.with(worker, WorkerState.GONE, worker.startedAt()));
    }
    for (long id = 0; id < WORKERS; id++) {
      if ((news == EndpointListUpdate.CHANGES && random.nextInt(4) > 0)
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
      list.put(id, worker);
    }
    dispatcher.members(now, news, entries);
  }
}
