package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import ferngrade.config.EndpointListParser;
import ferngrade.config.NodeConfig;
import ferngrade.config.SharedRecordCodec;
import ferngrade.golden.GoldenFile;
import ferngrade.http.OperatorCalls;
import ferngrade.http.RawBytes;
import ferngrade.http.RawHttp;
import ferngrade.http.RawHttp.Message;
import ferngrade.node.Clock;
import ferngrade.node.FaultInjectingFileOperations;
import ferngrade.node.FaultInjectingFileOperations.Operation;
import ferngrade.node.ProcessRecord;
import ferngrade.node.RateLimitedLog;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests operators' calls to a whole node on loopback sockets. */
@Test(timeOut = 30_000)
public class AdminIntegrationTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("admin-http.txt");
  private static final String UNKNOWN_JOB_CALLBACK =
      "{\"id\":\"nobody\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"x\"}";
  private ServerSocket worker;
  private ServerSocket discovery;
  private final List<NodeServer> nodes = new ArrayList<>();

  @BeforeMethod
  public void openListeners() throws IOException {
    worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    worker.setSoTimeout(10_000);
    discovery.setSoTimeout(10_000);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    worker.close();
    discovery.close();
    for (NodeServer node : nodes) {
      node.stop(0);
    }
    nodes.clear();
  }

  @Test
  public void answersCallThatArrivesByteByByte() throws Exception {
    NodeServer node = start(NodeServer.Platform.NONE);
    byte[] call = "GET /-/metrics HTTP/1.1\r\nHost: n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    try (Socket caller =
        new Socket(InetAddress.getLoopbackAddress(), node.adminAddress().getPort())) {
      OutputStream out = caller.getOutputStream();
      for (byte callByte : call) {
        out.write(callByte);
        out.flush();
      }
      Message answer = new RawHttp(caller).read();
      assertEquals(answer.status(), 200);
      assertTrue(answer.body().contains("served.order=0\n"), answer.body());
      assertTrue(answer.body().matches("(?s).*\nmenu_workers_known=[12]\n.*"), answer.body());
      assertEquals(answer.headers().get("Connection"), "close");
    }
  }

  @Test
  public void closesSilentConnectionsWithoutAffectingOtherCallers() throws Exception {
    NodeServer node = start(NodeServer.Platform.NONE);
    List<Socket> silentConnections = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      silentConnections.add(
          new Socket(InetAddress.getLoopbackAddress(), node.adminAddress().getPort()));
    }
    assertEquals(call(node, "GET /-/ready").status(), 200);
    for (Socket connection : silentConnections) {
      connection.setSoTimeout(5_000);
      // The node closes the oldest connections when others arrive, and the rest after their 1 s
      // timeout.
      assertEquals(connection.getInputStream().read(), -1);
      connection.close();
    }
  }

  @Test
  public void rejectsUnknownPathsAndWrongMethods() throws Exception {
    NodeServer node = start(NodeServer.Platform.NONE);
    assertEquals(call(node, "GET /-/nowhere").status(), 404);
    assertEquals(call(node, "GET /-/menu-workers/s-1/explode").status(), 404);
    assertEquals(call(node, "POST /-/metrics").status(), 405);
    assertEquals(call(node, "GET /-/drain").status(), 405);
    assertEquals(call(node, "GET /-/menu-workers/s-1/disable").status(), 405);
    try (RawHttp caller = RawHttp.connect(node.adminAddress())) {
      assertEquals(caller.write("NONSENSE\r\n\r\n").read().status(), 400);
      assertNull(caller.read());
    }
  }

  @Test
  public void disableIsIdempotentAndUnknownWorkersAreRejected() throws Exception {
    NodeServer node = start(NodeServer.Platform.NONE);
    assertEquals(call(node, "POST /-/menu-workers/s-9/disable").status(), 404);
    assertEquals(call(node, "POST /-/menu-workers/s-9/enable").status(), 404);
    assertEquals(call(node, "POST /-/menu-workers/s-1/disable").status(), 200);
    assertEquals(call(node, "POST /-/menu-workers/s-1/disable").status(), 200);
    assertTrue(call(node, "GET /-/metrics").body().contains("menu_workers_excluded=1\n"));
    // The only worker is disabled, so the job is rejected.
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertEquals(client.write(RawHttp.message(jobHead("a"), "")).read().status(), 503);
    }
    assertEquals(call(node, "POST /-/menu-workers/s-1/enable").status(), 200);
    String metrics = call(node, "GET /-/metrics").body();
    assertTrue(metrics.contains("menu_workers_excluded=0\n"), metrics);
    assertTrue(metrics.contains("refused.order=1\n"), metrics);
  }

  @Test
  public void drainClosesConnectionsAfterTheirJobsAndResumeMakesNodeReady() throws Exception {
    NodeServer node = start(NodeServer.Platform.NONE);
    try (RawHttp client = RawHttp.connect(node.address());
        RawHttp idle = RawHttp.connect(node.address())) {
      assertEquals(idle.write("GET /-/ready HTTP/1.1\r\n\r\n").read().status(), 200);
      client.write(RawHttp.message(jobHead("a"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      assertEquals(call(node, "POST /-/drain").status(), 200);
      assertEquals(call(node, "GET /-/ready").status(), 503);
      workerConnection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      assertEquals(sendCallback(node.address(), "a"), 204);
      // The connection with a job is closed after its answer; the idle connection is closed, too.
      Message answer = client.read();
      assertEquals(answer.status(), 200);
      assertEquals(answer.headers().get("Connection"), "close");
      assertNull(client.read());
      assertNull(idle.read());
      assertEquals(call(node, "POST /-/resume").status(), 200);
      assertEquals(call(node, "GET /-/ready").status(), 200);
    }
  }

  @Test
  public void resumeDuringDrainKeepsConnectionsOpen() throws Exception {
    NodeServer node = start(NodeServer.Platform.NONE);
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertEquals(call(node, "POST /-/drain").status(), 200);
      assertEquals(call(node, "POST /-/resume").status(), 200);
      assertEquals(call(node, "GET /-/ready").status(), 200);
      client.write(RawHttp.message(jobHead("a"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      assertEquals(sendCallback(node.address(), "a"), 204);
      Message answer = client.read();
      assertEquals(answer.status(), 200);
      assertNull(answer.headers().get("Connection"));
      assertEquals(client.write("GET /-/ready HTTP/1.1\r\n\r\n").read().status(), 200);
    }
  }

  @Test
  public void successorProcessOnInheritedSocketRestoresMaintenance() throws Exception {
    Path folder = Files.createTempDirectory("handover");
    ServerSocketChannel clients =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    NodeServer predecessor = start(new NodeServer.Platform(clients, folder));
    assertEquals(call(predecessor, "POST /-/menu-workers/s-1/disable").status(), 200);
    NodeServer successor = start(new NodeServer.Platform(clients, folder));
    assertTrue(call(successor, "GET /-/metrics").body().contains("menu_workers_excluded=1\n"));
    // A callback for a job unknown to the receiving process is relayed to the other process. The
    // job is unknown there as well, so the worker receives 204 and stops retrying.
    assertEquals(sendCallback(successor.address(), "nobody"), 204);
    // The other process answers 404 to a relayed callback for an unknown job.
    try (RawHttp caller = RawHttp.connect(predecessor.adminAddress())) {
      assertEquals(
          caller
              .write(RawHttp.message("POST /-/news HTTP/1.1", UNKNOWN_JOB_CALLBACK))
              .read()
              .status(),
          404);
    }
  }

  @Test
  public void answersUnavailableToCallbackThatCannotBeRelayed() throws Exception {
    Path folder = Files.createTempDirectory("gone");
    Files.writeString(
        folder.resolve("ferngrade-admin.txt"), "127.0.0.1:" + unusedAddress().getPort());
    NodeServer node = start(new NodeServer.Platform(clientsSocket(), folder));
    try (RawHttp caller = RawHttp.connect(node.address())) {
      Message answer =
          caller.write(RawHttp.message("POST /_jobs/news HTTP/1.1", UNKNOWN_JOB_CALLBACK)).read();
      assertEquals(answer.status(), 503);
      assertEquals(answer.headers().get("Connection"), "close");
    }
  }

  /**
   * Guards against endless callback retries: a worker must not receive 503 for a job whose process
   * has ended.
   */
  @Test
  public void acceptsUnknownCallbackOnlyAfterOtherProcessesHaveEnded() throws Exception {
    Path folder = Files.createTempDirectory("ended");
    NodeServer node = start(new NodeServer.Platform(clientsSocket(), folder));
    awaitCallbackAccepted(node);
    Process other = new ProcessBuilder("cat").start();
    String record = SharedRecordCodec.write(new ProcessRecord(other.pid(), unusedAddress(), false));
    try (RawHttp caller = RawHttp.connect(node.adminAddress())) {
      caller.write(RawHttp.message("POST /-/state HTTP/1.1", record)).read();
    }
    assertEquals(
        sendCallback(node.address(), "nobody"), 503, "the other process refuses the connection");
    assertEquals(sendCallback(node.address(), "nobody"), 503, "the other process is still running");
    other.destroy();
    awaitCallbackAccepted(node);
    assertTrue(call(node, "GET /-/metrics").body().contains("relayed.ended=2\n"));
  }

  private void awaitCallbackAccepted(NodeServer node) throws Exception {
    while (sendCallback(node.address(), "nobody") != 204) {
      Thread.onSpinWait();
    }
  }

  /**
   * Guards against dropped callbacks on a full disk: the processes cannot record that they are
   * running, so a process must not accept callbacks for the jobs of another one.
   */
  @Test
  public void callbackForUnrecordedLiveProcessIsNotAcceptedByAnother() throws Exception {
    FaultInjectingFileOperations files = new FaultInjectingFileOperations();
    files.fail(Operation.WRITE, FaultInjectingFileOperations.error("No space left on device"));
    NodeServer predecessor =
        start(new NodeServer.Platform(clientsSocket(), Path.of("/state"), files));
    try (RawHttp client = RawHttp.connect(predecessor.address())) {
      client.write(RawHttp.message(jobHead("a"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      NodeServer successor =
          start(new NodeServer.Platform(clientsSocket(), Path.of("/state"), files));
      assertEquals(
          sendCallback(successor.address(), "a"), 503, "the worker must retry the callback");
      assertEquals(sendCallback(predecessor.address(), "a"), 204);
      assertEquals(client.read().status(), 200);
    }
  }

  private static ServerSocketChannel clientsSocket() throws IOException {
    return ServerSocketChannel.open()
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private static InetSocketAddress unusedAddress() throws IOException {
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return EndpointListParser.address("127.0.0.1:" + closed.getLocalPort());
    }
  }

  @Test
  public void ignoresTornMaintenanceFile() throws Exception {
    Path folder = Files.createTempDirectory("torn");
    Files.writeString(folder.resolve("ferngrade-maintenance.json"), "{\"out\":[\"s-1\"");
    NodeServer node = start(new NodeServer.Platform(null, folder));
    assertTrue(call(node, "GET /-/metrics").body().contains("menu_workers_excluded=0\n"));
    assertEquals(call(node, "POST /-/menu-workers/s-1/disable").status(), 200);
    assertEquals(
        Files.readString(folder.resolve("ferngrade-maintenance.json")),
        "{\"out\":[\"s-1\"],\"back\":{}}");
  }

  @Test
  public void reportsUnstoredChangeAppliesItAndStoresItOnceTheDiskRecovers() throws Exception {
    Path folder = Files.createTempDirectory("fails");
    NodeServer node = start(new NodeServer.Platform(null, folder));
    Files.delete(folder);
    Message answer = call(node, "POST /-/menu-workers/s-1/disable");
    assertEquals(answer.status(), 503);
    assertEquals(
        answer.body(),
        "taken out: s-1, in this process only: not stored yet, a later process may not know of"
            + " it\n");
    assertTrue(call(node, "GET /-/metrics").body().contains("menu_workers_excluded=1\n"));
    // The change is stored without another call once the disk works again.
    Files.createDirectory(folder);
    while (!Files.exists(folder.resolve("ferngrade-maintenance.json"))) {
      Thread.onSpinWait();
    }
    NodeServer successor = start(new NodeServer.Platform(null, folder));
    assertTrue(call(successor, "GET /-/metrics").body().contains("menu_workers_excluded=1\n"));
  }

  @Test
  public void confirmsChangeOnlyAfterFolderSyncAndReportsFailureWithinOneSecond() throws Exception {
    assertTrue(
        OperatorCalls.STORE_TIMEOUT_MILLIS + 150 < 1000,
        "the timeout leaves 150 ms of the caller's second for pauses of the node");
    FaultInjectingFileOperations files = new FaultInjectingFileOperations();
    NodeServer node = start(new NodeServer.Platform(null, Path.of("/state"), files));
    files.fail(Operation.SYNC_FOLDER, FaultInjectingFileOperations.error("Input/output error"));
    assertEquals(call(node, "POST /-/menu-workers/s-1/disable").status(), 503);
    files.clearFault();
    assertEquals(call(node, "POST /-/menu-workers/s-1/disable").status(), 200);
    assertEquals(call(node, "POST /-/menu-workers/s-1/enable").status(), 200);
  }

  /** Guards against losing an acknowledged call when the process exits while the disk hangs. */
  @Test
  public void appendsAcknowledgedCallsBeforeExitWhileTheDiskHangs() throws Exception {
    FaultInjectingFileOperations files = new FaultInjectingFileOperations();
    NodeServer node = start(new NodeServer.Platform(null, Path.of("/state"), files));
    Semaphore disk = new Semaphore(0);
    files.fail(Operation.SYNC, disk::acquireUninterruptibly);
    assertEquals(call(node, "POST /-/drain").status(), 200);
    assertEquals(call(node, "POST /-/resume").status(), 200);
    node.stop(0);
    String log =
        new String(files.read(Path.of("/state/ferngrade-shared.log")), StandardCharsets.UTF_8);
    disk.release(Integer.MAX_VALUE);
    assertEquals(log.lines().filter(line -> line.contains("drain")).count(), 2, log);
  }

  @Test
  public void retriesStoreAfterTransientDiskFailure() throws Exception {
    FaultInjectingFileOperations files = new FaultInjectingFileOperations();
    NodeServer node = start(new NodeServer.Platform(null, Path.of("/state"), files));
    files.fail(
        Operation.SYNC_FOLDER,
        () -> {
          files.clearFault();
          throw new FileSystemException("Input/output error");
        });
    assertEquals(call(node, "POST /-/menu-workers/s-1/disable").status(), 200);
    assertEquals(files.failures(), 1);
  }

  @Test
  public void storesAdminAddressOnceTheDiskRecovers() throws Exception {
    FaultInjectingFileOperations files = new FaultInjectingFileOperations();
    files.fail(Operation.CREATE, FaultInjectingFileOperations.error("No space left on device"));
    ServerSocketChannel clients =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    NodeServer node = start(new NodeServer.Platform(clients, Path.of("/state"), files));
    while (files.failures() < 2) {
      Thread.onSpinWait();
    }
    files.clearFault();
    String own = "127.0.0.1:" + node.adminAddress().getPort();
    while (!own.equals(adminFile(files))) {
      Thread.onSpinWait();
    }
  }

  private static String adminFile(FaultInjectingFileOperations files) throws IOException {
    try {
      return new String(files.read(Path.of("/state/ferngrade-admin.txt")), StandardCharsets.UTF_8);
    } catch (NoSuchFileException missing) {
      return null;
    }
  }

  @Test
  public void startsWithFilesTornAtAnyByte() throws Exception {
    Path folder = Files.createTempDirectory("torn");
    String saved = "{\"out\":[\"s-1\"],\"back\":{\"s-2\":900}}";
    String admin = "127.0.0.1:9600";
    ServerSocketChannel clients =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    for (int length = 0; length < saved.length(); length += 5) {
      Files.writeString(folder.resolve("ferngrade-maintenance.json"), saved.substring(0, length));
      Files.writeString(
          folder.resolve("ferngrade-admin.txt"),
          admin.substring(0, Math.min(length, admin.length())));
      NodeServer node = start(new NodeServer.Platform(clients, folder));
      assertTrue(
          call(node, "GET /-/metrics").body().contains("menu_workers_excluded=0\n"),
          "at byte " + length);
    }
  }

  private static Message call(NodeServer node, String line) throws IOException {
    try (RawHttp caller = RawHttp.connect(node.adminAddress())) {
      return caller.write(line + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n").read();
    }
  }

  private static int sendCallback(InetSocketAddress address, String id) throws IOException {
    try (RawHttp caller = RawHttp.connect(address)) {
      String body =
          "{\"id\":\"" + id + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"soup\"}";
      return caller.write(RawHttp.message("POST /_jobs/news HTTP/1.1", body)).read().status();
    }
  }

  private NodeServer start(NodeServer.Platform platform) throws Exception {
    if (!nodes.isEmpty()) {
      // Each node has its own discovery socket, since an earlier node reopens its silent watch.
      discovery.close();
      discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      discovery.setSoTimeout(10_000);
    }
    Clock clock = Clock.system();
    NodeServer node =
        NodeServer.start(config(), platform, clock, new RateLimitedLog(clock, line -> {}));
    nodes.add(node);
    RawHttp watch = new RawHttp(discovery.accept());
    watch.read();
    String list =
        "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":"
            + "\"127.0.0.1:"
            + worker.getLocalPort()
            + "\",\"locality\":\"z\",\"flavor\":\"k\",\"phase\":\"active\"},"
            + "{\"id\":\"s-2\",\"host_port\":7,\"phase\":\"active\"}]}\n";
    watch.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + NodeIntegrationFixture.chunk(list));
    while (!call(node, "GET /-/metrics").body().contains("menu_workers_known=1\n")) {
      Thread.onSpinWait();
    }
    return node;
  }

  private NodeConfig config() throws Exception {
    String config =
        "{'name':'n0','listen':'127.0.0.1:0','admin':'127.0.0.1:0','discovery':'127.0.0.1:"
            + discovery.getLocalPort()
            + "','seed':'7','limits':{'sockets':64},'settings':{'Zones':['z'],"
            + "'Kinds':['k'],'Tenants':[{'Name':'t','Share':1}],'Extra':{'TellsStart':true},"
            + "'Ceilings':{'MostTries':5,'RetryAfter':true,'MaxRetryAfter':2000},"
            + "'Classes':[{'Name':'order','Effect':'at_most_once','Deadline':9000.0}]}}";
    var json = Json.parse(config.replace('\'', '"')).asObject();
    return NodeConfig.read(json);
  }

  private static String jobHead(String id) {
    return "POST /api HTTP/1.1\r\nReq-Id: "
        + id
        + "\r\nReq-Kind: order\r\nReq-Owner: t\r\nReq-Deadline: 9000m";
  }

  @Test
  public void answersMatchTheGoldenFile() throws Exception {
    NodeServer node = start(NodeServer.Platform.NONE);
    String[] calls = {
      "GET /-/ready",
      "GET /-/metrics",
      "POST /-/menu-workers/s-1/disable",
      "GET /-/metrics",
      "POST /-/menu-workers/s-1/enable",
      "POST /-/menu-workers/s-9/enable",
      "GET /-/drain",
      "GET /-/nowhere",
      "POST /-/drain",
      "GET /-/ready",
      "POST /-/resume",
      "POST /-/sibling",
      "POST /-/news"
    };
    for (int i = 0; i < calls.length; i++) {
      try (Socket caller =
          new Socket(InetAddress.getLoopbackAddress(), node.adminAddress().getPort())) {
        RawBytes.write(caller, calls[i] + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        GOLDEN.verifyLines(
            String.format("%02d-%s", i, calls[i].replace(' ', '-')),
            withoutMeasuredTimes(RawBytes.read(caller)));
      }
    }
  }

  /**
   * Replaces the counts of measured times by N and checks that the Content-Length header matches
   * the body.
   */
  private static String withoutMeasuredTimes(String response) {
    int body = response.indexOf("\r\n\r\n") + 4;
    int length = response.length() - body;
    assertEquals(response.contains("content-length: " + length + "\r\n"), true, response);
    return response.contains("loop_turn")
        ? response
            .replaceAll("((?:loop_turn|timer_delay)[.]\\w+)=\\d+", "$1=N")
            .replace("content-length: " + length, "content-length: N")
        : response;
  }

  @Test
  public void callsBetweenProcessesAndTheirFilesMatchTheGoldenFile() throws Exception {
    Path folder = Files.createTempDirectory("recorded");
    try (ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Files.writeString(folder.resolve("ferngrade-admin.txt"), "127.0.0.1:" + other.getLocalPort());
      Files.writeString(
          folder.resolve("ferngrade-maintenance.json"),
          "{\"out\":[\"s-1\"],\"back\":{\"s-3\":1.5E12}}");
      ServerSocketChannel clients =
          ServerSocketChannel.open()
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      NodeServer node = start(new NodeServer.Platform(clients, folder));
      try (Socket announcement = other.accept()) {
        GOLDEN.verifyLines("handover-address", RawBytes.read(announcement));
      }
      // The other process acts as one of an earlier release, which does not know the call to join.
      try (Socket calls = other.accept();
          Socket caller = new Socket(InetAddress.getLoopbackAddress(), node.address().getPort())) {
        GOLDEN.verifyLines("handover-join", RawBytes.read(calls));
        RawBytes.write(calls, RawHttp.message("HTTP/1.1 404 Not Found", ""));
        RawBytes.write(caller, RawHttp.message("POST /_jobs/news HTTP/1.1", UNKNOWN_JOB_CALLBACK));
        GOLDEN.verifyLines("handover-call-back", RawBytes.read(calls));
      }
      // The file is written on a separate thread; the test's timeout ends this loop on a failure.
      String own = "127.0.0.1:" + node.adminAddress().getPort();
      while (!Files.readString(folder.resolve("ferngrade-admin.txt")).equals(own)) {
        Thread.onSpinWait();
      }
      assertTrue(call(node, "GET /-/metrics").body().contains("menu_workers_excluded=1\n"));
      assertEquals(call(node, "POST /-/menu-workers/s-1/disable").status(), 200);
      GOLDEN.verify(
          "maintenance-file", Files.readString(folder.resolve("ferngrade-maintenance.json")));
    }
  }
}
