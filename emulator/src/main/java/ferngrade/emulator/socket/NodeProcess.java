package ferngrade.emulator.socket;

import com.eclipsesource.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a production node as a child process. */
final class NodeProcess {
  private final List<String> command;
  private final Path file;
  private final Path log;
  private final InetSocketAddress listen;
  private Process process;

  /**
   * Creates a node that is started by {@code command}, with the path of its configuration file in
   * the environment. The file and the log are written to {@code folder}.
   */
  NodeProcess(List<String> command, Path folder, String name, InetSocketAddress listen) {
    this.command = command;
    this.file = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log");
    this.listen = listen;
  }

  InetSocketAddress listen() {
    return listen;
  }

  /** Starts the process without waiting until it is ready. */
  void start(JsonObject configuration) {
    try {
      Files.writeString(file, configuration.toString());
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
      builder.environment().put("LB_CONFIG", file.toString());
      process = builder.start();
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  /** Kills the process with SIGKILL. */
  void kill() {
    process.destroyForcibly();
  }

  /** Terminates the process gracefully, and kills it if it has not exited within 5 s. */
  void stop() throws InterruptedException {
    if (process == null) {
      return;
    }
    signal("CONT");
    process.destroy();
    if (!process.waitFor(5, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Pauses the process with SIGSTOP or resumes it with SIGCONT. */
  void pause(boolean begins) {
    signal(begins ? "STOP" : "CONT");
  }

  private void signal(String name) {
    if (!alive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** Returns up to {@code max} lines from the end of the log; empty if there is no log. */
  List<String> lastLines(int max) {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(Files.newInputStream(log), StandardCharsets.UTF_8))) {
      List<String> lines = new ArrayList<>(reader.lines().toList());
      return lines.subList(Math.max(0, lines.size() - max), lines.size());
    } catch (IOException unreadable) {
      return List.of();
    }
  }
}
