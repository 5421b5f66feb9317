package ferngrade.faulttest.upgrade;

import ferngrade.cli.SocketHandover;
import ferngrade.config.NodeConfig;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.server.NodeServer;
import ferngrade.transport.ChannelProvider;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs a node with one {@link Mutation}, started like {@code serve}; the first argument names the
 * mutation. The checkers must detect each mutation.
 */
public final class MutantNode {
  /**
   * The number of requests per second that the budget admits with {@link
   * Mutation#BUDGET_NEVER_GROWS}.
   */
  private static final double FIXED_REQUESTS_PER_SECOND = 5;

  private static final long SIGNAL_DELAY_MILLIS = 600;

  private MutantNode() {}

  /**
   * Returns the command that starts a node with this mutation. The node runs the classes of this
   * program.
   */
  public static List<String> command(Mutation mutation) {
    List<String> command = new ArrayList<>(UpgradeRun.currentProgramCommand());
    int main = command.indexOf("ferngrade.Main");
    command.set(main, MutantNode.class.getName());
    command.set(main + 1, mutation.name());
    return command;
  }

  /** Serves until SIGTERM. */
  public static void main(String[] arguments) throws Exception {
    Mutation mutation = Mutation.valueOf(arguments[0]);
    NodeConfig config = NodeConfig.fromEnvironment(System.getenv());
    Clock clock = Clock.system();
    long pid = ProcessHandle.current().pid();
    RateLimitedLog log =
        new RateLimitedLog(
            clock,
            line ->
                System.err.println(
                    String.format("%.3f %s[%d] %s", clock.now() / 1000, config.name(), pid, line)));
    NodeServer server =
        NodeServer.start(
            config,
            SocketHandover.fromEnvironment(System.getenv())
                .withProcessName(config.name() + "/" + pid),
            clock,
            log,
            (started, now, actions) -> dispatcher(mutation, started, now, actions),
            channels(mutation));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(mutation, server), "stop"));
    Thread.currentThread().join();
  }

  private static void stop(Mutation mutation, NodeServer server) {
    try {
      if (mutation == Mutation.SIGNAL_NOTICED_LATE) {
        Thread.sleep(SIGNAL_DELAY_MILLIS);
      }
      server.stopAndExit(() -> Runtime.getRuntime().halt(0));
    } catch (InterruptedException interrupted) {
      Runtime.getRuntime().halt(1);
    }
  }

  private static ChannelProvider channels(Mutation mutation) {
    return switch (mutation) {
      case LATE_GUARD_TIMER, HALF_WRITTEN_ANSWER -> new MutantChannels(mutation);
      case BUDGET_NEVER_GROWS, SIGNAL_NOTICED_LATE -> ChannelProvider.SOCKETS;
    };
  }

  private static Dispatcher dispatcher(
      Mutation mutation, NodeConfig config, double now, Dispatcher.Actions actions) {
    Dispatcher delegate = new ThrottlingDispatcher(config.settings(), config.seed(), now, actions);
    return mutation == Mutation.BUDGET_NEVER_GROWS ? withFixedBudget(delegate, actions) : delegate;
  }

  private static Dispatcher withFixedBudget(Dispatcher delegate, Dispatcher.Actions actions) {
    double[] nextAt = {0};
    return (Dispatcher)
        Proxy.newProxyInstance(
            MutantNode.class.getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (proxy, method, invocationArguments) -> {
              if (method.getName().equals("requestArrived")) {
                double now = (Double) invocationArguments[0];
                if (now < nextAt[0]) {
                  actions.reject(((Job) invocationArguments[1]).id(), 0);
                  return null;
                }
                nextAt[0] = now + 1000 / FIXED_REQUESTS_PER_SECOND;
              }
              try {
                return method.invoke(delegate, invocationArguments);
              } catch (InvocationTargetException wrapper) {
                throw wrapper.getCause();
              }
            });
  }
}
