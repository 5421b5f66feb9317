package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Writes the report of kept results anew. */
@Command(
    name = "report",
    description = "Writes tables, charts and report.html of kept results anew.",
    mixinStandardHelpOptions = true)
final class ReportCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "A folder with results.json.")
  private Path folder;

  @Override
  public Integer call() {
    try {
      Results results = Results.read(folder);
      results.write(folder);
      Report.write(results, folder);
      System.out.println(folder.resolve("report.html"));
      return 0;
    } catch (FileException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
