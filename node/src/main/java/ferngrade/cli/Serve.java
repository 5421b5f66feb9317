package ferngrade.cli;

import ferngrade.config.ConfigException;
import ferngrade.config.NodeConfig;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.server.NodeServer;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a node until SIGTERM stops it; SIGHUP reloads its configuration. */
@Command(name = Serve.NAME, description = "Runs a node configured by the LB_* variables.")
final class Serve implements Callable<Integer> {
  static final String NAME = "serve";

  @Option(
      names = "--rehearse",
      description = "Start, exercise the code paths of normal operation, shut down and exit.")
  private boolean rehearse;

  @Override
  public Integer call() throws InterruptedException {
    useJdkLoggingInNetty();
    if (!rehearse) {
      return serve(null);
    }
    try (Rehearsal rehearsal = new Rehearsal(System.getenv())) {
      return serve(rehearsal);
    } catch (IOException failed) {
      System.err.println("ferngrade: rehearsal: " + failed.getMessage());
      return 1;
    }
  }

  /**
   * Makes Netty log through {@code java.util.logging}. By default Netty prefers any other logging
   * library on the class path, which would be loaded and configured before the node listens, for
   * messages that are rarely logged.
   */
  private static void useJdkLoggingInNetty() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  /**
   * Runs the node until a signal ends the process. If {@code rehearsal} is not null, runs the
   * rehearsal and returns.
   */
  private static int serve(Rehearsal rehearsal) throws InterruptedException {
    // Must come first: a SIGHUP without a handler would end the process during its start.
    ReloadSignal reloadSignal = ReloadSignal.install();
    NodeConfig config;
    try {
      config =
          NodeConfig.fromEnvironment(rehearsal == null ? System.getenv() : rehearsal.environment());
    } catch (ConfigException invalid) {
      System.err.println("ferngrade: " + invalid.getMessage());
      return Cli.BAD_CONFIG;
    }
    NodeServer.Platform platform;
    try {
      platform = SocketHandover.fromEnvironment(System.getenv());
    } catch (ConfigException invalid) {
      System.err.println("ferngrade: " + invalid.getMessage());
      return Cli.BAD_CONFIG;
    }
    Clock clock = Clock.system();
    long pid = ProcessHandle.current().pid();
    RateLimitedLog log =
        new RateLimitedLog(
            clock,
            // One write per line, because several processes of a node may share one log.
            line ->
                System.err.println(
                    String.format("%.3f %s[%d] %s", clock.now() / 1000, config.name(), pid, line)));
    log.line("starting" + (platform.inheritedListener() != null ? " on a socket handed over" : ""));
    NodeServer server;
    try {
      server =
          NodeServer.start(config, platform.withProcessName(config.name() + "/" + pid), clock, log);
    } catch (Exception failed) {
      System.err.println("ferngrade: listen: " + failed.getMessage());
      return 1;
    }
    if (rehearsal != null) {
      rehearsal.run(server, config.settings());
      server.stop();
      return 0;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "stop"));
    while (true) {
      reloadSignal.await();
      reload(server);
    }
  }

  /**
   * Reloads the configuration. Runs on the main thread, which reads and validates the file; the
   * event loop only applies the result.
   */
  private static void reload(NodeServer server) {
    try {
      server.reload(NodeConfig.reread(System.getenv()));
    } catch (ConfigException invalid) {
      server.reloadFailed("configuration stays as it is: " + invalid.getMessage());
    }
  }

  /**
   * Stops the server. Runs in the shutdown hook, on SIGTERM. Halts with exit code 0; without the
   * halt, the JVM exits with 143.
   */
  private static void stop(NodeServer server) {
    try {
      server.stopAndExit(() -> Runtime.getRuntime().halt(0));
    } catch (InterruptedException interrupted) {
      Runtime.getRuntime().halt(1);
    }
  }
}
