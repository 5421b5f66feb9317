package ferngrade.faulttest;

import ferngrade.config.EndpointListParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A member that runs the program in a separate process. The history records the process's log
 * lines.
 */
final class ProcessMember {
  private static final Pattern PAIR = Pattern.compile("([a-z]+)=(\\S+)");

  private static final Pattern REVISION = Pattern.compile("\"revision\":([0-9]+)");

  final String name;
  private final List<String> program;
  private final Path file;
  private final Path data;
  private final History history;
  private final AddressListener addressListener;
  private Process process;
  private volatile String endpointListAddress;
  private boolean startedBefore;

  /**
   * Receives the addresses of a member after each start; {@code datagrams} is null if the member
   * receives no datagrams.
   */
  @FunctionalInterface
  interface AddressListener {
    /** Called when the member listens at these addresses. */
    void listening(InetSocketAddress address, InetSocketAddress datagrams);
  }

  /** Creates a member that is not started yet. */
  ProcessMember(
      String name,
      List<String> program,
      Path file,
      Path data,
      History history,
      AddressListener addressListener) {
    this.addressListener = addressListener;
    this.name = name;
    this.program = program;
    this.file = file;
    this.data = data;
    this.history = history;
  }

  /** Starts the process; the first start founds a new fleet. */
  void start() throws IOException {
    start(startedBefore ? "" : "--found");
  }

  /** Starts the process with this option, empty for none. */
  void start(String option) throws IOException {
    startedBefore = true;
    List<String> line = new ArrayList<>(program);
    line.addAll(
        List.of("fleet", "member", file.toString(), "--name", name, "--data", data.toString()));
    if (!option.isEmpty()) {
      line.add(option);
    }
    history.add(name, "start", Map.of());
    Process started = new ProcessBuilder(line).redirectErrorStream(true).start();
    process = started;
    Thread reader = new Thread(() -> read(started), "log of " + name);
    reader.setDaemon(true);
    reader.start();
  }

  private void read(Process running) {
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(running.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        // "12.345 a gained shard=sweep/0 epoch=4": time, name, event, details.
        String[] parts = line.split(" ", 4);
        boolean fromMember = parts.length > 2 && parts[1].equals(name);
        Map<String, String> details = new java.util.TreeMap<>();
        details.put("line", line);
        Matcher pair = PAIR.matcher(line);
        while (pair.find()) {
          details.put(pair.group(1), pair.group(2));
        }
        if (fromMember && parts[2].equals("listening")) {
          endpointListAddress = details.get("list");
          addressListener.listening(
              EndpointListParser.address(details.get("address")),
              details.containsKey("gossip")
                  ? EndpointListParser.address(details.get("gossip"))
                  : null);
        }
        history.add(name, fromMember ? parts[2] : "said", details);
      }
    } catch (IOException closed) {
      // The end of the stream is handled below.
    }
    history.add(
        name, "ended", Map.of("code", Integer.toString(running.onExit().join().exitValue())));
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  /** Returns the revision of the endpoint list that the member relays now, -1 if it has none. */
  long endpointListRevision() {
    try (InputStream in =
        URI.create("http://" + endpointListAddress + "/api/targets").toURL().openStream()) {
      String line = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      Matcher revision = REVISION.matcher(line);
      return revision.find() ? Long.parseLong(revision.group(1)) : -1;
    } catch (IOException | IllegalArgumentException unavailable) {
      return -1;
    }
  }

  void kill() {
    process.destroyForcibly();
  }

  void terminate() {
    process.destroy();
  }

  /** Sends a command to a {@link FaultInjectingMember} through its standard input. */
  void sendCommand(String line) throws IOException {
    process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    process.getOutputStream().flush();
  }

  /** Flips one bit in the middle of the newest file of the log. */
  void flipLogBit() throws IOException {
    try (Stream<Path> files = Files.list(data)) {
      Path newest =
          files
              .filter(path -> path.getFileName().toString().startsWith("voter-"))
              .max(Comparator.naturalOrder())
              .orElseThrow();
      byte[] bytes = Files.readAllBytes(newest);
      bytes[bytes.length / 2] ^= 4;
      Files.write(newest, bytes);
    }
  }

  /** Sends SIGSTOP or SIGCONT. */
  void setSuspended(boolean suspend) throws IOException, InterruptedException {
    if (alive()) {
      new ProcessBuilder("kill", suspend ? "-STOP" : "-CONT", Long.toString(process.pid()))
          .start()
          .waitFor();
    }
  }

  void awaitEnd() throws InterruptedException {
    process.waitFor(10, TimeUnit.SECONDS);
  }

  /** Deletes the data folder. */
  void deleteData() throws IOException {
    try (Stream<Path> files = Files.walk(data)) {
      for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
