package ferngrade.cli;

import ferngrade.config.ConfigException;
import ferngrade.config.NodeConfig;
import ferngrade.dispatch.DispatcherSettings;
import ferngrade.server.NodeServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exercises the code paths of normal operation once, over loopback connections: jobs with every
 * outcome, malformed requests, operators' calls, a change of the discovery address. The classes
 * loaded here go into the class archive; a class loaded for the first time in production blocks the
 * event loop. Blocks the calling thread, which must not be the event loop.
 */
final class Rehearsal implements AutoCloseable {
  /**
   * The deadline of the first job, ms. If the worker reports no outcome, the node answers at this
   * deadline, which is shorter than the read timeout of the connection.
   */
  private static final int SHORT_DEADLINE_MILLIS = 300;

  private static final int LONG_DEADLINE_MILLIS = 1500;

  /** An address that refuses connections. */
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

  /** The number of pipelined requests; the event loop needs several iterations for them. */
  private static final int PIPELINED_REQUESTS = 100;

  private static final int MAX_READY_POLLS = 50;
  private static final int READY_POLL_MILLIS = 20;

  private final Map<String, String> environment;
  private final RehearsalPlatform platform = new RehearsalPlatform();
  private final RehearsalPlatform newPlatform = new RehearsalPlatform();
  private String jobClass;
  private String tenant;
  private long jobCount;

  /** Prepares a rehearsal of a node that is started with these environment variables. */
  Rehearsal(Map<String, String> environment) throws IOException {
    this.environment = new HashMap<>(environment);
    this.environment.put("LB_DISCOVERY", platform.address());
    this.environment.put("LB_ADMIN", "127.0.0.1:0");
  }

  /**
   * Returns the environment variables of the node, with the rehearsal's discovery address and a
   * listening address for operators.
   */
  Map<String, String> environment() {
    return environment;
  }

  /**
   * Runs all steps with the first class and tenant of these settings. A failed step ends the
   * rehearsal, and the classes of the remaining steps are missing from the archive.
   */
  void run(NodeServer server, DispatcherSettings settings) throws InterruptedException {
    jobClass = settings.classes().get(0).name();
    tenant = settings.tenants().get(0).name();
    platform.setNodeAddress(server.address());
    newPlatform.setNodeAddress(server.address());
    try {
      awaitReady(server.adminAddress());
      sendJobsOfAllKinds(server.address());
      sendMalformedRequests(server.address());
      sendPipelinedRequests(server.address());
      disconnectDuringJob(server.address());
      callAdminEndpoints(server.adminAddress());
      reload(server);
      sendJobsOfAllKinds(server.address());
    } catch (IOException | ConfigException failed) {
      server.report("rehearsal is incomplete: " + failed);
    }
  }

  private static void awaitReady(InetSocketAddress admin) throws IOException, InterruptedException {
    for (int i = 0; i < MAX_READY_POLLS; i++) {
      if (call(admin, "GET /-/ready").contains(" 200 ")) {
        return;
      }
      Thread.sleep(READY_POLL_MILLIS);
    }
    throw new IOException("node did not become ready");
  }

  private void sendJobsOfAllKinds(InetSocketAddress node) throws IOException {
    for (RehearsalPlatform.JobKind kind : RehearsalPlatform.JobKind.values()) {
      try (RehearsalConnection client = RehearsalConnection.connect(node)) {
        client.write(jobRequest(SHORT_DEADLINE_MILLIS), kind.name()).read();
        String next = jobRequest(LONG_DEADLINE_MILLIS);
        String body = RehearsalPlatform.JobKind.DONE.name();
        client.write(next, body).write(jobRequest(LONG_DEADLINE_MILLIS), body);
        client.read();
        client.read();
      }
    }
  }

  private String jobRequest(int deadlineMillis) {
    return String.format(
        "POST /api HTTP/1.1\r\nHost: node\r\nReq-Id: %1$016x\r\nIdempotency-Key: %1$016x\r\n"
            + "Req-Kind: %2$s\r\nReq-Owner: %3$s\r\nReq-Deadline: %4$dm",
        ++jobCount, jobClass, tenant, deadlineMillis);
  }

  private static void sendMalformedRequests(InetSocketAddress node) throws IOException {
    for (String request :
        List.of(
            "POST /api HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n",
            "POST /api HTTP/1.1\r\nHost: node\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n",
            "GET /nowhere HTTP/1.1\r\nHost: node\r\n\r\n",
            "POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: 1\r\n\r\n{",
            "POST /api HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n",
            "\u0000 no request\r\n\r\n")) {
      try (RehearsalConnection client = RehearsalConnection.connect(node)) {
        client.write(request).read();
      }
    }
    try (RehearsalConnection client = RehearsalConnection.connect(node)) {
      client.write("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf").read();
    }
  }

  private static void sendPipelinedRequests(InetSocketAddress node) throws IOException {
    try (RehearsalConnection client = RehearsalConnection.connect(node)) {
      client.write("GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n".repeat(PIPELINED_REQUESTS));
      for (int i = 0; i < PIPELINED_REQUESTS; i++) {
        client.read();
      }
    }
  }

  private void disconnectDuringJob(InetSocketAddress node) throws IOException {
    try (RehearsalConnection client = RehearsalConnection.connect(node)) {
      client.write(jobRequest(LONG_DEADLINE_MILLIS), RehearsalPlatform.JobKind.SILENT.name());
    }
  }

  private static void callAdminEndpoints(InetSocketAddress admin) throws IOException {
    String worker = "POST /-/menu-workers/" + RehearsalPlatform.WORKER;
    for (String call :
        List.of(
            "GET /-/metrics",
            worker + "/disable",
            worker + "/enable",
            "POST /-/menu-workers/nobody/disable",
            "GET /-/nowhere",
            "POST /-/drain",
            "GET /-/ready",
            "POST /-/resume")) {
      call(admin, call);
    }
  }

  /** Sends a request to the operators' address and returns the first line of the response. */
  private static String call(InetSocketAddress admin, String call) throws IOException {
    try (RehearsalConnection caller = RehearsalConnection.connect(admin)) {
      RehearsalConnection.Message answer =
          caller.write(call + " HTTP/1.1\r\nHost: node", "").read();
      return answer == null ? "" : answer.startLine();
    }
  }

  private void reload(NodeServer server) throws ConfigException, IOException, InterruptedException {
    moveDiscovery(server, UNREACHABLE_ADDRESS);
    server.reloadFailed("configuration stays as it is: rehearsal");
    Thread.sleep(READY_POLL_MILLIS);
    moveDiscovery(server, newPlatform.address());
    awaitReady(server.adminAddress());
  }

  private void moveDiscovery(NodeServer server, String address) throws ConfigException {
    Map<String, String> changedEnvironment = new HashMap<>(environment);
    changedEnvironment.put("LB_DISCOVERY", address);
    server.reload(NodeConfig.fromEnvironment(changedEnvironment));
  }

  @Override
  public void close() throws IOException {
    platform.close();
    newPlatform.close();
  }
}
