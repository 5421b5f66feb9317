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

/** Makes a page of a bench's journal. */
@Command(
    name = "bench",
    description = "Makes one page of what a bench's journal holds of days on real sockets.",
    mixinStandardHelpOptions = true)
final class BenchCommand implements Callable<Integer> {
  @Parameters(paramLabel = "JOURNAL", description = "The journal's folder.")
  private Path journal;

  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "Where the page goes; printed if left out.")
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
    } catch (FileException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
