package ferngrade.faulttest;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Explores all event sequences of a {@link ModelState}, up to a number of steps. The search is
 * breadth first and visits each state once. A state is identified by a 128-bit hash of its text.
 */
public final class ModelChecker {
  private ModelChecker() {}

  /** The 128-bit hash of a state. */
  private record StateHash(long high, long low) {}

  /**
   * The number of states visited, the depth in steps, the violated rule (null if none is violated),
   * and the steps that lead to the violation.
   */
  public record Result(long states, int depth, String violatedRule, int[] steps) {}

  /**
   * Explores a model with these numbers of members and shards; stops at the first state that
   * violates a rule. If {@code faultFree}, no member crashes and no message is lost, but messages
   * may be late.
   */
  public static Result explore(
      int members, int shards, int depth, boolean faultFree, Mutant mutant) {
    Set<StateHash> visited = ConcurrentHashMap.newKeySet();
    List<int[]> frontier = List.of(new int[0]);
    visited.add(hash(new ModelState(members, shards, faultFree, mutant)));
    AtomicReference<Result> firstViolation = new AtomicReference<>();
    for (int level = 1; level <= depth; level++) {
      int currentDepth = level;
      frontier =
          frontier.parallelStream()
              .flatMap(
                  path -> {
                    List<int[]> next = new ArrayList<>();
                    if (firstViolation.get() == null) {
                      for (int step : replay(members, shards, faultFree, mutant, path).steps()) {
                        int[] extended = Arrays.copyOf(path, path.length + 1);
                        extended[path.length] = step;
                        ModelState state = replay(members, shards, faultFree, mutant, extended);
                        if (state.violatedRule() != null) {
                          firstViolation.compareAndSet(
                              null,
                              new Result(
                                  visited.size(), currentDepth, state.violatedRule(), extended));
                        } else if (visited.add(hash(state))) {
                          next.add(extended);
                        }
                      }
                    }
                    return next.stream();
                  })
              .toList();
      if (firstViolation.get() != null) {
        return firstViolation.get();
      }
    }
    return new Result(visited.size(), depth, null, null);
  }

  private static ModelState replay(
      int members, int shards, boolean faultFree, Mutant mutant, int[] path) {
    ModelState state = new ModelState(members, shards, faultFree, mutant);
    for (int step : path) {
      state.step(step);
    }
    return state;
  }

  private static StateHash hash(ModelState state) {
    long[] parts = MurmurHash3.hash128x64(state.describe().getBytes(StandardCharsets.UTF_8));
    return new StateHash(parts[0], parts[1]);
  }
}
