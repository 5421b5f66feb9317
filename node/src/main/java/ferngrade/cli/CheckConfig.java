package ferngrade.cli;

import ferngrade.config.ConfigException;
import ferngrade.config.NodeConfig;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Reads the configuration as {@code serve} would, and says what it holds or what is wrong. */
@Command(
    name = "check-config",
    description = "Reads the configuration that LB_CONFIG names, without serving.")
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
    } catch (ConfigException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
  }
}
