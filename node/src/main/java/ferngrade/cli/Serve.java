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

/** Runs a node until a signal stops it; on SIGHUP it reloads its configuration. */
@Command(name = Serve.NAME, description = "Runs a node, as the LB_* variables say.")
final class Serve implements Callable<Integer> {
  static final String NAME = "serve";

  @Option(
      names = "--rehearse",
      description = "Start, play what a node meets in service, stop in order and end.")
  private boolean rehearse;

  @Override
  public Integer call() throws InterruptedException {
    logNettyThroughTheRuntime();
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
   * Netty looks for other logging libraries first. One that is on the class path would be loaded
   * and configured before the node listens, for messages that a node hardly ever gets.
   */
  private static void logNettyThroughTheRuntime() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  /** Serves until a signal ends the process, or the rehearsal is over if there is one. */
  private static int serve(Rehearsal rehearsal) throws InterruptedException {
    // First of all: a SIGHUP that came while the node still starts would end it.
    ReloadSignal hangup = ReloadSignal.caught();
    NodeConfig config;
    try {
      config =
          NodeConfig.fromEnvironment(rehearsal == null ? System.getenv() : rehearsal.environment());
    } catch (ConfigException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
    NodeServer.Platform platform;
    try {
      platform = SocketHandover.fromEnvironment(System.getenv());
    } catch (ConfigException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
    Clock clock = Clock.system();
    long pid = ProcessHandle.current().pid();
    RateLimitedLog log =
        new RateLimitedLog(
            clock,
            // Written at once: several processes of a node may write to one log.
            line ->
                System.err.println(
                    String.format("%.3f %s[%d] %s", clock.now() / 1000, config.name(), pid, line)));
    log.line("starting" + (platform.accepted() != null ? " on a socket handed over" : ""));
    NodeServer server;
    try {
      server =
          NodeServer.start(config, platform.identifiedAs(config.name() + "/" + pid), clock, log);
    } catch (Exception failed) {
      System.err.println("ferngrade: listen: " + failed.getMessage());
      return 1;
    }
    if (rehearsal != null) {
      rehearsal.play(server, config.settings());
      server.stop();
      return 0;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "stop"));
    while (true) {
      hangup.await();
      reload(server);
    }
  }

  /**
   * Runs on the main thread: the file is read and checked here, the event loop only takes over the
   * outcome.
   */
  private static void reload(NodeServer server) {
    try {
      server.reload(NodeConfig.reread(System.getenv()));
    } catch (ConfigException bad) {
      server.reloadFailed("configuration stays as it is: " + bad.getMessage());
    }
  }

  /**
   * Runs as the answer to SIGTERM. The halt gives the exit code 0: left alone, the runtime ends
   * with 143.
   */
  private static void stop(NodeServer server) {
    try {
      server.stopAndExit(() -> Runtime.getRuntime().halt(0));
    } catch (InterruptedException interrupted) {
      Runtime.getRuntime().halt(1);
    }
  }
}
