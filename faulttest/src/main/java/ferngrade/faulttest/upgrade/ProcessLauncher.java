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
 * Stands in for the platform that owns the clients' listening socket. Starts processes that inherit
 * the socket as descriptor 0. A Perl script starts the processes, because Java cannot pass a socket
 * to a child process.
 */
final class ProcessLauncher implements AutoCloseable {
  private static final String SCRIPT = "launch.pl";
  private static final long START_TIMEOUT_MILLIS = 10_000;
  private static final Pattern LOG_LINE = Pattern.compile("\\S+ \\S+\\[(\\d+)\\] (.*)");
  private static final Pattern LISTENING = Pattern.compile("operators' calls at /(\\S+)");

  private final Observations observations;
  private final Process launcher;
  private final InetSocketAddress clients;
  private final BlockingQueue<Long> started = new LinkedBlockingQueue<>();
  private final Map<Long, ServingProcess> processes = new ConcurrentHashMap<>();

  /** Opens the socket for processes that {@code command} starts. */
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
    startDaemon("launcher", () -> readReports(out));
    startDaemon("logs", () -> readLogs(launcher.errorReader(StandardCharsets.UTF_8)));
  }

  private static void startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the address that clients connect to. */
  InetSocketAddress clients() {
    return clients;
  }

  /** Starts a process with these additional environment variables. */
  synchronized ServingProcess start(Map<String, String> environment)
      throws IOException, InterruptedException {
    StringBuilder line = new StringBuilder("start");
    environment.forEach((name, value) -> line.append('\t').append(name).append('=').append(value));
    launcher.outputWriter(StandardCharsets.UTF_8).append(line).append('\n').flush();
    Long pid = started.poll(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
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
          process(pid).recordExit(Integer.parseInt(words[2]));
        }
      }
    } catch (IOException closed) {
      // The launcher has been terminated at the end of the run.
    }
  }

  private void readLogs(BufferedReader log) {
    try {
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        Matcher logLine = LOG_LINE.matcher(line);
        if (!logLine.matches()) {
          observations.step(0, line);
          continue;
        }
        long pid = Long.parseLong(logLine.group(1));
        observations.step(pid, logLine.group(2));
        Matcher listening = LISTENING.matcher(logLine.group(2));
        if (listening.find()) {
          process(pid).listening(EndpointListParser.address(listening.group(1)));
        }
      }
    } catch (IOException closed) {
      // The launcher has been terminated at the end of the run.
    }
  }

  /** Returns the processes that have not ended. */
  List<ServingProcess> alive() {
    return processes.values().stream().filter(ServingProcess::alive).toList();
  }

  /** Kills all processes and the launcher. */
  @Override
  public void close() {
    alive()
        .forEach(
            process -> ProcessHandle.of(process.pid()).ifPresent(ProcessHandle::destroyForcibly));
    launcher.destroy();
  }
}
