package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Writes a page that summarizes a bench's journal. */
@Command(
    name = "bench",
    description = "Writes a page that summarizes the days on real sockets in a bench's journal.",
    mixinStandardHelpOptions = true)
final class BenchCommand implements Callable<Integer> {
  @Parameters(paramLabel = "JOURNAL", description = "The folder with the journal.")
  private Path journal;

  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "The file for the page; printed by default.")
  private Path out;

  @Override
  public Integer call() throws IOException {
    try {
      String page = new BenchTable(journal).markdown();
      if (out == null) {
        System.out.print(page);
      } else {
        Files.writeString(out, page);
      }
      return 0;
    } catch (FileException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
