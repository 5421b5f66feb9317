package ferngrade.faulttest.upgrade;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import ferngrade.faulttest.upgrade.Observations.OperatorCall;
import ferngrade.faulttest.upgrade.Observations.Verb;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Stream;

/**
 * One node with its platform, workers, discovery agents, clients and operators, all on loopback.
 * The caller controls the events of the run; {@link #observations} returns the recorded events.
 */
public final class UpgradeRun implements AutoCloseable {
  static final String ZONE = "here";
  static final String KIND = "standard";
  static final String TENANT = "tenant";
  static final String RESULT = "done ";

  /** The status of a call that reached the process and was not answered before the timeout. */
  static final int NO_ANSWER = 0;

  /** The status of a call to a process that does not listen. */
  static final int NOT_LISTENING = -1;

  /** The timeout of an operator's call, ms. */
  private static final int OPERATOR_TIMEOUT_MILLIS = 1000;

  /** The time within which a process must become ready, ms; startup is slow on a busy machine. */
  private static final long READY_TIMEOUT_MILLIS = 30_000;

  private static final long READY_POLL_MILLIS = 20;
  private static final int MAX_DEADLINE_MILLIS = 3000;
  private static final String CLASS_ARCHIVE_SUFFIX = ".jsa";

  private final Observations observations = new Observations();
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Path folder;
  private final Path sharedFolder;
  private final RunSettings settings;
  private final List<WorkerStub> workers = new ArrayList<>();
  private final List<DiscoveryStub> discoveries = new ArrayList<>();
  private final ProcessLauncher launcher;
  private int discoveryIndex;

  /** Creates a run whose processes {@code command} starts. */
  public UpgradeRun(List<String> command, RunSettings settings) throws IOException {
    this.settings = settings;
    folder = Files.createTempDirectory("upgrade-run");
    sharedFolder = Files.createDirectory(folder.resolve("shared"));
    for (int i = 1; i <= settings.workers(); i++) {
      this.workers.add(
          new WorkerStub("s-" + i, observations, scheduler, executor, settings.behaviour()));
    }
    discoveries.add(new DiscoveryStub(this.workers));
    discoveries.add(new DiscoveryStub(this.workers));
    launcher = new ProcessLauncher(command, folder, observations);
    this.workers.forEach(worker -> worker.setCallbackAddress(sender -> launcher.clients()));
    writeConfiguration();
  }

  /**
   * Returns the command that starts {@code serve} with the classes of this program, within the
   * limits of the deploy file. If the build has created a class archive, the command uses it, as a
   * deployment does.
   */
  public static List<String> currentProgramCommand() {
    String classPath = System.getProperty("java.class.path");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            "-Xms32m",
            "-Xmx48m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=12m",
            "-XX:MaxMetaspaceSize=32m",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData"));
    command.addAll(classArchive(classPath));
    command.addAll(List.of("-cp", classPath, "ferngrade.Main", "serve"));
    return command;
  }

  /**
   * Returns the options for the class archive beside the jar; none if {@code classPath} is not a
   * single jar with an archive. The runtime silently ignores an archive that does not match.
   */
  static List<String> classArchive(String classPath) {
    Path archive = Path.of(classPath.replaceFirst("[.]jar$", CLASS_ARCHIVE_SUFFIX));
    if (!classPath.endsWith(".jar") || !Files.exists(archive)) {
      return List.of();
    }
    return List.of(
        "-Xshare:auto",
        "-XX:SharedArchiveFile=" + archive,
        "-Xlog:disable",
        "-Xlog:all=error:stderr");
  }

  /** Returns the observations so far. */
  public Observations observations() {
    return observations;
  }

  /** Returns the limits of the node's configuration. */
  public NodeLimits limits() {
    return settings.limits();
  }

  /** Returns the names of the workers. */
  public List<String> workerNames() {
    return workers.stream().map(WorkerStub::name).toList();
  }

  /** Returns the number of jobs running or queued at all workers. */
  int jobsInProgress() {
    return workers.stream().mapToInt(WorkerStub::jobsInProgress).sum();
  }

  /** Returns the number of slots of all workers. */
  int slots() {
    return workers.stream().mapToInt(WorkerStub::slots).sum();
  }

  /** Makes a worker misbehave from now on. */
  void setFault(int worker, WorkerFault fault) {
    observations.step(0, "worker " + workers.get(worker).name() + ": " + fault);
    workers.get(worker).setFault(fault);
  }

  /** Returns the folder that the processes share. */
  public Path sharedFolder() {
    return sharedFolder;
  }

  private void writeConfiguration() throws IOException {
    JsonArray classes = new JsonArray();
    for (JobKind kind : JobKind.values()) {
      classes.add(
          new JsonObject()
              .add("Name", kind.label)
              .add("Effect", kind.effect)
              .add("KeyScope", "all")
              .add("Window", 15_000)
              .add("GoalTime", settings.latencyObjective())
              .add("Deadline", MAX_DEADLINE_MILLIS));
    }
    JsonObject nodeSettings =
        new JsonObject()
            .add("Discovery", "push")
            .add("Zones", new JsonArray().add(ZONE))
            .add("Kinds", new JsonArray().add(KIND))
            .add(
                "Tenants",
                new JsonArray().add(new JsonObject().add("Name", TENANT).add("Share", 1)))
            .add(
                "Ceilings",
                new JsonObject()
                    .add("MostTries", 5)
                    .add("Cancel", true)
                    .add("ConnectTimeout", 250)
                    .add("RetryAfter", true)
                    .add("MaxRetryAfter", 2000))
            .add("Extra", new JsonObject().add("TellsStart", settings.behaviour().tellsStart()))
            .add("Classes", classes);
    InetSocketAddress agent = discoveries.get(discoveryIndex).address();
    JsonObject configuration =
        new JsonObject()
            .add("name", "n1")
            .add("listen", "127.0.0.1:0")
            .add("discovery", "127.0.0.1:" + agent.getPort())
            .add("seed", "7")
            .add(
                "limits",
                new JsonObject()
                    .add("memory_mb", limits().memoryMb())
                    .add("sockets", limits().descriptors()))
            .add("settings", nodeSettings);
    Files.writeString(folder.resolve("node.json"), configuration.toString());
  }

  // ---- The platform ----

  /** Starts another process of the node. */
  public ServingProcess start() throws IOException, InterruptedException {
    Map<String, String> environment = new LinkedHashMap<>();
    environment.put("LB_CONFIG", folder.resolve("node.json").toString());
    environment.put("LB_ADMIN", "127.0.0.1:0");
    environment.put("LB_ACCEPT_FD", "0");
    environment.put("TMPDIR", sharedFolder.toString());
    return launcher.start(environment);
  }

  /** Waits until the process reports that it is ready; fails if it ends or times out before. */
  public void awaitReady(ServingProcess process) throws IOException, InterruptedException {
    InetSocketAddress operators = process.operators(READY_TIMEOUT_MILLIS);
    double end = observations.now() + READY_TIMEOUT_MILLIS;
    while (observations.now() < end && process.alive()) {
      if (getStatus(operators, "/-/ready") == 200) {
        observations.step(process.pid(), "the platform has detected that the process is ready");
        return;
      }
      Thread.sleep(READY_POLL_MILLIS);
    }
    throw new IOException("process " + process.pid() + " did not become ready");
  }

  /** Returns the status of a GET request, 0 if there was no answer. */
  static int getStatus(InetSocketAddress operators, String path) {
    try {
      return HttpConnection.call(operators, "GET " + path, "", OPERATOR_TIMEOUT_MILLIS).status();
    } catch (IOException unanswered) {
      return 0;
    }
  }

  /** Sends a signal, given by its name without SIG. */
  public void signal(ServingProcess process, String name) throws IOException, InterruptedException {
    observations.step(process.pid(), "SIG" + name);
    process.signal(name);
  }

  /**
   * Changes the discovery address in the configuration to that of the other agent. A process reads
   * the changed configuration after a SIGHUP.
   */
  public void moveDiscovery() throws IOException {
    discoveryIndex = 1 - discoveryIndex;
    writeConfiguration();
  }

  /**
   * Stops the discovery agent that the configuration no longer names, and creates a new agent to
   * replace it.
   */
  void stopFormerDiscovery() throws IOException {
    int former = 1 - discoveryIndex;
    discoveries.get(former).close();
    discoveries.set(former, new DiscoveryStub(workers));
  }

  /**
   * Waits until a process watches the agent that the configuration names; false after {@code
   * timeout} ms.
   */
  boolean awaitWatch(long timeout) throws InterruptedException {
    double end = observations.now() + timeout;
    while (observations.now() < end && discoveries.get(discoveryIndex).watches() == 0) {
      Thread.sleep(READY_POLL_MILLIS);
    }
    return discoveries.get(discoveryIndex).watches() > 0;
  }

  /** Returns the processes that have not ended. */
  public List<ServingProcess> alive() {
    return launcher.alive();
  }

  // ---- Clients and operators ----

  /** Starts clients that send requests until they are stopped. */
  ClientLoad load(int clients, double meanPause, double deadline, long seed) {
    return load(clients, new ClientBehaviour(meanPause, deadline, 0), seed);
  }

  /** Starts clients with this behaviour that send requests until they are stopped. */
  ClientLoad load(int clients, ClientBehaviour behaviour, long seed) {
    return new ClientLoad(launcher.clients(), observations, clients, behaviour, seed);
  }

  /** Returns the address that clients connect to. */
  InetSocketAddress clients() {
    return launcher.clients();
  }

  /**
   * Sends an operator's call to one process. The call is about {@code worker}, or about the node if
   * {@code worker} is null.
   */
  public OperatorCall operate(ServingProcess process, Verb verb, String worker) {
    String name = verb.name().toLowerCase(java.util.Locale.ROOT);
    String path = worker == null ? "/-/" + name : "/-/menu-workers/" + worker + "/" + name;
    double calledAt = observations.now();
    int status = NOT_LISTENING;
    InetSocketAddress operators = process.operatorsIfListening();
    if (operators != null) {
      status = NO_ANSWER;
      try {
        status =
            HttpConnection.call(operators, "POST " + path, "", OPERATOR_TIMEOUT_MILLIS).status();
      } catch (ConnectException refused) {
        status = NOT_LISTENING;
      } catch (IOException unanswered) {
        // Recorded as not answered.
      }
    }
    OperatorCall call =
        new OperatorCall(verb, worker, process.pid(), calledAt, observations.now(), status);
    if (status != NOT_LISTENING) {
      observations.add(call);
    }
    observations.step(
        process.pid(),
        "operators: " + name + (worker == null ? "" : " " + worker) + " -> " + status);
    return call;
  }

  @Override
  public void close() {
    launcher.close();
    scheduler.shutdownNow();
    workers.forEach(WorkerStub::close);
    executor.shutdownNow();
    try (Stream<Path> files = Files.walk(folder)) {
      for (DiscoveryStub agent : discoveries) {
        agent.close();
      }
      for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }
}
