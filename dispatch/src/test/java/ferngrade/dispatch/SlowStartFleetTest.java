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
 * Simulates fleets of dispatchers and one worker that restarts, in virtual time, and checks what
 * all dispatchers together send to that worker.
 */
class SlowStartFleetTest {
  private static final double RESTART_TIME = 8_000;
  private static final double END_TIME = 28_000;
  private static final long RESTARTED_ID = 0;

  /**
   * Ratio of the traffic after the restart to that before it. Traffic at this rate queues up at the
   * other workers, so the restarted worker is the only idle one.
   */
  private static final double BURST_FACTOR = 2.5;

  private record Event(double time, long order, Runnable action) {}

  private record Arrival(double time, double work) {}

  /**
   * A simulated deployment.
   *
   * @param size cores of each worker
   * @param meanWork mean work of a job, ms
   */
  private record Deployment(
      int dispatchers, int workers, double size, double meanWork, SlowStartPolicy policy) {}

  /** Dispatchers and workers that share one event queue. */
  private static final class Fleet {
    final Deployment deployment;
    final SplittableRandom random = new SplittableRandom(5);
    final PriorityQueue<Event> events =
        new PriorityQueue<>(
            Comparator.comparingDouble(Event::time).thenComparingLong(Event::order));
    final List<ThrottlingDispatcher> dispatchers = new ArrayList<>();
    final double[] jobsHeld;
    final List<Arrival> arrivals = new ArrayList<>();

    /** Factor applied to the work of each job that arrives after the restart. */
    final double workFactor;

    /** Time in ms from the restart until the last dispatcher is notified. */
    final double notifiedAfter;

    double now;
    long order;
    int attempts;

    Fleet(Deployment deployment, double workFactor, double notifiedAfter) {
      this.deployment = deployment;
      this.workFactor = workFactor;
      this.notifiedAfter = notifiedAfter;
      this.jobsHeld = new double[deployment.workers()];
      for (int index = 0; index < deployment.dispatchers(); index++) {
        add(index);
      }
    }

    void schedule(double delay, Runnable action) {
      events.add(new Event(now + delay, order++, action));
    }

    void run() {
      while (events.peek().time() < END_TIME) {
        Event next = events.poll();
        now = next.time();
        next.action().run();
      }
    }

    private void add(int index) {
      DeploymentLimits limits = new DeploymentLimits(3, true, true, true, false, 1_000);
      DispatcherSettings settings =
          new DispatcherSettings(
              index,
              deployment.dispatchers(),
              0,
              2,
              List.of(Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
              List.of(new Tenant("a", 1, 10)),
              limits,
              deployment.policy(),
              false,
              true,
              true,
              0.01,
              new ServiceObjective(0.5, 0.2));
      ThrottlingDispatcher dispatcher =
          new ThrottlingDispatcher(settings, index, 0, new Host(this, index));
      dispatchers.add(dispatcher);
      double notifiedAt = RESTART_TIME + (0.9 + 0.1 * random.nextDouble()) * notifiedAfter;
      dispatcher.endpointsUpdated(0, EndpointListUpdate.STORED, list(0));
      schedule(random.nextDouble() * 500, () -> notifyDispatcher(dispatcher, notifiedAt));
      schedule(random.nextDouble() * arrivalInterval(), () -> arrive(index));
    }

    private void notifyDispatcher(ThrottlingDispatcher dispatcher, double notifiedAt) {
      boolean notified = now >= notifiedAt;
      dispatcher.endpointsUpdated(
          now, EndpointListUpdate.CHANGES, list(notified ? RESTART_TIME : 0));
      schedule(
          notified || now + 500 < notifiedAt ? 500 : notifiedAt - now,
          () -> notifyDispatcher(dispatcher, notifiedAt));
    }

    private List<Worker> list(double startedAt) {
      List<Worker> entries = new ArrayList<>();
      for (int i = 0; i < jobsHeld.length; i++) {
        double load = jobsHeld[i] / deployment.size();
        double start = i == RESTARTED_ID ? startedAt : 0;
        entries.add(
            new Worker(i, WorkerState.READY, 0, 0, 0, start, deployment.size() / (1 + load)));
      }
      return entries;
    }

    /**
     * Returns the mean time in ms between two jobs at one dispatcher, which keeps three of four
     * cores busy.
     */
    private double arrivalInterval() {
      return deployment.meanWork()
          * deployment.dispatchers()
          / 0.75
          / (deployment.workers() * deployment.size());
    }

    private void arrive(int index) {
      double jobWorkFactor = now < RESTART_TIME ? 1 : workFactor;
      double rateFactor = now < RESTART_TIME ? 1 : BURST_FACTOR;
      double work = deployment.meanWork() * jobWorkFactor * (0.2 + 1.6 * random.nextDouble());
      String id = work + "/" + order;
      dispatchers.get(index).requestArrived(now, new Job(id, 0, 0, now + 20_000, work, 1, 0, 0));
      schedule(
          -jobWorkFactor / rateFactor * arrivalInterval() * Math.log(1 - random.nextDouble()),
          () -> arrive(index));
    }

    void attemptSent(int index, String id, int attempt, int worker) {
      double work = Double.parseDouble(id.substring(0, id.indexOf('/')));
      schedule(1 + 20 * random.nextDouble(), () -> deliver(index, id, attempt, worker, work));
    }

    /**
     * Delivers a request to its worker. One in ten is rejected and retried, and one in ten starts
     * so late that it is hedged.
     */
    private void deliver(int index, String id, int attempt, int worker, double work) {
      if (worker == RESTARTED_ID && now >= RESTART_TIME) {
        arrivals.add(new Arrival(now, work));
      }
      ThrottlingDispatcher dispatcher = dispatchers.get(index);
      int variant = attempts++ % 10;
      if (variant == 0) {
        dispatcher.attemptEnded(now, id, attempt, AttemptOutcome.FULL, 1, false, LoadReport.NONE);
        return;
      }
      jobsHeld[worker]++;
      schedule(
          variant == 1 ? deployment.meanWork() : 0,
          () -> dispatcher.attemptStarted(now, id, attempt));
      schedule(
          (variant == 1 ? deployment.meanWork() : 0) + work,
          () -> {
            jobsHeld[worker]--;
            dispatcher.attemptEnded(
                now, id, attempt, AttemptOutcome.OK, work, true, LoadReport.NONE);
          });
    }

    /**
     * Returns the maximum work that arrived within any window, as a share of the limit at the end
     * of that window.
     */
    double maxShareOfLimit() {
      double maxShare = 0;
      double windowMs = deployment.policy().overloadWindowMs();
      for (int last = 0; last < arrivals.size(); last++) {
        double windowEnd = arrivals.get(last).time();
        double work = 0;
        for (int i = last; i >= 0 && arrivals.get(i).time() > windowEnd - windowMs; i--) {
          work += arrivals.get(i).work();
        }
        maxShare = Math.max(maxShare, work / deployment.meanWork() / limit(windowEnd));
      }
      return maxShare;
    }

    /**
     * Returns the number of requests of mean work per window that the worker withstands at this
     * time, including the tolerance for random variation.
     */
    private double limit(double time) {
      SlowStartPolicy policy = deployment.policy();
      double capacityShare =
          policy.startCapacity()
              + (1 - policy.startCapacity()) * (time - RESTART_TIME) / policy.warmUpMs();
      double limit =
          policy.overloadFactor()
              * capacityShare
              * deployment.size()
              * policy.overloadWindowMs()
              / deployment.meanWork();
      return limit < 30 ? limit + 3 * Math.sqrt(limit) + 3 : limit + 2 * Math.sqrt(limit) + 2;
    }
  }

  /** Performs the actions of one dispatcher by adding events to the event queue. */
  private static final class Host implements Dispatcher.Actions {
    private final Fleet fleet;
    private final int index;
    private final Map<String, Integer> sends = new HashMap<>();

    Host(Fleet fleet, int index) {
      this.fleet = fleet;
      this.index = index;
    }

    @Override
    public void send(String id, long worker, double timeout) {
      fleet.attemptSent(index, id, sends.merge(id, 1, Integer::sum) - 1, (int) worker);
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
      fleet.schedule(delayMs, () -> fleet.dispatchers.get(index).timerExpired(fleet.now, token));
    }

    @Override
    public void reject(String id, double retryAfter) {}

    @Override
    public void fail(String id) {}

    @Override
    public void cancel(String id, int attempt) {}

    @Override
    public void checkHealth(long worker) {}

    @Override
    public void sendToPeer(int peer, byte[] message) {}

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}
  }

  private static final SlowStartPolicy POLICY = new SlowStartPolicy(0.2, 20_000, 3, 3_000);
  private static final SlowStartPolicy STRICT_POLICY = new SlowStartPolicy(0.2, 20_000, 1.5, 3_000);

  /**
   * A policy under which the limit of a worker that is warming up stays below one request of mean
   * work per window until a test ends.
   */
  private static final SlowStartPolicy TINY_POLICY = new SlowStartPolicy(0.01, 600_000, 1.5, 3_000);

  private static Fleet simulate(Deployment deployment, double workFactor, double notifiedAfter) {
    Fleet fleet = new Fleet(deployment, workFactor, notifiedAfter);
    fleet.run();
    assertTrue(
        fleet.maxShareOfLimit() <= 1, fleet.maxShareOfLimit() + " of the limit, " + deployment);
    return fleet;
  }

  /**
   * Returns the number of workers that keeps the traffic of each dispatcher similar in fleets of
   * any size.
   */
  private static int workers(int dispatchers) {
    return Math.max(6, dispatchers / 2);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void staysWithinBudgetAndUsesItWithRetriesAndHedges(int dispatchers) {
    Fleet fleet =
        simulate(new Deployment(dispatchers, workers(dispatchers), 16, 100, POLICY), 1, 0);
    assertTrue(fleet.arrivals.size() > 500, "sent " + fleet.arrivals.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void staysWithinBudgetOfLessThanOneRequestPerDispatcher(int dispatchers) {
    Fleet fleet =
        simulate(new Deployment(dispatchers, workers(dispatchers), 1, 50, TINY_POLICY), 1, 0);
    long early =
        fleet.arrivals.stream().filter(arrival -> arrival.time() < RESTART_TIME + 10_000).count();
    assertTrue(early > 0, "no request was sent in the first ten seconds");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void chargesJobsInProportionToTheirWork(int dispatchers) {
    simulate(new Deployment(dispatchers, workers(dispatchers), 4, 200, STRICT_POLICY), 4, 0);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 3, 30, 100})
  void chargesRequestsInFlightWhenTheRestartIsNotified(int dispatchers) {
    simulate(new Deployment(dispatchers, workers(dispatchers), 16, 100, STRICT_POLICY), 1, 560);
  }
}
