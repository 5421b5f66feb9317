package ferngrade.review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of a node, started by the deploy file's command `run`. */
public final class NodeProcess implements AutoCloseable {
  private static final long READY_TIMEOUT_MILLIS = 20_000;
  private static final long READY_POLL_MILLIS = 50;
  private static final int CALL_TIMEOUT_MILLIS = 1000;

  private final ProcessHandle process;
  private final String address;

  NodeProcess(ProcessHandle process, String address) {
    this.process = process;
    this.address = address;
    // A run that its script ends at the time limit leaves no process behind.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Starts a node that opens its own socket for clients. */
  public static NodeProcess start(Deployment deployment, String listen, String discovery)
      throws IOException {
    Path temporary = Files.createTempDirectory(deployment.folder(), "tmp");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployment.runCommand());
    builder.directory(deployment.root().toFile());
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
    builder
        .environment()
        .putAll(
            Map.of(
                "LB_NAME", "n0",
                "LB_LISTEN", listen,
                "LB_DISCOVERY", discovery,
                "LB_CONFIG", deployment.writeConfig(listen, discovery).toString(),
                "TMPDIR", temporary.toString()));
    File log = deployment.folder().resolve("node.log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    return new NodeProcess(builder.start().toHandle(), listen);
  }

  /** Waits until the node says that it is ready. */
  public void awaitReady() throws IOException, InterruptedException {
    long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
    while (call("GET", "/-/ready") != 200) {
      if (System.currentTimeMillis() > deadline || !process.isAlive()) {
        throw new IOException("the node does not become ready");
      }
      Thread.sleep(READY_POLL_MILLIS);
    }
  }

  /** Waits until the node says that it is not ready, or no longer answers. */
  public void awaitNotReady() throws InterruptedException {
    while (call("GET", "/-/ready") == 200) {
      Thread.sleep(READY_POLL_MILLIS);
    }
  }

  /** Makes a call without a body and returns the status of the answer, 0 if there is none. */
  public int call(String method, String path) {
    try (Connection connection = new Connection(address, CALL_TIMEOUT_MILLIS)) {
      connection.write(method + " " + path + " HTTP/1.1\r\nHost: backend.local", "");
      HttpMessage answer = connection.read();
      return answer == null ? 0 : answer.status();
    } catch (IOException unanswered) {
      return 0;
    }
  }

  /** Returns whether the process runs. */
  public boolean alive() {
    return process.isAlive();
  }

  /** Sends a signal, given by its name without SIG. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns the id of the process. */
  public long pid() {
    return process.pid();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.onExit().get(5, TimeUnit.SECONDS);
    } catch (Exception stillEnding) {
      // The system ends it.
    }
  }
}
