package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.io.Console;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs an experiment. */
@Command(
    name = "run",
    description = "Runs an experiment; writes results.json, tables, charts and report.html.",
    mixinStandardHelpOptions = true)
final class RunCommand implements Callable<Integer> {
  /** The exit code where a rule was broken by a policy that is to keep it. */
  static final int RULE_BROKEN = 3;

  /** The exit code of a run on sockets that a busy machine has made void. */
  static final int VOID = 4;

  /** The exit code of a run that was interrupted: what had ended is kept. */
  static final int INTERRUPTED = 130;

  @Parameters(paramLabel = "EXPERIMENT", description = "The experiment, a TOML file.")
  private Path file;

  @Option(
      names = "--out",
      required = true,
      paramLabel = "DIR",
      description = "Where the results go.")
  private Path out;

  @Option(
      names = "--threads",
      paramLabel = "N",
      description = "Runs at a time; the cores if left out.")
  private int threads = Runtime.getRuntime().availableProcessors();

  @Option(
      names = "--sockets",
      description = "On loopback sockets and in real time, round real nodes.")
  private boolean sockets;

  @Option(
      names = "--node",
      paramLabel = "COMMAND",
      description =
          "With --sockets: what starts a node, split at"
              + " blanks; this program's serve if left out.")
  private String node = "";

  @Override
  public Integer call() throws InterruptedException, IOException {
    Experiment experiment;
    try {
      experiment = ExperimentReader.read(file);
    } catch (FileException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
    ExperimentRunner laboratory = new ExperimentRunner(Math.max(1, threads));
    SocketExperimentRunner onSockets =
        new SocketExperimentRunner(
            node.isBlank() ? List.of() : List.of(node.split(" +")), out.resolve("nodes"));
    // Ctrl-C: what has ended is written before the process goes.
    CountDownLatch written = new CountDownLatch(1);
    Thread hook =
        new Thread(
            () -> {
              laboratory.stop();
              onSockets.stop();
              try {
                written.await();
              } catch (InterruptedException impatient) {
                Thread.currentThread().interrupt();
              }
            },
            "interrupted");
    Runtime.getRuntime().addShutdownHook(hook);
    try {
      List<ExperimentRun.Result> trials;
      Consumer<String> progressLines = System.out::println;
      try (Progress progress =
          new Progress(experiment.name(), experiment.trials(), onTerminal(), progressLines)) {
        trials =
            sockets
                ? onSockets.run(experiment, each -> progress.step())
                : laboratory.run(experiment, each -> progress.step());
      }
      Results results = Results.of(experiment, trials);
      results.write(out);
      Report.write(results, out);
      summary(results);
      if (!results.complete()) {
        return sockets && !laboratory.stopped() ? VOID : INTERRUPTED;
      }
      boolean broken =
          results.trials().stream()
              .anyMatch(each -> each.policy().equals("module") && each.allBreaches() > 0);
      return broken ? RULE_BROKEN : 0;
    } finally {
      written.countDown();
    }
  }

  private static boolean onTerminal() {
    return isTerminal(System.console());
  }

  /** Java 22 and later have a console without a terminal too, and can tell the two apart. */
  private static boolean isTerminal(Console console) {
    if (console == null) {
      return false;
    }
    try {
      return (boolean) Console.class.getMethod("isTerminal").invoke(console);
    } catch (NoSuchMethodException beforeJava22) {
      return true;
    } catch (ReflectiveOperationException unexpected) {
      throw new IllegalStateException(unexpected);
    }
  }

  static void summary(Results results) {
    for (Results.Cell cell : results.cells()) {
      long breaches =
          results.of(cell).values().stream().mapToLong(ExperimentRun.Result::allBreaches).sum();
      System.out.printf(
          "%-14s %s goodput %s  p99 %s ms%s%n",
          cell.policy(),
          cell.point(),
          results.estimate(cell, ExperimentRun.Result::goodput),
          results.estimate(cell, each -> each.figures().get("p99 ms")),
          breaches > 0 ? "  rules broken: " + breaches : "");
    }
  }
}
