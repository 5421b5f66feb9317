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
 * Processes of a node on one clients' listening socket, against a worker and a discovery that the
 * story speaks for: needs Perl, which hands the socket to them.
 */
public abstract class SharedSocketFixture extends NodeIntegrationFixture {
  /** The end of a callback for a job that is done. */
  static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";

  /** Ends the connection too, so that each job comes on one of its own. */
  private static final String TAKEN =
      "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  /** Where clients connect, and workers call back. */
  InetSocketAddress clients;

  private final List<ProcessHandle> nodes = new ArrayList<>();
  private Process platform;
  private BufferedReader said;
  private Path folder;

  /** A process that serves, and where it takes operators' calls. */
  record ServingProcess(ProcessHandle handle, InetSocketAddress operators) {}

  @Override
  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    worker.close();
    discovery.close();
    nodes.forEach(ProcessHandle::destroyForcibly);
    platform.destroy();
  }

  /** Prepares the listening socket and the folder that the processes share. */
  void startPlatform() throws IOException {
    folder = Files.createTempDirectory("hand-over");
    Path configuration = folder.resolve("node.json");
    Files.writeString(
        configuration, configuration(discovery.getLocalPort(), null, "push").toString());
    Path script = folder.resolve("hand-over.pl");
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
    builder.environment().put("TMPDIR", folder.toString());
    platform = builder.start();
    said = platform.inputReader(StandardCharsets.UTF_8);
    clients =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(said.readLine()));
  }

  /** Starts a process, tells it the list, and returns once it is ready. */
  ServingProcess startProcess() throws Exception {
    String earlier = admin();
    platform.outputWriter().append("start\n").flush();
    ProcessHandle process = ProcessHandle.of(Long.parseLong(said.readLine())).orElseThrow();
    nodes.add(process);
    RawHttp told = new RawHttp(discovery.accept());
    told.read();
    told.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(1, "active") + "\n"));
    while (admin().equals(earlier)) {
      Thread.onSpinWait();
    }
    String[] address = admin().split(":", 2);
    InetSocketAddress operators = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
    try (RawHttp operator = RawHttp.to(operators)) {
      awaitReadiness(operator, 200);
    }
    return new ServingProcess(process, operators);
  }

  /** Where the newest process takes operators' calls; empty before the first one does. */
  private String admin() throws IOException {
    Path file = folder.resolve("ferngrade-admin.txt");
    return Files.exists(file) ? Files.readString(file).trim() : "";
  }

  /** The worker takes this job, from whichever process it comes. */
  void take(String id) throws IOException {
    RawHttp worked = new RawHttp(worker.accept());
    Message message = worked.read();
    assertEquals(message.headers().get("Req-Id"), id, message.start());
    worked.write(TAKEN);
  }
}
