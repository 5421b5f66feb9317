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

/** Soaks a node in upgrades with faults, seed by seed. */
@Command(
    name = "upgrade",
    description =
        "Plays upgrades of a node with real processes, operators, clients and faults, one run a"
            + " seed, and judges what is seen from outside.",
    mixinStandardHelpOptions = true)
final class FaultTestUpgradeCommand implements Callable<Integer> {
  @Option(names = "--seeds", paramLabel = "N", description = "How many seeds; 5 if left out.")
  private int seeds = 5;

  @Option(names = "--from", paramLabel = "SEED", description = "The first seed; 1 if left out.")
  private long from = 1;

  @Option(names = "--episodes", paramLabel = "N", description = "Episodes of a run; 6 if left out.")
  private int episodes = 6;

  @Option(
      names = "--program",
      paramLabel = "WORD",
      arity = "1..*",
      description = "Starts a process of the node; this very program if left out.")
  private List<String> program = UpgradeRun.thisProgram();

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "Where the timelines go; only those of failed runs are printed if left out.")
  private Path out;

  @Override
  public Integer call() throws IOException, InterruptedException {
    int failed = 0;
    for (long seed = from; seed < from + seeds; seed++) {
      SoakRun.Result result = SoakRun.play(SoakPlan.of(seed, episodes), program);
      System.out.println(summary(result));
      result.violations().stream().limit(10).forEach(each -> System.out.println("  " + each));
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
    Observations seen = result.observations();
    return String.format(
        Locale.ROOT,
        "seed %d: %s; %d clients, crowd of %d; %d requests (%s), %d sends, %d operators' calls;"
            + " together at most %d MB and %d descriptors; %s",
        result.plan().seed(),
        result.plan().episodes().stream().map(each -> each.kind().name()).toList(),
        result.plan().clients(),
        result.plan().crowd(),
        seen.results().size(),
        outcomes(seen.results()),
        seen.sends().size(),
        seen.calls().size(),
        seen.samples().stream().mapToLong(ResourceSample::memoryBytes).max().orElse(0) >> 20,
        seen.samples().stream().mapToInt(ResourceSample::descriptors).max().orElse(0),
        result.violations().isEmpty() ? "held" : result.violations().size() + " violations");
  }

  private static String outcomes(List<JobResult> results) {
    StringBuilder text = new StringBuilder();
    for (Outcome outcome : Outcome.values()) {
      long count = results.stream().filter(each -> each.outcome() == outcome).count();
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
