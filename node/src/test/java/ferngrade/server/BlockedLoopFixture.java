package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.config.NodeConfig;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Job;
import ferngrade.http.RawHttp;
import ferngrade.node.Clock;
import ferngrade.node.FaultInjectingFileOperations;
import ferngrade.node.RateLimitedLog;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;

/**
 * A node that refuses all jobs, unless a story decides otherwise, whose event loop a test can hold
 * at a line of the log, and its callers. The clock stands still but where the test moves it.
 */
public abstract class HeldLoopFixture extends NodeIntegrationFixture {
  static final int MEMORY_MB = 256;
  private static final String HOLD = "hold";
  static final String TIMER_IS_LATE = "event loop held up: timer";

  private final List<RawHttp> connections = new ArrayList<>();
  FaultInjectingFileOperations files;
  private volatile String holdAt = "";
  CountDownLatch held;
  CountDownLatch release = new CountDownLatch(0);

  @Override
  NodeServer startServer(NodeConfig config, Clock clock, RateLimitedLog log) throws Exception {
    files = new FaultInjectingFileOperations();
    return NodeServer.start(
        config,
        new NodeServer.Platform(null, Files.createTempDirectory("unread"), files),
        clock,
        log,
        (started, at, actions) -> dispatcher(actions),
        channels);
  }

  /** The decisions of the node; overridden where a story brings its own. */
  Dispatcher dispatcher(Dispatcher.Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (self, method, with) -> {
              if (method.getName().equals("arrived")) {
                actions.refuse(((Job) with[1]).id(), 0);
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  void start(int sockets) throws Exception {
    var config = configuration(discovery.getLocalPort(), null, "push");
    config.get("limits").asObject().set("sockets", sockets).set("memory_mb", MEMORY_MB);
    start(list(1, "active"), NodeConfig.read(config), () -> now, this::logged);
  }

  @AfterMethod(alwaysRun = true, timeOut = 10_000)
  @Override
  public void end() throws Exception {
    holdAt = "";
    release.countDown();
    files.heal();
    for (RawHttp each : connections) {
      each.close();
    }
    connections.clear();
    super.end();
  }

  /** Runs on the loop, which it holds at the line awaited. */
  private void logged(String line) {
    if (!holdAt.isEmpty() && line.startsWith(holdAt)) {
      holdAt = "";
      held.countDown();
      try {
        release.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  void holdNextAt(String line) {
    held = new CountDownLatch(1);
    release = new CountDownLatch(1);
    holdAt = line;
  }

  void hold() throws InterruptedException {
    holdNextAt(HOLD);
    node.report(HOLD);
    held.await();
  }

  RawHttp connect(InetSocketAddress address, String bytes) throws IOException {
    RawHttp connection = RawHttp.to(address);
    connections.add(connection);
    return connection.write(bytes);
  }

  List<RawHttp> connect(int count, InetSocketAddress address, String bytes) throws IOException {
    List<RawHttp> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(connect(address, bytes.replace("ID", "%02d".formatted(i))));
    }
    return all;
  }

  static String request(String id) {
    return RawHttp.message(job("POST /api", id, "order"), "");
  }

  /** The status of the answer, or how the connection ended without one. */
  static String outcome(RawHttp connection) throws IOException {
    try {
      RawHttp.Message answer = connection.read();
      return answer == null ? "closed" : Integer.toString(answer.status());
    } catch (SocketException reset) {
      return reset.getMessage();
    }
  }

  static void assertAllGet(String status, List<RawHttp> callers) throws IOException {
    List<String> others = new ArrayList<>();
    for (RawHttp each : callers) {
      String outcome = outcome(each);
      if (!outcome.equals(status)) {
        others.add(outcome);
      }
    }
    assertEquals(others, List.of(), others.size() + " of " + callers.size() + " got no " + status);
  }
}
