package ferngrade.cli;

import ferngrade.config.ConfigException;
import ferngrade.config.NodeConfig;
import ferngrade.net.NodeServer;
import ferngrade.node.Clock;
import ferngrade.node.Log;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;

/** Runs a node until it is told to stop. */
@Command(name = "serve", description = "Runs a node, as the LB_* variables say.")
final class Serve implements Callable<Integer> {
    @Override
    public Integer call() throws InterruptedException {
        NodeConfig config;
        try {
            config = NodeConfig.fromEnvironment(System.getenv());
        } catch (ConfigException bad) {
            System.err.println("ferngrade: " + bad.getMessage());
            return Cli.BAD_CONFIG;
        }
        Clock clock = Clock.system();
        Log log = new Log(clock, line -> System.err.printf("%.3f %s %s%n", clock.now() / 1000, config.name(), line));
        NodeServer server;
        try {
            server = NodeServer.start(config, clock, log);
        } catch (Exception failed) {
            System.err.println("ferngrade: listen: " + failed.getMessage());
            return 1;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "stop"));
        new CountDownLatch(1).await();
        return 0;
    }

    /** Runs as the answer to SIGTERM. The halt gives the exit code 0: left alone, the runtime ends with 143. */
    private static void stop(NodeServer server) {
        try {
            server.stop();
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException interrupted) {
            Runtime.getRuntime().halt(1);
        }
    }
}
