package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.Main;
import ferngrade.http.RawHttp;
import ferngrade.http.RawHttp.Message;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;

/**
 * Runs several processes of a node on one listening socket; the test acts as their worker and their
 * discovery. Requires Perl, which passes the socket to the processes.
 */
public abstract class SharedSocketFixture extends NodeIntegrationFixture {
  /** The last fields of a callback for a finished job. */
  static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";

  /** Accepts a job and closes the connection, so that each job arrives on a new connection. */
  private static final String ACCEPTED_AND_CLOSED =
      "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  /** The address of the shared socket, to which clients connect and workers send callbacks. */
  InetSocketAddress clients;

  private final List<ProcessHandle> processes = new ArrayList<>();
  private Process platform;
  private BufferedReader platformOutput;
  private Path stateFolder;

  /** A serving process and the address of its operators' listener. */
  record ServingProcess(ProcessHandle handle, InetSocketAddress operators) {}

  @Override
  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    worker.close();
    discovery.close();
    processes.forEach(ProcessHandle::destroyForcibly);
    platform.destroy();
  }

  /** Creates the listening socket and the folder that the processes share. */
  void startPlatform() throws IOException {
    stateFolder = Files.createTempDirectory("hand-over");
    Path configuration = stateFolder.resolve("node.json");
    Files.writeString(
        configuration, configuration(discovery.getLocalPort(), null, "push").toString());
    Path script = stateFolder.resolve("hand-over.pl");
    Files.write(
        script, SharedSocketFixture.class.getResourceAsStream("hand-over.pl").readAllBytes());
    ProcessBuilder builder =
        new ProcessBuilder(
                "perl",
                script.toString(),
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve")
            .redirectError(ProcessBuilder.Redirect.DISCARD);
    builder.environment().put("LB_CONFIG", configuration.toString());
    builder.environment().put("LB_ADMIN", "127.0.0.1:0");
    builder.environment().put("LB_ACCEPT_FD", "0");
    builder.environment().put("TMPDIR", stateFolder.toString());
    platform = builder.start();
    platformOutput = platform.inputReader(StandardCharsets.UTF_8);
    clients =
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(), Integer.parseInt(platformOutput.readLine()));
  }

  /** Starts a process, sends it the endpoint list, and returns once it is ready. */
  ServingProcess startProcess() throws Exception {
    String earlierAddress = adminAddress();
    platform.outputWriter().append("start\n").flush();
    ProcessHandle process =
        ProcessHandle.of(Long.parseLong(platformOutput.readLine())).orElseThrow();
    processes.add(process);
    RawHttp watch = new RawHttp(discovery.accept());
    watch.read();
    watch.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(endpointList(1, "active") + "\n"));
    while (adminAddress().equals(earlierAddress)) {
      Thread.onSpinWait();
    }
    String[] address = adminAddress().split(":", 2);
    InetSocketAddress operators = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
    while (readyStatus(operators) != 200) {
      Thread.onSpinWait();
    }
    return new ServingProcess(process, operators);
  }

  private static int readyStatus(InetSocketAddress operators) throws IOException {
    try (RawHttp operator = RawHttp.connect(operators)) {
      return operator.write("GET /-/ready HTTP/1.1\r\n\r\n").read().status();
    }
  }

  /** Returns the operators' address of the newest process; empty before the first one has any. */
  private String adminAddress() throws IOException {
    Path file = stateFolder.resolve("ferngrade-admin.txt");
    return Files.exists(file) ? Files.readString(file).trim() : "";
  }

  /** Accepts the job with this id for the worker, from whichever process sends it. */
  void acceptJob(String id) throws IOException {
    RawHttp workerConnection = new RawHttp(worker.accept());
    Message message = workerConnection.read();
    assertEquals(message.headers().get("Req-Id"), id, message.startLine());
    workerConnection.write(ACCEPTED_AND_CLOSED);
  }
}
