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

/** The program as a member, in a process of its own; what it says goes into the history. */
final class ProcessMember {
  private static final Pattern PAIR = Pattern.compile("([a-z]+)=(\\S+)");

  private static final Pattern REVISION = Pattern.compile("\"revision\":([0-9]+)");

  final String name;
  private final List<String> program;
  private final Path file;
  private final Path data;
  private final History history;
  private final Listens listens;
  private Process process;
  private volatile String listAt;
  private boolean begun;

  /**
   * Is told where a member listens, anew with each start; {@code datagrams} is null if it takes
   * none.
   */
  @FunctionalInterface
  interface Listens {
    /** It listens there. */
    void at(InetSocketAddress address, InetSocketAddress datagrams);
  }

  /** A member that is not started yet. */
  ProcessMember(
      String name, List<String> program, Path file, Path data, History history, Listens listens) {
    this.listens = listens;
    this.name = name;
    this.program = program;
    this.file = file;
    this.data = data;
    this.history = history;
  }

  /** Starts it, the first time so that it begins a new fleet. */
  void start() throws IOException {
    start(begun ? "" : "--found");
  }

  /** Starts it with this option, empty for none. */
  void start(String option) throws IOException {
    begun = true;
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

  private void read(Process from) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        // "12.345 a gained shard=sweep/0 epoch=4": time, name, what, details.
        String[] parts = line.split(" ", 4);
        boolean own = parts.length > 2 && parts[1].equals(name);
        Map<String, String> details = new java.util.TreeMap<>();
        details.put("line", line);
        Matcher pair = PAIR.matcher(line);
        while (pair.find()) {
          details.put(pair.group(1), pair.group(2));
        }
        if (own && parts[2].equals("listening")) {
          listAt = details.get("list");
          listens.at(
              EndpointListParser.address(details.get("address")),
              details.containsKey("gossip")
                  ? EndpointListParser.address(details.get("gossip"))
                  : null);
        }
        history.add(name, own ? parts[2] : "said", details);
      }
    } catch (IOException ended) {
      // Its end is what counts, and is seen below.
    }
    history.add(name, "ended", Map.of("code", Integer.toString(from.onExit().join().exitValue())));
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  /** The revision of the worker list that it passes on now, -1 if it has none. */
  long listed() {
    try (InputStream in = URI.create("http://" + listAt + "/api/targets").toURL().openStream()) {
      String line = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      Matcher revision = REVISION.matcher(line);
      return revision.find() ? Long.parseLong(revision.group(1)) : -1;
    } catch (IOException | IllegalArgumentException none) {
      return -1;
    }
  }

  void kill() {
    process.destroyForcibly();
  }

  void terminate() {
    process.destroy();
  }

  /** Gives an order to a member that takes such from its standard input. */
  void order(String line) throws IOException {
    process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    process.getOutputStream().flush();
  }

  /** Turns over a bit in the middle of the newest file of its log. */
  void flip() throws IOException {
    try (Stream<Path> files = Files.list(data)) {
      Path newest =
          files
              .filter(each -> each.getFileName().toString().startsWith("voter-"))
              .max(Comparator.naturalOrder())
              .orElseThrow();
      byte[] bytes = Files.readAllBytes(newest);
      bytes[bytes.length / 2] ^= 4;
      Files.write(newest, bytes);
    }
  }

  /** SIGSTOP or SIGCONT. */
  void stand(boolean still) throws IOException, InterruptedException {
    if (alive()) {
      new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid()))
          .start()
          .waitFor();
    }
  }

  void awaitEnd() throws InterruptedException {
    process.waitFor(10, TimeUnit.SECONDS);
  }

  /** Loses all that its folder holds. */
  void forget() throws IOException {
    try (Stream<Path> files = Files.walk(data)) {
      for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }
}
