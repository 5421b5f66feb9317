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

/** Searches for the seed that shows most. */
@Command(
    name = "search",
    description = "Looks for a seed that breaks a rule or loses most, and makes it small.",
    mixinStandardHelpOptions = true)
final class SearchCommand implements Callable<Integer> {
  @Parameters(paramLabel = "EXPERIMENT")
  private Path file;

  @Option(
      names = "--seeds",
      paramLabel = "N",
      description = "Seeds to try, from 1 on; 20 if left out.")
  private int seeds = 20;

  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "Where the small experiment goes; printed if left out.")
  private Path out;

  @Option(names = "--threads", paramLabel = "N")
  private int threads = Runtime.getRuntime().availableProcessors();

  @Override
  public Integer call() throws InterruptedException, IOException {
    try {
      Experiment asked = ExperimentReader.read(file);
      ObjectNode source = asked.source().deepCopy();
      source.put("seeds", seeds);
      Path folder = file.toAbsolutePath().getParent();
      Experiment wide = ExperimentReader.read(file.toString(), folder, source);
      Search.Found found = new Search(wide, folder, System.out::println).run(Math.max(1, threads));
      String toml = new TomlMapper().writeValueAsString(found.source());
      if (out == null) {
        System.out.println(toml);
      } else {
        Files.writeString(out, toml);
      }
      found.result().breachTexts().stream().limit(3).forEach(System.out::println);
      System.out.printf(
          "%s after %d runs%n",
          found.breaksRule() ? "a rule is broken" : "no rule is broken", found.played());
      return found.breaksRule() ? RunCommand.RULE_BROKEN : 0;
    } catch (FileException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
