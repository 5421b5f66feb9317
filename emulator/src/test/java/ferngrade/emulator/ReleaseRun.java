package ferngrade.emulator;

import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;
import ferngrade.emulator.policy.Policies;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Runs a release, in which most workers are replaced by cold ones, on a fleet with many
 * dispatchers, and collects statistics per second.
 */
final class ReleaseRun implements Observer {
  static final double RELEASE_AT_MS = 5_000;
  static final double RELEASE_MS = 10_000;
  static final double DURATION_MS = 45_000;

  private static final double SECOND_MS = 1_000;

  /** Statistics of one second of the run. */
  static final class Second {
    int offered;
    int inTime;
    int late;
    int rejected;
    double coldAllowed;
    double coldSent;
    double inFlight;
    double cores;
    double busyCores;
  }

  private record Arrival(double at, double work) {}

  private final Scenario scenario;
  private final List<Second> seconds = new ArrayList<>();
  private final Map<EmulatedWorker, Deque<Arrival>> windows = new HashMap<>();
  private final Set<EmulatedWorker> workers = new HashSet<>();

  /** The largest share of the documented bound that was sent to a cold worker in a window. */
  double maxShareOfBound;

  int crashedWorkers;

  ReleaseRun(Scenario scenario) {
    this.scenario = scenario;
  }

  /**
   * Creates a scenario in which 100 dispatchers receive one to three requests per second each and
   * most workers are replaced.
   */
  static Scenario scenario() {
    Scenario scenario = Scenario.standard();
    scenario.nodes = 100;
    scenario.workers = 60;
    scenario.duration = DURATION_MS;
    scenario.workload.load = 0.6;
    scenario.discovery.weightPeriod = 900;
    scenario.discovery.weightLate = 500;
    for (WorkerTypeSpec type : scenario.kinds) {
      type.coldStart = 0.2;
      type.coldMs = 16_000;
    }
    Fault release = new Fault(Fault.Kind.DEPLOY, RELEASE_AT_MS, RELEASE_MS, 0.1, 0.6, -1);
    scenario.faults.add(release);
    return scenario;
  }

  static ReleaseRun run(Scenario scenario, long seed, String policy) {
    ReleaseRun statistics = new ReleaseRun(scenario);
    VirtualRun run =
        new VirtualRun(scenario, seed, Policies.byName(policy), Mutation.NONE, List.of(statistics));
    run.run();
    return statistics;
  }

  List<Second> seconds() {
    return seconds;
  }

  private Second second(double now) {
    int index = (int) ((now - VirtualRun.START_MILLIS) / SECOND_MS);
    while (seconds.size() <= index) {
      seconds.add(new Second());
    }
    return seconds.get(index);
  }

  @Override
  public void requestDue(double now, Request request) {
    second(now).offered++;
  }

  @Override
  public void requestEnded(double now, Request request, Answer answer) {
    ClassSpec jobClass = scenario.workload.classes.get(request.jobClass);
    Second second = second(request.due);
    if (answer == Answer.SERVED) {
      boolean inTime = now - request.due <= jobClass.aim + jobClass.stretch * request.work;
      second.inTime += inTime ? 1 : 0;
      second.late += inTime ? 0 : 1;
    } else if (answer == Answer.REFUSED) {
      second.rejected++;
    }
  }

  @Override
  public void reachedColdWorker(
      double now, EmulatedWorker worker, Request request, boolean informed) {
    double work = request.work;
    Deque<Arrival> window = windows.computeIfAbsent(worker, key -> new ArrayDeque<>());
    window.add(new Arrival(now, work));
    while (window.peek().at() <= now - scenario.tipMs) {
      window.remove();
    }
    double sum = window.stream().mapToDouble(Arrival::work).sum() / scenario.workload.meanWork();
    maxShareOfBound = Math.max(maxShareOfBound, sum / bound(allowed(worker, now)));
    second(now).coldSent += work / scenario.workload.meanWork();
  }

  /**
   * Returns the number of requests that the settings allow a cold worker to receive in one window,
   * if each request has the mean work.
   */
  private double allowed(EmulatedWorker worker, double now) {
    double age = now - worker.model.startedAt();
    double warmth =
        scenario.startCapacity + (1 - scenario.startCapacity) * Math.min(1, age / scenario.coldMs);
    WorkerTypeSpec type = scenario.kinds.get(worker.workerType);
    double capacity = warmth * type.cores * type.speed / scenario.workload.meanWork();
    return scenario.fallMultiple * capacity * scenario.tipMs;
  }

  /** Returns the documented bound, which exceeds the number that the settings allow. */
  static double bound(double allowed) {
    return allowed < 30
        ? allowed + 3 * Math.sqrt(allowed) + 3
        : allowed + 2 * Math.sqrt(allowed) + 2;
  }

  @Override
  public void workerListed(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {
    workers.add(worker);
  }

  @Override
  public void sliceSampled(double now, int node, double slots) {
    if (node != 0) {
      return;
    }
    Second second = second(now);
    for (EmulatedWorker worker : workers) {
      if (worker.model.up()) {
        second.coldAllowed += worker.model.cold() ? allowed(worker, now) / scenario.tipMs * 500 : 0;
        second.inFlight += (worker.model.runningCount() + worker.model.waitingCount()) / 2.0;
        second.cores += worker.model.capacity() / 2;
        second.busyCores += busyShare(worker) * worker.model.capacity() / 2;
      }
    }
  }

  private double busyShare(EmulatedWorker worker) {
    return Math.min(1, worker.model.runningCount() / scenario.kinds.get(worker.workerType).cores);
  }

  @Override
  public void coldWorkerCrashed(double now, EmulatedWorker worker, double informedShare) {
    crashedWorkers++;
  }

  /** Returns the share of the requests due in these seconds that were served in time. */
  double onTimeShare(int from, int until) {
    return sum(from, until, second -> second.inTime) / sum(from, until, second -> second.offered);
  }

  /**
   * Returns the work that was sent to cold workers as a share of the work that is allowed for all
   * of them. Only the seconds in which at least a tenth of the requests was rejected or late are
   * counted.
   */
  double usedShareOfAllowed(int from, int until) {
    ToDoubleFunction<Second> overloaded =
        second -> 10 * (second.rejected + second.late) >= second.offered ? 1 : 0;
    double sent = sum(from, until, second -> overloaded.applyAsDouble(second) * second.coldSent);
    double allowed =
        sum(from, until, second -> overloaded.applyAsDouble(second) * second.coldAllowed);
    return sent / allowed;
  }

  /** Returns the time at which the last new worker is warm, in ms from the start of the run. */
  double lastWarmAt() {
    double lastStart =
        workers.stream().mapToDouble(worker -> worker.model.startedAt()).max().orElseThrow();
    return lastStart - VirtualRun.START_MILLIS + scenario.kinds.get(0).coldMs;
  }

  /**
   * Returns the first second from which on the in-time share, over three seconds each, is at least
   * {@code share}.
   */
  int recoverySecond(double share) {
    int second = (int) (DURATION_MS / SECOND_MS) - 3;
    while (second > 0 && onTimeShare(second - 1, second + 2) >= share) {
      second--;
    }
    return second;
  }

  private double sum(int from, int until, ToDoubleFunction<Second> value) {
    return seconds.subList(from, until).stream().mapToDouble(value).sum();
  }
}
