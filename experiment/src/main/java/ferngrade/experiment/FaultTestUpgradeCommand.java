package ferngrade.experiment;

import ferngrade.faulttest.upgrade.Observations;
import ferngrade.faulttest.upgrade.Observations.JobResult;
import ferngrade.faulttest.upgrade.Observations.Outcome;
import ferngrade.faulttest.upgrade.Observations.ResourceSample;
import ferngrade.faulttest.upgrade.SoakPlan;
import ferngrade.faulttest.upgrade.SoakRun;
import ferngrade.faulttest.upgrade.UpgradeRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs soak tests of node upgrades with injected faults, one run per seed. */
@Command(
    name = "upgrade",
    description =
        "Runs upgrades of a node with real processes, operators, clients and faults, one run per"
            + " seed, and checks the externally visible behaviour.",
    mixinStandardHelpOptions = true)
final class FaultTestUpgradeCommand implements Callable<Integer> {
  @Option(names = "--seeds", paramLabel = "N", description = "The number of seeds; default 5.")
  private int seeds = 5;

  @Option(names = "--from", paramLabel = "SEED", description = "The first seed; default 1.")
  private long from = 1;

  @Option(
      names = "--episodes",
      paramLabel = "N",
      description = "The number of episodes per run; default 6.")
  private int episodes = 6;

  @Option(
      names = "--program",
      paramLabel = "WORD",
      arity = "1..*",
      description = "The command that starts a process of the node; by default this program.")
  private List<String> program = UpgradeRun.currentProgramCommand();

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description =
          "The folder for the timelines; by default the timelines of failed runs are printed.")
  private Path out;

  @Override
  public Integer call() throws IOException, InterruptedException {
    int failed = 0;
    for (long seed = from; seed < from + seeds; seed++) {
      SoakRun.Result result = SoakRun.run(SoakPlan.of(seed, episodes), program);
      System.out.println(summary(result));
      result.violations().stream()
          .limit(10)
          .forEach(violation -> System.out.println("  " + violation));
      failed += result.violations().isEmpty() ? 0 : 1;
      writeTimeline(result);
    }
    System.out.printf(Locale.ROOT, "%d passed, %d failed%n", seeds - failed, failed);
    return failed == 0 ? 0 : 1;
  }

  private void writeTimeline(SoakRun.Result result) throws IOException {
    List<String> lines =
        result.observations().steps().stream().map(Observations.Step::toString).toList();
    if (out != null) {
      Files.createDirectories(out);
      Files.write(out.resolve("seed-" + result.plan().seed() + ".txt"), lines);
    } else if (!result.violations().isEmpty()) {
      lines.forEach(System.out::println);
    }
  }

  private static String summary(SoakRun.Result result) {
    Observations observations = result.observations();
    return String.format(
        Locale.ROOT,
        "seed %d: %s; %d clients, %d idle connections; %d requests (%s), %d sends, %d operator"
            + " requests; maximum of all processes together: %d MB and %d descriptors; %s",
        result.plan().seed(),
        result.plan().episodes().stream().map(episode -> episode.kind().name()).toList(),
        result.plan().clients(),
        result.plan().idleConnections(),
        observations.results().size(),
        outcomes(observations.results()),
        observations.sends().size(),
        observations.calls().size(),
        observations.samples().stream().mapToLong(ResourceSample::memoryBytes).max().orElse(0)
            >> 20,
        observations.samples().stream().mapToInt(ResourceSample::descriptors).max().orElse(0),
        result.violations().isEmpty() ? "held" : result.violations().size() + " violations");
  }

  private static String outcomes(List<JobResult> results) {
    StringBuilder text = new StringBuilder();
    for (Outcome outcome : Outcome.values()) {
      long count = results.stream().filter(result -> result.outcome() == outcome).count();
      if (count > 0) {
        text.append(text.isEmpty() ? "" : ", ")
            .append(count)
            .append(' ')
            .append(outcome.name().toLowerCase(Locale.ROOT));
      }
    }
    return text.toString();
  }
}
