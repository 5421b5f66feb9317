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
 * Looks for the seed that breaks a rule, or that loses most, and makes what shows it small: fewer
 * faults, a shorter time, a smaller fleet, as long as it still shows. That is delta debugging
 * (Zeller and Hildebrandt, 2002), one dimension after another until none gives way.
 */
public final class Search {
  /** A smaller experiment must still lose this share of what the found one loses. */
  private static final double STILL = 0.8;

  private static final int MOST_ROUNDS = 6;

  private final Experiment experiment;
  private final Path folder;
  private final Consumer<String> say;
  private int played;

  /** What was found: a replayable experiment of one seed and one policy, and its result. */
  public record Found(JsonNode source, ExperimentRun.Result result, int played) {
    /** True if it shows a broken rule, false if it is the one that loses most. */
    public boolean breaksRule() {
      return result.allBreaches() > 0;
    }
  }

  /** A search through an experiment's points and seeds; {@code say} hears how it goes. */
  public Search(Experiment experiment, Path folder, Consumer<String> say) {
    this.experiment = experiment;
    this.folder = folder;
    this.say = say;
  }

  /** Searches, then makes it small. */
  public Found run(int threads) throws InterruptedException, FileException {
    List<ExperimentRun.Result> results = new ExperimentRunner(threads).run(experiment, each -> {});
    played = results.size();
    ExperimentRun.Result worst = null;
    for (ExperimentRun.Result each : results) {
      if (worst == null || worse(each, worst)) {
        worst = each;
      }
    }
    say.accept(
        String.format(
            "seed %d of %s: %d rules broken, goodput %.3f",
            worst.seed(), worst.policy(), worst.allBreaches(), worst.goodput()));
    return shrink(alone(worst), worst);
  }

  /**
   * Broken rules first, then the loss; the lower seed where all is alike, so that every search ends
   * alike.
   */
  private static boolean worse(ExperimentRun.Result one, ExperimentRun.Result other) {
    boolean broken = one.allBreaches() > 0;
    if (broken != other.allBreaches() > 0) {
      return broken;
    }
    if (one.goodput() != other.goodput()) {
      return one.goodput() < other.goodput();
    }
    return one.seed() < other.seed();
  }

  /** The experiment with this trial's setting, policy and seed alone. */
  private JsonNode alone(ExperimentRun.Result worst) throws FileException {
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
                    for (JsonNode each : original.get(key)) {
                      if (ExperimentReader.words(each).equals(value)) {
                        sweep.putArray(key).add(each);
                      }
                    }
                  });
        }
        source.putArray("policies").add(worst.policy());
        source.putArray("seeds").add(worst.seed());
        return source;
      }
    }
    throw new FileException(experiment.name(), "has no setting " + worst.point());
  }

  private Found shrink(JsonNode found, ExperimentRun.Result shown) throws FileException {
    JsonNode best = found;
    ExperimentRun.Result result = shown;
    for (int round = 0; round < MOST_ROUNDS; round++) {
      boolean smaller = false;
      for (ObjectNode candidate : candidates(best)) {
        ExperimentRun.Result tried = play(candidate);
        if (tried != null && shows(tried, shown)) {
          best = candidate;
          result = tried;
          smaller = true;
          say.accept(
              String.format(
                  "smaller: %s, %d rules broken, goodput %.3f",
                  size(candidate), tried.allBreaches(), tried.goodput()));
          break;
        }
      }
      if (!smaller) {
        break;
      }
      round = -1;
      if (played > 400) {
        break;
      }
    }
    return new Found(best, result, played);
  }

  private static boolean shows(ExperimentRun.Result tried, ExperimentRun.Result shown) {
    if (shown.allBreaches() > 0) {
      return shown.breaches().entrySet().stream()
          .anyMatch(rule -> rule.getValue() > 0 && tried.breaches().get(rule.getKey()) > 0);
    }
    return 1 - tried.goodput() >= STILL * (1 - shown.goodput());
  }

  /** Smaller experiments, the boldest first. */
  private List<ObjectNode> candidates(JsonNode source) throws FileException {
    List<ObjectNode> candidates = new ArrayList<>();
    Scenario scenario = scenario(source);
    JsonNode faults = source.get("fault");
    for (int i = 0; faults != null && i < faults.size(); i++) {
      ObjectNode fewer = source.deepCopy();
      ArrayNode left = (ArrayNode) fewer.get("fault");
      left.remove(i);
      if (left.isEmpty()) {
        fewer.remove("fault");
      }
      candidates.add(fewer);
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

  private ExperimentRun.Result play(JsonNode source) {
    try {
      Experiment smaller = ExperimentReader.read(experiment.name(), folder, source);
      played++;
      return new ExperimentRun(
              smaller.points().get(0).label(), smaller.policies().get(0), smaller.seeds().get(0))
          .play(smaller.points().get(0).scenario(), smaller.mutation());
    } catch (FileException noExperiment) {
      // A sweep may set what was just made smaller; that way down is closed, the others are not.
      return null;
    }
  }

  private static String size(JsonNode source) {
    JsonNode faults = source.get("fault");
    return source.path("fleet")
        + " for "
        + source.path("duration").asText("the standard time")
        + " with "
        + (faults == null ? 0 : faults.size())
        + " faults";
  }
}
