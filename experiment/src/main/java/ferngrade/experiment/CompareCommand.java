package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Holds two results against each other. */
@Command(
    name = "compare",
    description = "Compares two results, seed by seed, with 95 % intervals.",
    mixinStandardHelpOptions = true)
final class CompareCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "BEFORE")
  private Path before;

  @Parameters(index = "1", paramLabel = "AFTER")
  private Path after;

  @Override
  public Integer call() {
    List<Comparison.Row> rows;
    try {
      rows = new Comparison(Results.read(before), Results.read(after)).rows();
    } catch (FileException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
    if (rows.isEmpty()) {
      System.err.println("ferngrade: the two results share no setting, policy and seed");
      return Cli.BAD_CONFIG;
    }
    for (Comparison.Row row : rows) {
      System.out.printf(
          "%-30s %-14s %-14s %20s -> %-20s %s%s%n",
          row.cell().point(),
          row.cell().policy(),
          row.figure(),
          row.before(),
          row.after(),
          row.difference(),
          row.difference().differsFromZero() ? "" : "  (no difference shown)");
    }
    return 0;
  }
}
