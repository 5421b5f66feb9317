package ferngrade.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ferngrade.emulator.Scenario;
import ferngrade.toml.FileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Searches for a trial that violates an invariant, or else for the trial with the lowest goodput,
 * and minimizes it: fewer faults, a shorter duration and a smaller fleet, as long as the problem is
 * still reproduced. This is delta debugging (Zeller and Hildebrandt, 2002), one dimension after the
 * other until no dimension can be reduced further.
 */
public final class Search {
  /** The share of the original goodput loss that a smaller experiment must still reproduce. */
  private static final double MIN_LOSS_SHARE = 0.8;

  private static final int MAX_ROUNDS = 6;

  private final Experiment experiment;
  private final Path folder;
  private final Consumer<String> progress;
  private int runs;

  /**
   * The result of a search: an experiment with one seed and one policy that can be replayed, its
   * result, and the number of trials that the search ran.
   */
  public record Result(JsonNode source, ExperimentRun.Result result, int runs) {
    /**
     * Returns true if the trial violates an invariant. Returns false if no trial of the search
     * violates one; the trial is then the one with the lowest goodput.
     */
    public boolean violatesInvariant() {
      return result.totalViolations() > 0;
    }
  }

  /**
   * Creates a search over an experiment's points, policies and seeds. {@code progress} receives one
   * line for each step; {@code folder} is where the experiment's traces are.
   */
  public Search(Experiment experiment, Path folder, Consumer<String> progress) {
    this.experiment = experiment;
    this.folder = folder;
    this.progress = progress;
  }

  /** Searches with this number of threads, then minimizes the worst trial on the calling thread. */
  public Result run(int threads) throws InterruptedException, FileException {
    List<ExperimentRun.Result> results =
        new ExperimentRunner(threads).run(experiment, result -> {});
    runs = results.size();
    ExperimentRun.Result worst = null;
    for (ExperimentRun.Result result : results) {
      if (worst == null || isWorse(result, worst)) {
        worst = result;
      }
    }
    progress.accept(
        String.format(
            "seed %d of %s: %d invariant violations, goodput %.3f",
            worst.seed(), worst.policy(), worst.totalViolations(), worst.goodput()));
    return shrink(singleTrial(worst), worst);
  }

  /**
   * Returns true if the first result is worse: it violates an invariant and the second does not, or
   * its goodput is lower. Ties go to the lower seed, so that the search is deterministic.
   */
  private static boolean isWorse(ExperimentRun.Result first, ExperimentRun.Result second) {
    boolean violates = first.totalViolations() > 0;
    if (violates != second.totalViolations() > 0) {
      return violates;
    }
    if (first.goodput() != second.goodput()) {
      return first.goodput() < second.goodput();
    }
    return first.seed() < second.seed();
  }

  /** Returns the experiment restricted to the point, policy and seed of this trial. */
  private JsonNode singleTrial(ExperimentRun.Result worst) throws FileException {
    for (Experiment.Point point : experiment.points()) {
      if (point.label().equals(worst.point())) {
        ObjectNode source = experiment.source().deepCopy();
        if (!point.parameters().isEmpty()) {
          ObjectNode sweep = source.putObject("sweep");
          JsonNode original = experiment.source().get("sweep");
          point
              .parameters()
              .forEach(
                  (key, value) -> {
                    for (JsonNode option : original.get(key)) {
                      if (ExperimentReader.formatValue(option).equals(value)) {
                        sweep.putArray(key).add(option);
                      }
                    }
                  });
        }
        source.putArray("policies").add(worst.policy());
        source.putArray("seeds").add(worst.seed());
        return source;
      }
    }
    throw new FileException(experiment.name(), "has no point " + worst.point());
  }

  private Result shrink(JsonNode source, ExperimentRun.Result original) throws FileException {
    JsonNode best = source;
    ExperimentRun.Result result = original;
    for (int round = 0; round < MAX_ROUNDS; round++) {
      boolean smaller = false;
      for (ObjectNode candidate : candidates(best)) {
        ExperimentRun.Result attempt = run(candidate);
        if (attempt != null && reproduces(attempt, original)) {
          best = candidate;
          result = attempt;
          smaller = true;
          progress.accept(
              String.format(
                  "smaller: %s, %d invariant violations, goodput %.3f",
                  describe(candidate), attempt.totalViolations(), attempt.goodput()));
          break;
        }
      }
      if (!smaller) {
        break;
      }
      round = -1;
      if (runs > 400) {
        break;
      }
    }
    return new Result(best, result, runs);
  }

  private static boolean reproduces(ExperimentRun.Result attempt, ExperimentRun.Result original) {
    if (original.totalViolations() > 0) {
      return original.breaches().entrySet().stream()
          .anyMatch(rule -> rule.getValue() > 0 && attempt.breaches().get(rule.getKey()) > 0);
    }
    return 1 - attempt.goodput() >= MIN_LOSS_SHARE * (1 - original.goodput());
  }

  /** Returns smaller experiments; larger reductions of one dimension come before smaller ones. */
  private List<ObjectNode> candidates(JsonNode source) throws FileException {
    List<ObjectNode> candidates = new ArrayList<>();
    Scenario scenario = scenario(source);
    JsonNode faults = source.get("fault");
    for (int i = 0; faults != null && i < faults.size(); i++) {
      ObjectNode candidate = source.deepCopy();
      ArrayNode remainingFaults = (ArrayNode) candidate.get("fault");
      remainingFaults.remove(i);
      if (remainingFaults.isEmpty()) {
        candidate.remove("fault");
      }
      candidates.add(candidate);
    }
    for (double share : new double[] {0.5, 0.75}) {
      double shorter = Math.ceil(scenario.duration * share / 1000) * 1000;
      if (shorter >= 1000 && shorter < scenario.duration) {
        ObjectNode candidate = source.deepCopy();
        candidate.put("duration", Math.round(shorter / 1000) + "s");
        candidates.add(candidate);
      }
      int workers = (int) Math.ceil(scenario.workers * share);
      if (workers < scenario.workers) {
        ObjectNode candidate = source.deepCopy();
        candidate.withObjectProperty("fleet").put("workers", workers);
        if (scenario.workload.rate > 0) {
          double rate = scenario.workload.rate * workers / scenario.workers;
          candidate.withObjectProperty("workload").put("rate", rate + "/s");
        }
        candidates.add(candidate);
      }
    }
    if (scenario.nodes > 1) {
      ObjectNode candidate = source.deepCopy();
      candidate.withObjectProperty("fleet").put("nodes", scenario.nodes - 1);
      candidates.add(candidate);
    }
    return candidates;
  }

  private Scenario scenario(JsonNode source) throws FileException {
    return ExperimentReader.read(experiment.name(), folder, source).points().get(0).scenario();
  }

  private ExperimentRun.Result run(JsonNode source) {
    try {
      Experiment smaller = ExperimentReader.read(experiment.name(), folder, source);
      runs++;
      return new ExperimentRun(
              smaller.points().get(0).label(), smaller.policies().get(0), smaller.seeds().get(0))
          .runInVirtualTime(smaller.points().get(0).scenario(), smaller.mutation());
    } catch (FileException invalidExperiment) {
      // This candidate cannot be read, for example because a sweep sets the value that was reduced.
      // The other candidates are still tried.
      return null;
    }
  }

  private static String describe(JsonNode source) {
    JsonNode faults = source.get("fault");
    return source.path("fleet")
        + " for "
        + source.path("duration").asText("the default duration")
        + " with "
        + (faults == null ? 0 : faults.size())
        + " faults";
  }
}
