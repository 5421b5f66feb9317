package ferngrade.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Searches for a trial that violates an invariant or has the lowest goodput. */
@Command(
    name = "search",
    description =
        "Searches for a trial that violates an invariant or has the lowest goodput, and minimizes"
            + " it.",
    mixinStandardHelpOptions = true)
final class SearchCommand implements Callable<Integer> {
  @Parameters(paramLabel = "EXPERIMENT")
  private Path file;

  @Option(
      names = "--seeds",
      paramLabel = "N",
      description = "The number of seeds to try, starting at 1; default 20.")
  private int seeds = 20;

  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "The file for the minimized experiment; printed by default.")
  private Path out;

  @Option(names = "--threads", paramLabel = "N")
  private int threads = Runtime.getRuntime().availableProcessors();

  @Override
  public Integer call() throws InterruptedException, IOException {
    try {
      Experiment experiment = ExperimentReader.read(file);
      ObjectNode source = experiment.source().deepCopy();
      source.put("seeds", seeds);
      Path folder = file.toAbsolutePath().getParent();
      Experiment allSeeds = ExperimentReader.read(file.toString(), folder, source);
      Search.Result found =
          new Search(allSeeds, folder, System.out::println).run(Math.max(1, threads));
      String toml = new TomlMapper().writeValueAsString(found.source());
      if (out == null) {
        System.out.println(toml);
      } else {
        Files.writeString(out, toml);
      }
      found.result().breachTexts().stream().limit(3).forEach(System.out::println);
      System.out.printf(
          "%s after %d runs%n",
          found.violatesInvariant() ? "an invariant is violated" : "no invariant is violated",
          found.runs());
      return found.violatesInvariant() ? RunCommand.INVARIANT_VIOLATED : 0;
    } catch (FileException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
