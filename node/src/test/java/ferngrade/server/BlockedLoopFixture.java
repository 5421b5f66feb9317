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
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import org.testng.annotations.AfterMethod;

/**
 * Provides a node whose event loop a test can block at a log line, and connections to the node. The
 * node rejects all jobs unless a test overrides {@link #dispatcher}. The clock only moves when the
 * test advances it.
 */
public abstract class BlockedLoopFixture extends NodeIntegrationFixture {
  static final int MEMORY_MB = 256;
  private static final String BLOCK_LINE = "hold";
  static final String LATE_TIMER_LINE = "event loop held up: timer";

  private final List<RawHttp> connections = new ArrayList<>();
  FaultInjectingFileOperations files;
  private volatile String blockAtLine = "";
  CountDownLatch blockReached;
  CountDownLatch blockReleased = new CountDownLatch(0);

  @Override
  NodeServer startServer(NodeConfig config, Clock clock, RateLimitedLog log) throws Exception {
    files = new FaultInjectingFileOperations();
    return NodeServer.start(
        config,
        new NodeServer.Platform(null, Files.createTempDirectory("unread"), files),
        clock,
        log,
        (nodeConfig, startTime, actions) -> dispatcher(actions),
        channels);
  }

  /** Returns the dispatcher of the node, which rejects all jobs; tests may override it. */
  Dispatcher dispatcher(Dispatcher.Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("requestArrived")) {
                actions.reject(((Job) arguments[1]).id(), 0);
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  void start(int sockets) throws Exception {
    var config = configuration(discovery.getLocalPort(), null, "push");
    config.get("limits").asObject().set("sockets", sockets).set("memory_mb", MEMORY_MB);
    start(endpointList(1, "active"), NodeConfig.read(config), () -> now, this::onLogLine);
  }

  @AfterMethod(alwaysRun = true, timeOut = 10_000)
  @Override
  public void tearDown() throws Exception {
    blockAtLine = "";
    blockReleased.countDown();
    files.clearFault();
    for (RawHttp connection : connections) {
      connection.close();
    }
    connections.clear();
    super.tearDown();
  }

  /** Receives the log lines on the event loop, which it blocks at the requested line. */
  private void onLogLine(String line) {
    if (!blockAtLine.isEmpty() && line.startsWith(blockAtLine)) {
      blockAtLine = "";
      blockReached.countDown();
      try {
        blockReleased.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  void blockLoopAt(String line) {
    blockReached = new CountDownLatch(1);
    blockReleased = new CountDownLatch(1);
    blockAtLine = line;
  }

  void blockLoop() throws InterruptedException {
    blockLoopAt(BLOCK_LINE);
    node.report(BLOCK_LINE);
    blockReached.await();
  }

  RawHttp connect(InetSocketAddress address, String bytes) throws IOException {
    RawHttp connection = RawHttp.connect(address);
    connections.add(connection);
    return connection.write(bytes);
  }

  List<RawHttp> connect(int count, InetSocketAddress address, String bytes) throws IOException {
    List<RawHttp> opened = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      opened.add(connect(address, bytes.replace("ID", "%02d".formatted(i))));
    }
    return opened;
  }

  static String request(String id) {
    return RawHttp.message(jobHead("POST /api", id, "order"), "");
  }

  /** Returns the node's metrics whose names begin with {@code prefix}, by name. */
  Map<String, Long> metrics(String prefix) throws IOException {
    RawHttp operator = connect(node.adminAddress(), "GET /-/metrics HTTP/1.1\r\n\r\n");
    return operator
        .read()
        .body()
        .lines()
        .filter(line -> line.startsWith(prefix))
        .map(line -> line.split("=", 2))
        .collect(Collectors.toMap(line -> line[0], line -> Long.valueOf(line[1])));
  }

  /** Returns the status of the next answer, or how the connection ended without one. */
  static String outcome(RawHttp connection) throws IOException {
    try {
      RawHttp.Message answer = connection.read();
      return answer == null ? "closed" : Integer.toString(answer.status());
    } catch (SocketException reset) {
      return reset.getMessage();
    }
  }

  static void assertAllReceive(String status, List<RawHttp> callers) throws IOException {
    List<String> otherOutcomes = new ArrayList<>();
    for (RawHttp caller : callers) {
      String outcome = outcome(caller);
      if (!outcome.equals(status)) {
        otherOutcomes.add(outcome);
      }
    }
    assertEquals(
        otherOutcomes,
        List.of(),
        otherOutcomes.size() + " of " + callers.size() + " did not get " + status);
  }
}
