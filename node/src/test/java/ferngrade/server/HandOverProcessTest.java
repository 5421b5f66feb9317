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
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Two processes of a node, one after the other, on one listening socket: needs Perl, which hands it
 * to them.
 */
@Test(timeOut = 60_000)
public class HandOverProcessTest extends NodeIntegrationFixture {
  /** Ends the connection too, so that each job comes on one of its own. */
  private static final String TAKEN =
      "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";

  private final List<ProcessHandle> nodes = new ArrayList<>();
  private Process platform;
  private BufferedReader said;
  private InetSocketAddress clients;
  private Path folder;

  @Override
  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    worker.close();
    discovery.close();
    nodes.forEach(ProcessHandle::destroyForcibly);
    platform.destroy();
  }

  /** Prepares the listening socket and the folder that the processes share. */
  private void startPlatform() throws IOException {
    folder = Files.createTempDirectory("hand-over");
    Path configuration = folder.resolve("node.json");
    Files.writeString(
        configuration, configuration(discovery.getLocalPort(), null, "push").toString());
    Path script = folder.resolve("hand-over.pl");
    Files.write(script, getClass().getResourceAsStream("hand-over.pl").readAllBytes());
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
  private ProcessHandle startProcess() throws Exception {
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
    try (RawHttp operator =
        RawHttp.to(new InetSocketAddress(address[0], Integer.parseInt(address[1])))) {
      awaitReadiness(operator, 200);
    }
    return process;
  }

  /** Where the newest process takes operators' calls; empty before the first one does. */
  private String admin() throws IOException {
    Path file = folder.resolve("ferngrade-admin.txt");
    return Files.exists(file) ? Files.readString(file).trim() : "";
  }

  @Test
  public void jobsInFlightOutliveTheHandOverAndNoClientIsRefused() throws Exception {
    startPlatform();
    ProcessHandle old = startProcess();
    RawHttp first = RawHttp.to(clients);
    first.write(RawHttp.message(job("POST /api", "a", "order"), ""));
    take("a");
    startProcess();
    // Either process may get a connection, and has to see to it that a call-back reaches the one
    // with the job.
    try (RawHttp second = RawHttp.to(clients)) {
      second.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      take("b");
      old.destroy();
      assertEquals(callBack(clients, "a", DONE), 204);
      assertEquals(first.read().body(), "soup");
      assertEquals(callBack(clients, "b", DONE), 204);
      assertEquals(second.read().body(), "soup");
    }
    first.close();
    old.onExit().get(20, TimeUnit.SECONDS);
    try (RawHttp third = RawHttp.to(clients)) {
      third.write(RawHttp.message(job("POST /api", "c", "order"), ""));
      take("c");
      assertEquals(callBack(clients, "c", DONE), 204);
      assertEquals(third.read().body(), "soup");
    }
  }

  /** The worker takes this job, from whichever process it comes. */
  private void take(String id) throws IOException {
    RawHttp worked = new RawHttp(worker.accept());
    Message message = worked.read();
    assertEquals(message.headers().get("Req-Id"), id, message.start());
    worked.write(TAKEN);
  }
}
