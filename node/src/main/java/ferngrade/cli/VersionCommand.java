package ferngrade.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Prints the version. */
@Command(name = "version", description = "Prints the version.")
final class VersionCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    System.out.println(new Cli.Version().getVersion()[0]);
    return 0;
  }
}
