package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.config.EndpointListParser;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.socket.LoadRun;
import ferngrade.toml.FileException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Sends the load of an experiment to nodes that are already running. */
@Command(
    name = "load",
    description = "Sends the open-loop load of an experiment to nodes that are already running.",
    mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {
  @Parameters(
      index = "0",
      paramLabel = "EXPERIMENT",
      description = "The experiment; only its workload and duration are used.")
  private Path file;

  @Parameters(
      index = "1..*",
      arity = "1..*",
      paramLabel = "ADDRESS",
      description = "The addresses at which the nodes listen.")
  private List<String> targets;

  @Option(names = "--seed", paramLabel = "SEED")
  private long seed = 1;

  @Override
  public Integer call() throws InterruptedException {
    Scenario scenario;
    List<InetSocketAddress> addresses = new ArrayList<>();
    try {
      scenario = ExperimentReader.read(file).points().get(0).scenario();
      for (String target : targets) {
        InetSocketAddress address = EndpointListParser.address(target);
        if (!address.getAddress().isLoopbackAddress()) {
          throw new IllegalArgumentException("is not a loopback address: " + target);
        }
        addresses.add(address);
      }
    } catch (FileException | IllegalArgumentException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
    Statistics statistics = new Statistics(scenario, Double.NaN);
    String invalidReason = new LoadRun(scenario, seed, addresses, List.of(statistics)).run();
    statistics.metrics().forEach((name, value) -> System.out.printf("%-22s %.4f%n", name, value));
    if (invalidReason != null) {
      System.err.println("ferngrade: invalid run, the machine was too busy: " + invalidReason);
      return RunCommand.RUN_INVALID;
    }
    return 0;
  }
}
