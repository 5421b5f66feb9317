package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Whole fleets of dispatchers over one worker that restarts: what they send it together, in virtual
 * time.
 */
class SlowStartFleetTest {
  private static final double RESTART = 8_000;
  private static final double END = 28_000;
  private static final long RESTARTED = 0;

  /**
   * Times the traffic before the restart; it queues up, and the restarted worker is the one that is
   * idle.
   */
  private static final double BURST = 2.5;

  private record Event(double at, long order, Runnable action) {}

  private record Arrival(double at, double work) {}

  /**
   * One deployment: its dispatchers, its workers of {@code size} cores each, and the mean work of a
   * job.
   */
  private record Deployment(
      int dispatchers, int workers, double size, double meanWork, SlowStartPolicy rule) {}

  /** Dispatchers and workers that share one event queue. */
  private static final class Fleet {
    final Deployment deployment;
    final SplittableRandom random = new SplittableRandom(5);
    final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    final List<ThrottlingDispatcher> dispatchers = new ArrayList<>();
    final double[] held;
    final List<Arrival> arrivals = new ArrayList<>();

    /** Times the work of the jobs that arrive after the restart. */
    final double heavier;

    /** The time from the restart to the moment at which the last dispatcher is notified, ms. */
    final double notifiedAfter;

    double now;
    long order;
    int attempts;

    Fleet(Deployment deployment, double heavier, double notifiedAfter) {
      this.deployment = deployment;
      this.heavier = heavier;
      this.notifiedAfter = notifiedAfter;
      this.held = new double[deployment.workers()];
      for (int me = 0; me < deployment.dispatchers(); me++) {
        add(me);
      }
    }

    void after(double wait, Runnable action) {
      events.add(new Event(now + wait, order++, action));
    }

    void run() {
      while (events.peek().at() < END) {
        Event next = events.poll();
        now = next.at();
        next.action().run();
      }
    }

    private void add(int me) {
      DeploymentLimits limits = new DeploymentLimits(3, true, true, true, false, 1_000);
      DispatcherSettings settings =
          new DispatcherSettings(
              me,
              deployment.dispatchers(),
              0,
              2,
              List.of(Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
              List.of(new Tenant("a", 1, 10)),
              limits,
              deployment.rule(),
              false,
              true,
              true,
              0.01,
              new ServiceObjective(0.5, 0.2));
      ThrottlingDispatcher dispatcher =
          new ThrottlingDispatcher(settings, me, 0, new Host(this, me));
      dispatchers.add(dispatcher);
      double notifiedAt = RESTART + (0.9 + 0.1 * random.nextDouble()) * notifiedAfter;
      dispatcher.members(0, EndpointListUpdate.STORED, list(0));
      after(random.nextDouble() * 500, () -> notifyDispatcher(dispatcher, notifiedAt));
      after(random.nextDouble() * gap(), () -> arrive(me));
    }

    private void notifyDispatcher(ThrottlingDispatcher dispatcher, double notifiedAt) {
      boolean knows = now >= notifiedAt;
      dispatcher.members(now, EndpointListUpdate.CHANGES, list(knows ? RESTART : 0));
      after(
          knows || now + 500 < notifiedAt ? 500 : notifiedAt - now,
          () -> notifyDispatcher(dispatcher, notifiedAt));
    }

    private List<Worker> list(double startedAt) {
      List<Worker> entries = new ArrayList<>();
      for (int i = 0; i < held.length; i++) {
        double load = held[i] / deployment.size();
        double start = i == RESTARTED ? startedAt : 0;
        entries.add(
            new Worker(i, WorkerState.READY, 0, 0, 0, start, deployment.size() / (1 + load)));
      }
      return entries;
    }

    /** Mean ms between two jobs at one dispatcher, which keep three of four cores busy. */
    private double gap() {
      return deployment.meanWork()
          * deployment.dispatchers()
          / 0.75
          / (deployment.workers() * deployment.size());
    }

    private void arrive(int me) {
      double scale = now < RESTART ? 1 : heavier;
      double busier = now < RESTART ? 1 : BURST;
      double work = deployment.meanWork() * scale * (0.2 + 1.6 * random.nextDouble());
      String id = work + "/" + order;
      dispatchers.get(me).arrived(now, new Job(id, 0, 0, now + 20_000, work, 1, 0, 0));
      after(-scale / busier * gap() * Math.log(1 - random.nextDouble()), () -> arrive(me));
    }

    void sent(int me, String id, int attempt, int worker) {
      double work = Double.parseDouble(id.substring(0, id.indexOf('/')));
      after(1 + 20 * random.nextDouble(), () -> reach(me, id, attempt, worker, work));
    }

    /**
     * One request in ten is turned away and retried, and one in ten starts so late that it is
     * hedged.
     */
    private void reach(int me, String id, int attempt, int worker, double work) {
      if (worker == RESTARTED && now >= RESTART) {
        arrivals.add(new Arrival(now, work));
      }
      ThrottlingDispatcher dispatcher = dispatchers.get(me);
      int kind = attempts++ % 10;
      if (kind == 0) {
        dispatcher.ended(now, id, attempt, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
        return;
      }
      held[worker]++;
      after(kind == 1 ? deployment.meanWork() : 0, () -> dispatcher.started(now, id, attempt));
      after(
          (kind == 1 ? deployment.meanWork() : 0) + work,
          () -> {
            held[worker]--;
            dispatcher.ended(now, id, attempt, AttemptOutcome.OK, work, true, LoadReport.NONE);
          });
    }

    /**
     * The most work that arrived within one window, of any start, as a share of the limit at its
     * end.
     */
    double worstShareOfLimit() {
      double worst = 0;
      double tip = deployment.rule().tipMs();
      for (int last = 0; last < arrivals.size(); last++) {
        double end = arrivals.get(last).at();
        double work = 0;
        for (int i = last; i >= 0 && arrivals.get(i).at() > end - tip; i--) {
          work += arrivals.get(i).work();
        }
        worst = Math.max(worst, work / deployment.meanWork() / limit(end));
      }
      return worst;
    }

    /** N requests of mean work, and the slack over them. */
    private double limit(double at) {
      SlowStartPolicy rule = deployment.rule();
      double warmth =
          rule.startCapacity() + (1 - rule.startCapacity()) * (at - RESTART) / rule.coldMs();
      double n =
          rule.fallMultiple() * warmth * deployment.size() * rule.tipMs() / deployment.meanWork();
      return n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
    }
  }

  /** Leads the actions of one dispatcher back to the event queue. */
  private static final class Host implements Dispatcher.Actions {
    private final Fleet fleet;
    private final int me;
    private final Map<String, Integer> sends = new HashMap<>();

    Host(Fleet fleet, int me) {
      this.fleet = fleet;
      this.me = me;
    }

    @Override
    public void send(String id, long worker, double timeout) {
      fleet.sent(me, id, sends.merge(id, 1, Integer::sum) - 1, (int) worker);
    }

    @Override
    public void timer(double after, long token) {
      fleet.after(after, () -> fleet.dispatchers.get(me).timer(fleet.now, token));
    }

    @Override
    public void refuse(String id, double retryAfter) {}

    @Override
    public void fail(String id) {}

    @Override
    public void cancel(String id, int attempt) {}

    @Override
    public void check(long worker) {}

    @Override
    public void tell(int peer, byte[] message) {}

    @Override
    public void watch() {}

    @Override
    public void log(String line) {}
  }

  private static final SlowStartPolicy RULE = new SlowStartPolicy(0.2, 20_000, 3, 3_000);
  private static final SlowStartPolicy STRICT = new SlowStartPolicy(0.2, 20_000, 1.5, 3_000);

  /**
   * Under it a window holds less than one request of mean work, for as long as these tests last.
   */
  private static final SlowStartPolicy TINY = new SlowStartPolicy(0.01, 600_000, 1.5, 3_000);

  private static Fleet play(Deployment deployment, double heavier, double notifiedAfter) {
    Fleet fleet = new Fleet(deployment, heavier, notifiedAfter);
    fleet.run();
    assertTrue(
        fleet.worstShareOfLimit() <= 1, fleet.worstShareOfLimit() + " of the limit, " + deployment);
    return fleet;
  }

  /** As many workers as keep the traffic of each dispatcher alike in fleets of any size. */
  private static int workers(int dispatchers) {
    return Math.max(6, dispatchers / 2);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void theBudgetIsKeptAndUsedWithRetriesAndHedgedRequests(int dispatchers) {
    Fleet fleet = play(new Deployment(dispatchers, workers(dispatchers), 16, 100, RULE), 1, 0);
    assertTrue(fleet.arrivals.size() > 500, "sent " + fleet.arrivals.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void aBudgetOfLessThanOneRequestEachIsKeptAndUsed(int dispatchers) {
    Fleet fleet = play(new Deployment(dispatchers, workers(dispatchers), 1, 50, TINY), 1, 0);
    long soon = fleet.arrivals.stream().filter(each -> each.at() < RESTART + 10_000).count();
    assertTrue(soon > 0, "nothing was sent in the first ten seconds");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void jobsOfMoreThanMeanWorkCountAsMore(int dispatchers) {
    play(new Deployment(dispatchers, workers(dispatchers), 4, 200, STRICT), 4, 0);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void requestsOnTheirWayWhenTheRestartIsToldCount(int dispatchers) {
    play(new Deployment(dispatchers, workers(dispatchers), 16, 100, STRICT), 1, 560);
  }
}
