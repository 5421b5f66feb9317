package ferngrade.faulttest.upgrade;

import ferngrade.config.EndpointListParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stands for the platform that owns the clients' listening socket: starts processes which inherit
 * it as descriptor 0. Java cannot pass a socket on, so a Perl script does.
 */
final class ProcessLauncher implements AutoCloseable {
  private static final String SCRIPT = "launch.pl";
  private static final long START_TIMEOUT = 10_000;
  private static final Pattern LOG_LINE = Pattern.compile("\\S+ \\S+\\[(\\d+)\\] (.*)");
  private static final Pattern LISTENING = Pattern.compile("operators' calls at /(\\S+)");

  private final Observations observations;
  private final Process launcher;
  private final InetSocketAddress clients;
  private final BlockingQueue<Long> started = new LinkedBlockingQueue<>();
  private final Map<Long, ServingProcess> processes = new ConcurrentHashMap<>();

  /** Prepares the socket for processes that {@code command} starts. */
  ProcessLauncher(List<String> command, Path folder, Observations observations) throws IOException {
    this.observations = observations;
    Path script = folder.resolve(SCRIPT);
    Files.write(script, ProcessLauncher.class.getResourceAsStream(SCRIPT).readAllBytes());
    List<String> line = new ArrayList<>(List.of("perl", script.toString()));
    line.addAll(command);
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
    launcher = builder.start();
    BufferedReader out = launcher.inputReader(StandardCharsets.UTF_8);
    clients =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(out.readLine()));
    daemon("launcher", () -> readReports(out));
    daemon("logs", () -> readLogs(launcher.errorReader(StandardCharsets.UTF_8)));
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Where clients connect. */
  InetSocketAddress clients() {
    return clients;
  }

  /** Starts a process with these variables in its environment. */
  synchronized ServingProcess start(Map<String, String> environment)
      throws IOException, InterruptedException {
    StringBuilder line = new StringBuilder("start");
    environment.forEach((name, value) -> line.append('\t').append(name).append('=').append(value));
    launcher.outputWriter(StandardCharsets.UTF_8).append(line).append('\n').flush();
    Long pid = started.poll(START_TIMEOUT, TimeUnit.MILLISECONDS);
    if (pid == null) {
      throw new IOException("no process was started");
    }
    observations.step(pid, "process started");
    return process(pid);
  }

  private ServingProcess process(long pid) {
    return processes.computeIfAbsent(pid, ServingProcess::new);
  }

  private void readReports(BufferedReader out) {
    try {
      for (String line = out.readLine(); line != null; line = out.readLine()) {
        String[] words = line.split(" ", 3);
        long pid = Long.parseLong(words[1]);
        if (words[0].equals("started")) {
          started.add(pid);
        } else {
          observations.step(pid, "process ended, wait status " + words[2]);
          process(pid).ended(Integer.parseInt(words[2]));
        }
      }
    } catch (IOException ended) {
      // The launcher has ended with the run.
    }
  }

  private void readLogs(BufferedReader log) {
    try {
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        Matcher own = LOG_LINE.matcher(line);
        if (!own.matches()) {
          observations.step(0, line);
          continue;
        }
        long pid = Long.parseLong(own.group(1));
        observations.step(pid, own.group(2));
        Matcher listening = LISTENING.matcher(own.group(2));
        if (listening.find()) {
          process(pid).listening(EndpointListParser.address(listening.group(1)));
        }
      }
    } catch (IOException ended) {
      // The launcher has ended with the run.
    }
  }

  /** The processes that have not ended. */
  List<ServingProcess> alive() {
    return processes.values().stream().filter(ServingProcess::alive).toList();
  }

  /** Ends all processes and the launcher. */
  @Override
  public void close() {
    alive().forEach(each -> ProcessHandle.of(each.pid()).ifPresent(ProcessHandle::destroyForcibly));
    launcher.destroy();
  }
}
