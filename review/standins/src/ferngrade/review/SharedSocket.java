package ferngrade.review;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Stands in for the platform on days with upgrades: holds the clients' listening socket, which
 * every process of the node inherits as descriptor 0. Uses the launcher of the project's own fault
 * tests.
 */
public final class SharedSocket implements AutoCloseable {
  private static final String LAUNCHER =
      "faulttest/src/main/resources/ferngrade/faulttest/upgrade/launch.pl";
  private static final long START_TIMEOUT_MILLIS = 5_000;

  private final Process launcher;
  private final Writer commands;
  private final String address;
  private final BlockingQueue<Long> started = new LinkedBlockingQueue<>();
  private final Path sharedFolder;

  /** Opens the socket. All processes share one TMPDIR. */
  public SharedSocket(Deployment deployment) throws IOException {
    sharedFolder = Files.createTempDirectory(deployment.folder(), "tmp");
    File log = deployment.folder().resolve("node.log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                "perl",
                deployment.root().resolve(LAUNCHER).toString(),
                "/bin/sh",
                "-c",
                deployment.runCommand()));
    builder.directory(deployment.root().toFile());
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    launcher = builder.start();
    commands = launcher.outputWriter(StandardCharsets.UTF_8);
    BufferedReader reports = launcher.inputReader(StandardCharsets.UTF_8);
    address = Deployment.loopback(Integer.parseInt(reports.readLine()));
    LoopbackServer.daemon(() -> readReports(reports));
  }

  private void readReports(BufferedReader reports) {
    try {
      for (String line = reports.readLine(); line != null; line = reports.readLine()) {
        String[] words = line.split(" ");
        if (words[0].equals("started")) {
          started.add(Long.parseLong(words[1]));
        }
      }
    } catch (IOException ended) {
      // The run has ended.
    }
  }

  /** Returns the address that clients and call-backs connect to. */
  public String address() {
    return address;
  }

  /** Starts a process of the node with an operators' address of its own. */
  public NodeProcess start(Path config, String discovery)
      throws IOException, InterruptedException {
    String operators = Deployment.freeAddress();
    Map<String, String> variables =
        Map.of(
            "LB_NAME", "n0",
            "LB_LISTEN", address,
            "LB_DISCOVERY", discovery,
            "LB_CONFIG", config.toString(),
            "LB_ADMIN", operators,
            "LB_ACCEPT_FD", "0",
            "TMPDIR", sharedFolder.toString());
    StringBuilder line = new StringBuilder("start");
    variables.forEach((name, value) -> line.append('\t').append(name).append('=').append(value));
    commands.append(line).append('\n').flush();
    Long pid = started.poll(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    if (pid == null) {
      throw new IOException("no process was started");
    }
    return new NodeProcess(ProcessHandle.of(pid).orElseThrow(), operators);
  }

  @Override
  public void close() {
    launcher.destroy();
  }
}
