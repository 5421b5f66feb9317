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
  /** The exit code if the module's policy violated an invariant. */
  static final int INVARIANT_VIOLATED = 3;

  /** The exit code if a run on sockets is invalid because the machine was too busy. */
  static final int RUN_INVALID = 4;

  /** The exit code of an interrupted run; the results of finished trials are written. */
  static final int INTERRUPTED = 130;

  @Parameters(paramLabel = "EXPERIMENT", description = "The experiment, a TOML file.")
  private Path file;

  @Option(
      names = "--out",
      required = true,
      paramLabel = "DIR",
      description = "The folder for the results.")
  private Path out;

  @Option(
      names = "--threads",
      paramLabel = "N",
      description = "The number of concurrent trials; by default the number of processors.")
  private int threads = Runtime.getRuntime().availableProcessors();

  @Option(
      names = "--sockets",
      description = "Runs in real time on loopback sockets against real nodes.")
  private boolean sockets;

  @Option(
      names = "--node",
      paramLabel = "COMMAND",
      description =
          "With --sockets: the command that starts a node, split at"
              + " spaces; by default this program's serve.")
  private String node = "";

  @Override
  public Integer call() throws InterruptedException, IOException {
    Experiment experiment;
    try {
      experiment = ExperimentReader.read(file);
    } catch (FileException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
    ExperimentRunner runner = new ExperimentRunner(Math.max(1, threads));
    SocketExperimentRunner socketRunner =
        new SocketExperimentRunner(
            node.isBlank() ? List.of() : List.of(node.split(" +")), out.resolve("nodes"));
    // On SIGINT the results of finished trials are written before the process exits.
    CountDownLatch resultsWritten = new CountDownLatch(1);
    Thread shutdownHook =
        new Thread(
            () -> {
              runner.stop();
              socketRunner.stop();
              try {
                resultsWritten.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "interrupted");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      List<ExperimentRun.Result> trials;
      Consumer<String> progressLines = System.out::println;
      try (Progress progress =
          new Progress(experiment.name(), experiment.trials(), onTerminal(), progressLines)) {
        trials =
            sockets
                ? socketRunner.run(experiment, result -> progress.step())
                : runner.run(experiment, result -> progress.step());
      }
      Results results = Results.of(experiment, trials);
      results.write(out);
      Report.write(results, out);
      printSummary(results);
      if (!results.complete()) {
        return sockets && !runner.stopped() ? RUN_INVALID : INTERRUPTED;
      }
      boolean violated =
          results.trials().stream()
              .anyMatch(result -> result.policy().equals("module") && result.totalViolations() > 0);
      return violated ? INVARIANT_VIOLATED : 0;
    } finally {
      resultsWritten.countDown();
    }
  }

  private static boolean onTerminal() {
    return isTerminal(System.console());
  }

  /**
   * Returns true if the console is a terminal. Since Java 22 System.console() also returns a
   * console when there is no terminal, and Console.isTerminal() distinguishes the two cases.
   */
  private static boolean isTerminal(Console console) {
    if (console == null) {
      return false;
    }
    try {
      return (boolean) Console.class.getMethod("isTerminal").invoke(console);
    } catch (NoSuchMethodException e) {
      return true;
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  static void printSummary(Results results) {
    for (Results.Cell cell : results.cells()) {
      long violations =
          results.of(cell).values().stream().mapToLong(ExperimentRun.Result::totalViolations).sum();
      System.out.printf(
          "%-14s %s goodput %s  p99 %s ms%s%n",
          cell.policy(),
          cell.point(),
          results.estimate(cell, ExperimentRun.Result::goodput),
          results.estimate(cell, result -> result.figures().get("p99 ms")),
          violations > 0 ? "  invariant violations: " + violations : "");
    }
  }
}
