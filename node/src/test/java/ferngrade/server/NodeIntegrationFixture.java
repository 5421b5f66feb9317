package ferngrade.server;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import ferngrade.config.NodeConfig;
import ferngrade.http.RawHttp;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.transport.ChannelProvider;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Runs a whole node on loopback sockets; the test acts as its worker and its discovery. */
public abstract class NodeIntegrationFixture {
  /** The listening socket of the only reachable worker in the endpoint list. */
  ServerSocket worker;

  /** The listening socket of discovery. */
  ServerSocket discovery;

  /** The time of a node that a test starts with the clock {@code () -> now}, in ms. */
  volatile double now;

  /** Discovery's end of the watch connection; null if the node was started without a list. */
  RawHttp watch;

  NodeServer node;

  /**
   * The factory of the node's channels. A test that injects faults replaces it before the start.
   */
  ChannelProvider channels = ChannelProvider.SOCKETS;

  @BeforeMethod
  public void openListeners() throws IOException {
    now = 1_000_000;
    worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    worker.setSoTimeout(10_000);
    discovery.setSoTimeout(10_000);
  }

  @AfterMethod(alwaysRun = true, timeOut = 10_000)
  public void tearDown() throws Exception {
    worker.close();
    discovery.close();
    node.stop(0);
  }

  /** Advances {@link #now}, which the event loop reads through the clock. */
  final synchronized void advance(double millis) {
    now += millis;
  }

  void stop() {
    try {
      node.stop();
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  static void awaitReadyStatus(RawHttp client, int status) throws IOException {
    while (client.write("GET /-/ready HTTP/1.1\r\n\r\n").read().status() != status) {
      Thread.onSpinWait();
    }
  }

  /** Starts a node; discovery sends {@code list}, or nothing if it is null. */
  void start(String list) throws Exception {
    start(list, Clock.system());
  }

  void start(String list, Clock clock) throws Exception {
    start(list, config(discovery.getLocalPort(), null), clock, line -> {});
  }

  /**
   * Starts a node with the given configuration and log; see {@link #start(String)} for {@code
   * list}.
   */
  void start(String list, NodeConfig config, Clock clock, Consumer<String> log) throws Exception {
    node = startServer(config, clock, new RateLimitedLog(clock, log));
    if (list != null) {
      watch = new RawHttp(discovery.accept());
      watch.read();
      watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list + "\n"));
      try (RawHttp client = RawHttp.connect(node.address())) {
        awaitReadyStatus(client, 200);
      }
    }
  }

  /** Starts the server; overridden by tests that use their own dispatcher. */
  NodeServer startServer(NodeConfig config, Clock clock, RateLimitedLog log) throws Exception {
    return NodeServer.start(config, NodeServer.Platform.NONE, clock, log, channels);
  }

  void start(NodeConfig config, Clock clock) throws Exception {
    start(null, config, clock, line -> {});
  }

  /**
   * Returns once the node has processed all bytes and closes that were sent before this call. The
   * event loop reads them no later than the first of the three readiness requests sent here, and
   * completes the resulting work before it reads the second request.
   */
  void awaitSettled() throws IOException {
    try (RawHttp client = RawHttp.connect(node.address())) {
      for (int i = 0; i < 3; i++) {
        client.write("GET /-/ready HTTP/1.1\r\n\r\n").read();
      }
    }
  }

  static NodeConfig config(int discoveryPort, String known) throws Exception {
    return config(discoveryPort, known, "push");
  }

  static NodeConfig config(int discoveryPort, String known, String mode) throws Exception {
    return NodeConfig.read(configuration(discoveryPort, known, mode));
  }

  /** Returns a configuration in which all classes have the same deadline, in ms. */
  public static NodeConfig config(int discoveryPort, String known, String mode, double deadline)
      throws Exception {
    JsonObject json = configuration(discoveryPort, known, mode);
    json.get("settings")
        .asObject()
        .get("Classes")
        .asArray()
        .forEach(jobClass -> jobClass.asObject().set("Deadline", deadline));
    return NodeConfig.read(json);
  }

  /** Returns the configuration as JSON, as the platform writes it to a file. */
  static JsonObject configuration(int discoveryPort, String known, String mode) {
    String config =
        "{'name':'n0','listen':'127.0.0.1:0','admin':'127.0.0.1:0','discovery':'127.0.0.1:"
            + discoveryPort
            + "','seed':'7','limits':{'sockets':64},'settings':{'Discovery':'"
            + mode
            + "','Zones':['z'],'Kinds':['k'],'Tenants':[{'Name':'t','Share':1}],"
            + "'Extra':{'TellsStart':true},'Ceilings':{'MostTries':5,'ConnectTimeout':5000,'RetryAfter':true,'MaxRetryAfter':2000},"
            + "'Classes':[{'Name':'order','Effect':'at_most_once','Deadline':9000.0},"
            + "{'Name':'plan','Effect':'deduplicated','KeyScope':'all'},"
            + "{'Name':'draft','Effect':'idempotent','Deadline':9000.0}]}}";
    var json = Json.parse(config.replace('\'', '"')).asObject();
    if (known != null) {
      json.set("known", Json.parse(known));
    }
    return json;
  }

  String endpointList(int revision, String phase) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:"
        + worker.getLocalPort()
        + "\",\"locality\":\"z\",\"flavor\":\"k\",\"phase\":\""
        + phase
        + "\"},"
        + "{\"id\":\"s-2\",\"host_port\":7,\"phase\":\"active\"}]}";
  }

  static String jobHead(String target, String id, String jobClass) {
    return target
        + " HTTP/1.1\r\nReq-Id: "
        + id
        + "\r\nReq-Kind: "
        + jobClass
        + "\r\nReq-Owner: t\r\nReq-Deadline: 9000m";
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  int sendCallback(String id, String fields) throws IOException {
    return sendCallback(node.address(), id, fields);
  }

  static int sendCallback(InetSocketAddress address, String id, String fields) throws IOException {
    try (RawHttp caller = RawHttp.connect(address)) {
      String body = "{\"id\":\"" + id + "\",\"from\":\"s-1\"," + fields + "}";
      return caller.write(RawHttp.message("POST /_jobs/news HTTP/1.1", body)).read().status();
    }
  }
}
