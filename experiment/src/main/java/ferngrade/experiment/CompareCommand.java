package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.toml.FileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Compares the results of two runs of an experiment. */
@Command(
    name = "compare",
    description = "Compares two results, paired by seed, with 95 % intervals.",
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
    } catch (FileException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
    if (rows.isEmpty()) {
      System.err.println("ferngrade: the two results have no point, policy and seed in common");
      return Cli.BAD_CONFIG;
    }
    for (Comparison.Row row : rows) {
      System.out.printf(
          "%-30s %-14s %-14s %20s -> %-20s %s%s%n",
          row.cell().point(),
          row.cell().policy(),
          row.metric(),
          row.before(),
          row.after(),
          row.difference(),
          row.difference().differsFromZero() ? "" : "  (not significant)");
    }
    return 0;
  }
}
