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
 * One node with its platform, workers, discovery, clients and operators, all on loopback. What
 * happens is up to the caller; what was seen is in {@link #observations}.
 */
public final class UpgradeRun implements AutoCloseable {
  static final String ZONE = "here";
  static final String KIND = "standard";
  static final String TENANT = "tenant";
  static final String RESULT = "done ";

  /** The status of a call that reached the process and was not answered in time. */
  static final int NO_ANSWER = 0;

  /** The status of a call for which nobody listened. */
  static final int NOT_CALLED = -1;

  /** How long an operator waits for an answer, ms. */
  private static final int OPERATOR_TIMEOUT = 1000;

  /** How long the platform gives a process until it is ready, ms; on a busy machine it is slow. */
  private static final long READY_TIMEOUT = 30_000;

  private static final long READY_POLL = 20;
  private static final int LONGEST_DEADLINE = 3000;
  private static final String CLASS_ARCHIVE_SUFFIX = ".jsa";

  private final Observations observations = new Observations();
  private final ScheduledExecutorService runner = Executors.newScheduledThreadPool(1);
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final Path folder;
  private final Path shared;
  private final RunSettings settings;
  private final List<WorkerStub> workers = new ArrayList<>();
  private final List<DiscoveryStub> discoveries = new ArrayList<>();
  private final ProcessLauncher launcher;
  private int discovery;

  /** A run whose processes {@code command} starts. */
  public UpgradeRun(List<String> command, RunSettings settings) throws IOException {
    this.settings = settings;
    folder = Files.createTempDirectory("upgrade-run");
    shared = Files.createDirectory(folder.resolve("shared"));
    for (int i = 1; i <= settings.workers(); i++) {
      this.workers.add(
          new WorkerStub("s-" + i, observations, runner, callers, settings.behaviour()));
    }
    discoveries.add(new DiscoveryStub(this.workers));
    discoveries.add(new DiscoveryStub(this.workers));
    launcher = new ProcessLauncher(command, folder, observations);
    this.workers.forEach(each -> each.callBackTo(sender -> launcher.clients()));
    writeConfiguration();
  }

  /**
   * The command that serves with the classes of this very program, within the bounds of the deploy
   * file and, like there, from a class archive where the build has made one.
   */
  public static List<String> thisProgram() {
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
   * The options for the class archive beside the jar, none where {@code classPath} is not a single
   * jar that has one. An archive that does not fit is ignored without a word.
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

  /** What was seen so far. */
  public Observations observations() {
    return observations;
  }

  /** The limits that the node's configuration names. */
  public NodeLimits limits() {
    return settings.limits();
  }

  /** The names of the workers. */
  public List<String> workerNames() {
    return workers.stream().map(WorkerStub::name).toList();
  }

  /** The jobs in work at all workers together. */
  int jobsInWork() {
    return workers.stream().mapToInt(WorkerStub::inWork).sum();
  }

  /** The slots of all workers together. */
  int slots() {
    return workers.stream().mapToInt(WorkerStub::slots).sum();
  }

  /** Has a worker do something wrong from now on. */
  void fault(int worker, WorkerFault fault) {
    observations.step(0, "worker " + workers.get(worker).name() + ": " + fault);
    workers.get(worker).fault(fault);
  }

  /** The folder that the processes share. */
  public Path sharedFolder() {
    return shared;
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
              .add("Deadline", LONGEST_DEADLINE));
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
    InetSocketAddress agent = discoveries.get(discovery).address();
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

  // ---- What the platform does ----

  /** Starts one more process of the node. */
  public ServingProcess start() throws IOException, InterruptedException {
    Map<String, String> environment = new LinkedHashMap<>();
    environment.put("LB_CONFIG", folder.resolve("node.json").toString());
    environment.put("LB_ADMIN", "127.0.0.1:0");
    environment.put("LB_ACCEPT_FD", "0");
    environment.put("TMPDIR", shared.toString());
    return launcher.start(environment);
  }

  /** Returns once the process says that it is ready. */
  public void awaitReady(ServingProcess process) throws IOException, InterruptedException {
    InetSocketAddress operators = process.operators(READY_TIMEOUT);
    double end = observations.now() + READY_TIMEOUT;
    while (observations.now() < end && process.alive()) {
      if (get(operators, "/-/ready") == 200) {
        observations.step(process.pid(), "ready, as the platform sees it");
        return;
      }
      Thread.sleep(READY_POLL);
    }
    throw new IOException("process " + process.pid() + " has not become ready");
  }

  /** The status of a call, 0 if there was no answer. */
  static int get(InetSocketAddress operators, String path) {
    try {
      return HttpConnection.call(operators, "GET " + path, "", OPERATOR_TIMEOUT).status();
    } catch (IOException unanswered) {
      return 0;
    }
  }

  /** Sends a signal, by its name without SIG. */
  public void signal(ServingProcess process, String name) throws IOException, InterruptedException {
    observations.step(process.pid(), "SIG" + name);
    process.signal(name);
  }

  /** Moves discovery in the configuration; SIGHUP has a process read it. */
  public void moveDiscovery() throws IOException {
    discovery = 1 - discovery;
    writeConfiguration();
  }

  /** The agent that the configuration does not name any more ends. */
  void endFormerDiscovery() throws IOException {
    int former = 1 - discovery;
    discoveries.get(former).close();
    discoveries.set(former, new DiscoveryStub(workers));
  }

  /** True once the agent that the configuration names is watched, within {@code timeout} ms. */
  boolean watched(long timeout) throws InterruptedException {
    double end = observations.now() + timeout;
    while (observations.now() < end && discoveries.get(discovery).watches() == 0) {
      Thread.sleep(READY_POLL);
    }
    return discoveries.get(discovery).watches() > 0;
  }

  /** The processes that have not ended. */
  public List<ServingProcess> alive() {
    return launcher.alive();
  }

  // ---- What clients and operators do ----

  /** Clients that send until they are stopped. */
  ClientLoad load(int clients, double meanPause, double deadline, long seed) {
    return load(clients, new ClientBehaviour(meanPause, deadline, 0), seed);
  }

  /** Clients of this behaviour that send until they are stopped. */
  ClientLoad load(int clients, ClientBehaviour behaviour, long seed) {
    return new ClientLoad(launcher.clients(), observations, clients, behaviour, seed);
  }

  /** Where clients connect. */
  InetSocketAddress clients() {
    return launcher.clients();
  }

  /** An operator's call at one process, about a worker or, if that is null, about the node. */
  public OperatorCall operate(ServingProcess process, Verb verb, String worker) {
    String name = verb.name().toLowerCase(java.util.Locale.ROOT);
    String path = worker == null ? "/-/" + name : "/-/menu-workers/" + worker + "/" + name;
    double calledAt = observations.now();
    int status = NOT_CALLED;
    InetSocketAddress operators = process.operatorsNow();
    if (operators != null) {
      status = NO_ANSWER;
      try {
        status = HttpConnection.call(operators, "POST " + path, "", OPERATOR_TIMEOUT).status();
      } catch (ConnectException refused) {
        status = NOT_CALLED;
      } catch (IOException unanswered) {
        // Counts as no answer.
      }
    }
    OperatorCall call =
        new OperatorCall(verb, worker, process.pid(), calledAt, observations.now(), status);
    if (status != NOT_CALLED) {
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
    runner.shutdownNow();
    workers.forEach(WorkerStub::close);
    callers.shutdownNow();
    try (Stream<Path> files = Files.walk(folder)) {
      for (DiscoveryStub each : discoveries) {
        each.close();
      }
      for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(each);
      }
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }
}
