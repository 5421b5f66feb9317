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

/** The policies that experiments compare, by name. */
public final class Policies {
  private static final Map<String, Policy> ALL = new LinkedHashMap<>();

  static {
    ALL.put(
        "module",
        (settings, seed, now, actions, truth) ->
            new ThrottlingDispatcher(settings, seed, now, actions));
    ALL.put(
        "random", (settings, seed, now, actions, truth) -> new RandomPick(settings, seed, actions));
    ALL.put(
        "round-robin",
        (settings, seed, now, actions, truth) -> new RoundRobin(settings, seed, actions));
    ALL.put(
        "least-loaded",
        (settings, seed, now, actions, truth) -> new LeastLoaded(settings, seed, actions));
    ALL.put(
        "two-choices",
        (settings, seed, now, actions, truth) -> new TwoChoices(settings, seed, actions));
    ALL.put(
        "all-seeing",
        (settings, seed, now, actions, truth) -> new AllSeeing(settings, actions, truth));
  }

  private Policies() {}

  /** The names, the decision module's first. */
  public static Set<String> names() {
    return ALL.keySet();
  }

  /** The policy of this name; an {@link IllegalArgumentException} says which there are. */
  public static Policy named(String name) {
    Policy policy = ALL.get(name);
    if (policy == null) {
      throw new IllegalArgumentException(
          "no policy " + name + "; there are " + String.join(", ", ALL.keySet()));
    }
    return policy;
  }

  private static UniformRandomProvider stream(long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  private static final class RandomPick extends PlainPolicy {
    private final UniformRandomProvider chance;

    RandomPick(DispatcherSettings settings, long seed, Actions actions) {
      super(settings, actions);
      this.chance = stream(seed);
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      return ready.get(chance.nextInt(ready.size()));
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
    private final UniformRandomProvider chance;

    LeastLoaded(DispatcherSettings settings, long seed, Actions actions) {
      super(settings, actions);
      this.chance = stream(seed);
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      int start = chance.nextInt(ready.size());
      Worker best = null;
      for (int i = 0; i < ready.size(); i++) {
        Worker worker = ready.get((start + i) % ready.size());
        if (best == null || held(worker) < held(best)) {
          best = worker;
        }
      }
      return best;
    }
  }

  /** Mitzenmacher's power of two choices (2001): the less loaded of two drawn by chance. */
  private static final class TwoChoices extends PlainPolicy {
    private final UniformRandomProvider chance;

    TwoChoices(DispatcherSettings settings, long seed, Actions actions) {
      super(settings, actions);
      this.chance = stream(seed);
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      Worker one = ready.get(chance.nextInt(ready.size()));
      Worker other = ready.get(chance.nextInt(ready.size()));
      return held(other) < held(one) ? other : one;
    }
  }

  /**
   * Sends each job where it will be done first, by the true state; one that would be late anyway is
   * refused.
   */
  private static final class AllSeeing extends PlainPolicy {
    private final DispatcherSettings settings;
    private final FleetState truth;

    AllSeeing(DispatcherSettings settings, Actions actions, FleetState truth) {
      super(settings, actions);
      this.settings = settings;
      this.truth = truth;
    }

    @Override
    Worker pick(List<Worker> ready, Job job) {
      double work = truth.work(job.id());
      Worker best = null;
      double least = Double.POSITIVE_INFINITY;
      for (Worker worker : ready) {
        double ends = truth.finishIn(worker.id(), work);
        if (ends < least) {
          least = ends;
          best = worker;
        }
      }
      JobClass jobClass = settings.classes().get(job.jobClass());
      return least > jobClass.aim() + jobClass.stretch() * work ? null : best;
    }
  }
}
