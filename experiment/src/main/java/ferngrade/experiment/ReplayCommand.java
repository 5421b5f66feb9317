package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs the first trial of an experiment again and prints all its metrics. */
@Command(
    name = "replay",
    description = "Runs the first trial of an experiment again and prints all its figures.",
    mixinStandardHelpOptions = true)
final class ReplayCommand implements Callable<Integer> {
  @Parameters(paramLabel = "EXPERIMENT")
  private Path file;

  @Option(
      names = "--seed",
      paramLabel = "SEED",
      description = "The seed; by default the experiment's first seed.")
  private Long seed;

  @Override
  public Integer call() {
    Experiment experiment;
    try {
      experiment = ExperimentReader.read(file);
    } catch (FileException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
    Experiment.Point point = experiment.points().get(0);
    ExperimentRun.Result result =
        new ExperimentRun(
                point.label(),
                experiment.policies().get(0),
                seed == null ? experiment.seeds().get(0) : seed)
            .runInVirtualTime(point.scenario(), experiment.mutation());
    result.figures().forEach((name, value) -> System.out.printf("%-22s %.4f%n", name, value));
    result.byClass().forEach((name, value) -> System.out.printf("class %-16s %.4f%n", name, value));
    result
        .byTenant()
        .forEach((name, value) -> System.out.printf("tenant %-15s %.4f%n", name, value));
    result.breaches().forEach((rule, count) -> System.out.printf("rule %-17s %d%n", rule, count));
    result.breachTexts().forEach(System.out::println);
    System.out.printf(
        "trace %s, %d events, %.0f ms in %.0f ms%n",
        result.trace(), result.events(), result.passedMs(), result.tookMs());
    return result.totalViolations() > 0 ? RunCommand.INVARIANT_VIOLATED : 0;
  }
}
