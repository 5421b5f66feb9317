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
 * Plays all that can happen to a {@link ModelState} within so many steps, breadth first, each state
 * once. A state is known by 128 bits of a hash of its picture.
 */
public final class ModelChecker {
  private ModelChecker() {}

  /** A state's hash. */
  private record Mark(long high, long low) {}

  /**
   * What an exploration came to: how many states, how many steps deep, the rule that was broken,
   * null for none, and the steps that lead there.
   */
  public record Result(long states, int depth, String broken, int[] steps) {}

  /**
   * Explores a world of so many members and duties; ends with the first state that breaks a rule.
   * In a calm one nobody dies and nothing is lost, only late.
   */
  public static Result explore(int members, int duties, int depth, boolean calm, Mutant mutant) {
    Set<Mark> seen = ConcurrentHashMap.newKeySet();
    List<int[]> layer = List.of(new int[0]);
    seen.add(mark(new ModelState(members, duties, calm, mutant)));
    AtomicReference<Result> found = new AtomicReference<>();
    for (int deep = 1; deep <= depth; deep++) {
      int now = deep;
      layer =
          layer.parallelStream()
              .flatMap(
                  path -> {
                    List<int[]> next = new ArrayList<>();
                    if (found.get() == null) {
                      for (int step : replay(members, duties, calm, mutant, path).steps()) {
                        int[] longer = Arrays.copyOf(path, path.length + 1);
                        longer[path.length] = step;
                        ModelState world = replay(members, duties, calm, mutant, longer);
                        if (world.broken() != null) {
                          found.compareAndSet(
                              null, new Result(seen.size(), now, world.broken(), longer));
                        } else if (seen.add(mark(world))) {
                          next.add(longer);
                        }
                      }
                    }
                    return next.stream();
                  })
              .toList();
      if (found.get() != null) {
        return found.get();
      }
    }
    return new Result(seen.size(), depth, null, null);
  }

  private static ModelState replay(
      int members, int duties, boolean calm, Mutant mutant, int[] path) {
    ModelState world = new ModelState(members, duties, calm, mutant);
    for (int step : path) {
      world.step(step);
    }
    return world;
  }

  private static Mark mark(ModelState world) {
    long[] hash = MurmurHash3.hash128x64(world.picture().getBytes(StandardCharsets.UTF_8));
    return new Mark(hash[0], hash[1]);
  }
}
