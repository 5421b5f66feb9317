package ferngrade.cli;

import ferngrade.config.ConfigException;
import ferngrade.config.NodeConfig;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Validates the configuration as {@code serve} would, and prints a summary or the error. */
@Command(
    name = "check-config",
    description = "Validates the configuration file named by LB_CONFIG without starting a node.")
final class CheckConfig implements Callable<Integer> {
  @Override
  public Integer call() {
    try {
      NodeConfig config = NodeConfig.fromEnvironment(System.getenv());
      System.out.printf(
          "%s: listens at %s, %d classes, %d tenants, %d peers%n",
          config.name(),
          config.listen(),
          config.settings().classes().size(),
          config.settings().tenants().size(),
          config.peers().size());
      return 0;
    } catch (ConfigException invalid) {
      System.err.println("ferngrade: " + invalid.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
