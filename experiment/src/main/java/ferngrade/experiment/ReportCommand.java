package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Regenerates the tables, charts and report of stored results. */
@Command(
    name = "report",
    description = "Regenerates the tables, charts and report.html of stored results.",
    mixinStandardHelpOptions = true)
final class ReportCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "The folder with results.json.")
  private Path folder;

  @Override
  public Integer call() {
    try {
      Results results = Results.read(folder);
      results.write(folder);
      Report.write(results, folder);
      System.out.println(folder.resolve("report.html"));
      return 0;
    } catch (FileException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
