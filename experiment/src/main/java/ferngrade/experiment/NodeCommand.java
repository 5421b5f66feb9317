package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.config.ConfigException;
import ferngrade.config.NodeConfig;
import ferngrade.emulator.policy.Policies;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.server.NodeServer;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A node round another policy, so that policies can be held against each other on sockets too. */
@Command(
    name = "node",
    description = "Runs a node with another policy than the module's, as the LB_* variables say.",
    mixinStandardHelpOptions = true)
final class NodeCommand implements Callable<Integer> {
  @Option(names = "--policy", required = true, paramLabel = "NAME")
  private String policy;

  @Override
  public Integer call() throws Exception {
    NodeConfig config;
    try {
      config = NodeConfig.fromEnvironment(System.getenv());
      Policies.named(policy);
    } catch (ConfigException | IllegalArgumentException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
    Clock clock = Clock.system();
    RateLimitedLog log =
        new RateLimitedLog(
            clock,
            line -> System.err.printf("%.3f %s %s%n", clock.now() / 1000, config.name(), line));
    NodeServer server =
        NodeServer.start(
            config,
            clock,
            log,
            (told, now, actions) ->
                Policies.named(policy).start(told.settings(), told.seed(), now, actions, null));
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    server.stop();
                  } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                  }
                },
                "stop"));
    stopped.await();
    return 0;
  }
}
