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

/** Runs a node with a different policy, so that policies can also be compared on sockets. */
@Command(
    name = "node",
    description =
        "Runs a node with a policy other than the module's, configured by the LB_* variables.",
    mixinStandardHelpOptions = true)
final class NodeCommand implements Callable<Integer> {
  @Option(names = "--policy", required = true, paramLabel = "NAME")
  private String policy;

  @Override
  public Integer call() throws Exception {
    NodeConfig config;
    try {
      config = NodeConfig.fromEnvironment(System.getenv());
      Policies.byName(policy);
    } catch (ConfigException | IllegalArgumentException e) {
      System.err.println("ferngrade: " + e.getMessage());
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
            (assignment, now, actions) ->
                Policies.byName(policy)
                    .createDispatcher(
                        assignment.settings(), assignment.seed(), now, actions, null));
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    server.stop();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                },
                "stop"));
    stopped.await();
    return 0;
  }
}
