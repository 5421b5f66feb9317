package ferngrade.emulator.policy;

import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.DispatcherSettings;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.JobClass;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.dispatch.Worker;
import ferngrade.emulator.FleetState;
import ferngrade.emulator.Policy;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Looks up policies by name, for experiments that compare them. */
public final class Policies {
  private static final Map<String, Policy> ALL = new LinkedHashMap<>();

  static {
    ALL.put(
        "module",
        (settings, seed, now, actions, fleetState) ->
            new ThrottlingDispatcher(settings, seed, now, actions));
    ALL.put(
        "random",
        (settings, seed, now, actions, fleetState) -> new RandomPick(settings, seed, actions));
    ALL.put(
        "round-robin",
        (settings, seed, now, actions, fleetState) -> new RoundRobin(settings, seed, actions));
    ALL.put(
        "least-loaded",
        (settings, seed, now, actions, fleetState) -> new LeastLoaded(settings, seed, actions));
    ALL.put(
        "two-choices",
        (settings, seed, now, actions, fleetState) -> new TwoChoices(settings, seed, actions));
    ALL.put(
        "all-seeing",
        (settings, seed, now, actions, fleetState) -> new AllSeeing(settings, actions, fleetState));
  }

  private Policies() {}

  /** Returns the names of all policies; the first is that of the production dispatcher. */
  public static Set<String> names() {
    return ALL.keySet();
  }

  /**
   * Returns the policy with this name.
   *
   * @throws IllegalArgumentException if there is none; the message lists the known names
   */
  public static Policy byName(String name) {
    Policy policy = ALL.get(name);
    if (policy == null) {
      throw new IllegalArgumentException(
          "unknown policy " + name + "; known policies: " + String.join(", ", ALL.keySet()));
    }
    return policy;
  }

  private static UniformRandomProvider stream(long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  private static final class RandomPick extends PlainPolicy {
    private final UniformRandomProvider random;

    RandomPick(DispatcherSettings settings, long seed, Actions actions) {
      super(settings, actions);
      this.random = stream(seed);
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      return ready.get(random.nextInt(ready.size()));
    }
  }

  private static final class RoundRobin extends PlainPolicy {
    private int next;

    RoundRobin(DispatcherSettings settings, long seed, Actions actions) {
      super(settings, actions);
      this.next = stream(seed).nextInt(1 << 16);
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      return ready.get(Math.floorMod(next++, ready.size()));
    }
  }

  private static final class LeastLoaded extends PlainPolicy {
    private final UniformRandomProvider random;

    LeastLoaded(DispatcherSettings settings, long seed, Actions actions) {
      super(settings, actions);
      this.random = stream(seed);
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      int start = random.nextInt(ready.size());
      Worker best = null;
      for (int i = 0; i < ready.size(); i++) {
        Worker worker = ready.get((start + i) % ready.size());
        if (best == null || attemptsInFlight(worker) < attemptsInFlight(best)) {
          best = worker;
        }
      }
      return best;
    }
  }

  /** Picks the less loaded of two random workers: the power of two choices (Mitzenmacher, 2001). */
  private static final class TwoChoices extends PlainPolicy {
    private final UniformRandomProvider random;

    TwoChoices(DispatcherSettings settings, long seed, Actions actions) {
      super(settings, actions);
      this.random = stream(seed);
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      Worker first = ready.get(random.nextInt(ready.size()));
      Worker second = ready.get(random.nextInt(ready.size()));
      return attemptsInFlight(second) < attemptsInFlight(first) ? second : first;
    }
  }

  /**
   * Uses the true state of the fleet to pick the worker that completes the job first, and rejects a
   * job that would miss its latency target on every worker.
   */
  private static final class AllSeeing extends PlainPolicy {
    private final DispatcherSettings settings;
    private final FleetState fleetState;

    AllSeeing(DispatcherSettings settings, Actions actions, FleetState fleetState) {
      super(settings, actions);
      this.settings = settings;
      this.fleetState = fleetState;
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      double work = fleetState.work(job.id());
      Worker best = null;
      double minTime = Double.POSITIVE_INFINITY;
      for (Worker worker : ready) {
        double completionTime = fleetState.estimateCompletionTime(worker.id(), work);
        if (completionTime < minTime) {
          minTime = completionTime;
          best = worker;
        }
      }
      JobClass jobClass = settings.classes().get(job.jobClass());
      return minTime > jobClass.latencyObjectiveMs() + jobClass.latencyObjectiveFactor() * work
          ? null
          : best;
    }
  }
}
