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

/** The real program as a child process. */
final class NodeProcess {
  private final List<String> command;
  private final Path file;
  private final Path log;
  private final InetSocketAddress listen;
  private Process process;

  /** A node that {@code command} starts with its configuration in the environment. */
  NodeProcess(List<String> command, Path folder, String name, InetSocketAddress listen) {
    this.command = command;
    this.file = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log");
    this.listen = listen;
  }

  InetSocketAddress listen() {
    return listen;
  }

  /** Starts the process; it is ready some time later. */
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

  /** Ends it at once, as a SIGKILL does. */
  void kill() {
    process.destroyForcibly();
  }

  /** Stops it in order; killed if that takes too long. */
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

  /** Makes the process stand still, or go on. */
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

  /** The last lines of its log. */
  List<String> lastLines(int most) {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(Files.newInputStream(log), StandardCharsets.UTF_8))) {
      List<String> lines = new ArrayList<>(reader.lines().toList());
      return lines.subList(Math.max(0, lines.size() - most), lines.size());
    } catch (IOException none) {
      return List.of();
    }
  }
}
