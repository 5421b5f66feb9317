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
 * Plays what a node meets in service, once, over loopback connections: jobs that end in every way,
 * requests that cannot be read, operators' calls, a moved discovery. A class that is loaded here is
 * in the class archive; one that is loaded in service for the first time holds up the event loop.
 * Blocks its caller, which is not the event loop.
 */
final class Rehearsal implements AutoCloseable {
  /** Short enough that a silent job runs out of time while the rehearsal waits for its answer. */
  private static final int SHORT_DEADLINE_MS = 300;

  private static final int LONG_DEADLINE_MS = 1500;

  /** Where connections are refused. */
  private static final String NOBODY = "127.0.0.1:1";

  /** More requests at once than the event loop handles in one turn. */
  private static final int PIPELINED = 100;

  private static final int READY_POLLS = 50;
  private static final int READY_POLL_MS = 20;

  private final Map<String, String> environment;
  private final RehearsalPlatform platform = new RehearsalPlatform();
  private final RehearsalPlatform movedTo = new RehearsalPlatform();
  private String jobClass;
  private String tenant;
  private long jobs;

  /** Prepares a rehearsal of a node that is started with these variables. */
  Rehearsal(Map<String, String> environment) throws IOException {
    this.environment = new HashMap<>(environment);
    this.environment.put("LB_DISCOVERY", platform.address());
    this.environment.put("LB_ADMIN", "127.0.0.1:0");
  }

  /** The variables of the node: its discovery is the rehearsal's, and operators can call. */
  Map<String, String> environment() {
    return environment;
  }

  /**
   * Plays everything, with the first class and tenant of these settings; what fails is left out,
   * and the classes it needs with it.
   */
  void play(NodeServer server, DispatcherSettings settings) throws InterruptedException {
    jobClass = settings.classes().get(0).name();
    tenant = settings.tenants().get(0).name();
    platform.node(server.address());
    movedTo.node(server.address());
    try {
      awaitReady(server.adminAddress());
      jobsOfAllKinds(server.address());
      unreadableRequests(server.address());
      pipelinedRequests(server.address());
      departedClient(server.address());
      operatorsCalls(server.adminAddress());
      reload(server);
      jobsOfAllKinds(server.address());
    } catch (IOException | ConfigException failed) {
      server.report("rehearsal is incomplete: " + failed);
    }
  }

  private static void awaitReady(InetSocketAddress admin) throws IOException, InterruptedException {
    for (int i = 0; i < READY_POLLS; i++) {
      if (call(admin, "GET /-/ready").contains(" 200 ")) {
        return;
      }
      Thread.sleep(READY_POLL_MS);
    }
    throw new IOException("the node does not get ready");
  }

  private void jobsOfAllKinds(InetSocketAddress node) throws IOException {
    for (RehearsalPlatform.JobKind kind : RehearsalPlatform.JobKind.values()) {
      try (RehearsalConnection client = RehearsalConnection.to(node)) {
        client.write(job(SHORT_DEADLINE_MS), kind.name()).read();
        String next = job(LONG_DEADLINE_MS);
        String body = RehearsalPlatform.JobKind.DONE.name();
        client.write(next, body).write(job(LONG_DEADLINE_MS), body);
        client.read();
        client.read();
      }
    }
  }

  private String job(int deadlineMs) {
    return String.format(
        "POST /api HTTP/1.1\r\nHost: node\r\nReq-Id: %1$016x\r\nIdempotency-Key: %1$016x\r\n"
            + "Req-Kind: %2$s\r\nReq-Owner: %3$s\r\nReq-Deadline: %4$dm",
        ++jobs, jobClass, tenant, deadlineMs);
  }

  private static void unreadableRequests(InetSocketAddress node) throws IOException {
    for (String request :
        List.of(
            "POST /api HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n",
            "POST /api HTTP/1.1\r\nHost: node\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n",
            "GET /nowhere HTTP/1.1\r\nHost: node\r\n\r\n",
            "POST /_jobs/news HTTP/1.1\r\nHost: node\r\nContent-Length: 1\r\n\r\n{",
            "POST /api HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n",
            "\u0000 no request\r\n\r\n")) {
      try (RehearsalConnection client = RehearsalConnection.to(node)) {
        client.write(request).read();
      }
    }
    try (RehearsalConnection client = RehearsalConnection.to(node)) {
      client.write("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf").read();
    }
  }

  private static void pipelinedRequests(InetSocketAddress node) throws IOException {
    try (RehearsalConnection client = RehearsalConnection.to(node)) {
      client.write("GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n".repeat(PIPELINED));
      for (int i = 0; i < PIPELINED; i++) {
        client.read();
      }
    }
  }

  private void departedClient(InetSocketAddress node) throws IOException {
    try (RehearsalConnection client = RehearsalConnection.to(node)) {
      client.write(job(LONG_DEADLINE_MS), RehearsalPlatform.JobKind.SILENT.name());
    }
  }

  private static void operatorsCalls(InetSocketAddress admin) throws IOException {
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

  /** The first line of the answer. */
  private static String call(InetSocketAddress admin, String call) throws IOException {
    try (RehearsalConnection caller = RehearsalConnection.to(admin)) {
      RehearsalConnection.Message answer =
          caller.write(call + " HTTP/1.1\r\nHost: node", "").read();
      return answer == null ? "" : answer.start();
    }
  }

  private void reload(NodeServer server) throws ConfigException, IOException, InterruptedException {
    moveDiscovery(server, NOBODY);
    server.reloadFailed("configuration stays as it is: rehearsal");
    Thread.sleep(READY_POLL_MS);
    moveDiscovery(server, movedTo.address());
    awaitReady(server.adminAddress());
  }

  private void moveDiscovery(NodeServer server, String address) throws ConfigException {
    Map<String, String> moved = new HashMap<>(environment);
    moved.put("LB_DISCOVERY", address);
    server.reload(NodeConfig.fromEnvironment(moved));
  }

  @Override
  public void close() throws IOException {
    platform.close();
    movedTo.close();
  }
}
