package ferngrade.simulator;

import ferngrade.config.SettingsMapping;
import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs dispatchers under the simulator's protocol. Translates messages to calls of the dispatcher
 * and makes no decisions. Runs on the thread that calls it.
 */
public final class SimulatorHost {
  private static final int MAX_LISTS = 16;

  private final WireReader in;
  private final WireWriter out;
  private final Map<String, HostedInstance> instances = new HashMap<>();
  private final List<List<Worker>> endpointLists = new ArrayList<>();
  private HostedInstance instance;
  private double now;

  /** One simulated node: its dispatcher, null if it does not run, and the writer of its actions. */
  private static final class HostedInstance {
    private final WireWriter.InstanceActions actions;
    private Dispatcher dispatcher;

    HostedInstance(WireWriter.InstanceActions actions) {
      this.actions = actions;
    }
  }

  SimulatorHost(InputStream in, OutputStream out) {
    this.in = new WireReader(in);
    this.out = new WireWriter(out);
    for (int i = 0; i < MAX_LISTS; i++) {
      endpointLists.add(null);
    }
  }

  /** Serves the protocol on these streams until the input ends. */
  public static void run(InputStream in, OutputStream out) throws IOException {
    new SimulatorHost(in, out).run();
  }

  void run() throws IOException {
    boolean inBatch = false;
    while (in.nextLine()) {
      String message = in.message();
      if (message.equals("BEGIN_BATCH")) {
        if (inBatch) {
          throw in.malformed("BEGIN_BATCH inside a batch");
        }
        now = in.number("Clock");
        inBatch = true;
        instance = null;
      } else if (message.isEmpty()) {
        continue;
      } else if (!inBatch) {
        throw in.malformed(message + " outside a batch");
      } else if (message.equals("FLUSH")) {
        inBatch = false;
        out.flush();
      } else {
        handleMessage(message);
      }
    }
    if (inBatch) {
      throw in.malformed("the input ends inside a batch");
    }
  }

  private void handleMessage(String message) throws IOException {
    if (message.equals("ON")) {
      instance =
          instances.computeIfAbsent(
              in.text("Who"), name -> new HostedInstance(out.new InstanceActions(name)));
    } else if (message.equals("CENSUS")) {
      readEndpointList();
    } else {
      if (instance == null) {
        throw in.malformed(message + " before any ON");
      }
      try {
        deliver(message);
      } catch (WireException malformed) {
        throw malformed;
      } catch (RuntimeException crash) {
        StackTraceElement[] trace = crash.getStackTrace();
        instance.actions.reportCrash(
            message + ": " + crash + (trace.length > 0 ? " at " + trace[0] : ""));
      }
    }
  }

  private void deliver(String message) {
    switch (message) {
      case "CONFIGURE" -> configure();
      case "HALT" -> instance.dispatcher = null;
      case "INGRESS" -> requestArrived();
      case "UPDATE_OF" -> attemptUpdated();
      case "RESOLVED" -> attemptEnded();
      case "BEGUN" -> {
        String id = in.text("Id");
        dispatcher().attemptStreaming(now, id, in.nonNegativeInt("N"));
      }
      case "GONE" -> dispatcher().requestAbandoned(now, in.text("Id"));
      case "REMINDER" -> dispatcher().timerExpired(now, in.integer("Token"));
      case "MEMBERS" -> endpointsUpdated();
      case "HEARD" -> peerMessageReceived();
      case "SAMPLED" -> healthCheckCompleted();
      default -> {}
    }
  }

  private Dispatcher dispatcher() {
    if (instance.dispatcher == null) {
      throw in.malformed(in.message() + " for an instance that does not run");
    }
    return instance.dispatcher;
  }

  private void configure() {
    long seed = in.integer("Entropy");
    SettingsMapping settings = new SettingsMapping();
    try {
      for (String pair = in.text(); pair != null; pair = in.text()) {
        settings.put(pair);
      }
      instance.dispatcher = new ThrottlingDispatcher(settings.build(), seed, now, instance.actions);
    } catch (IllegalArgumentException invalid) {
      throw in.malformed("Env", invalid.getMessage());
    }
  }

  private void requestArrived() {
    String id = in.text("Id");
    int jobClass = in.nonNegativeInt("Class");
    int tenant = (int) in.integer("Customer", 0);
    long object = in.integer("TargetKey", 0);
    double deadline = in.number("Due");
    double work = in.number("Predicted", 0);
    double slots = in.number("CoresNeeded", 1);
    double memory = in.number("Memory", 0);
    long flags = in.integer("Attrs", 0);
    try {
      Job job =
          new Job(
              id, jobClass, tenant, deadline, (flags & 1) == 0 ? 0 : work, slots, memory, object);
      dispatcher().requestArrived(now, job);
    } catch (IllegalArgumentException invalid) {
      throw in.malformed("fields", invalid.getMessage());
    }
  }

  private void attemptUpdated() {
    String id = in.text("Id");
    int attempt = in.nonNegativeInt("N");
    in.integer("Runner");
    long sort = in.integer("Sort", 0);
    double level = in.number("Level", 0);
    if (sort == 1) {
      dispatcher().attemptStarted(now, id, attempt);
    } else if (sort == 2) {
      dispatcher().attemptProgressed(now, id, attempt, level);
    }
  }

  private void attemptEnded() {
    String id = in.text("Id");
    in.integer("Runner");
    in.integer("Note", 0);
    int attempt = in.nonNegativeInt("N");
    AttemptOutcome outcome = outcome();
    double durationMillis = in.number("TimeTaken", 0);
    boolean finalOutcome = in.flag("Over");
    dispatcher().attemptEnded(now, id, attempt, outcome, durationMillis, finalOutcome, report());
  }

  private void healthCheckCompleted() {
    long worker = in.integer("Runner");
    AttemptOutcome outcome = outcome();
    dispatcher().healthCheckCompleted(now, worker, outcome, in.number("TimeTaken", 0), report());
  }

  private AttemptOutcome outcome() {
    String text = in.text("Reason");
    return switch (text) {
      case "ok" -> AttemptOutcome.OK;
      case "error" -> AttemptOutcome.ERROR;
      case "full" -> AttemptOutcome.FULL;
      case "timeout" -> AttemptOutcome.TIMEOUT;
      case "connect_failed" -> AttemptOutcome.CONNECT_FAILED;
      case "reset" -> AttemptOutcome.RESET;
      case "cancelled" -> AttemptOutcome.CANCELLED;
      case "moot" -> AttemptOutcome.NEVER_SENT;
      default -> throw in.malformed("Reason", "is unknown: " + text);
    };
  }

  private LoadReport report() {
    String gauge = in.text();
    if (gauge == null) {
      return LoadReport.NONE;
    }
    double slots = Double.NaN;
    double memory = Double.NaN;
    double queued = Double.NaN;
    double jobs = Double.NaN;
    for (String pair : gauge.split(",", 0)) {
      int colon = pair.indexOf(':');
      String name = pair.substring(0, Math.max(colon, 0));
      switch (name) {
        case "x0" -> slots = gaugeValue(pair, colon);
        case "x1" -> memory = gaugeValue(pair, colon);
        case "pending" -> queued = gaugeValue(pair, colon);
        case "busy_reqs" -> jobs = gaugeValue(pair, colon);
        default -> {}
      }
    }
    return new LoadReport(slots, memory, queued, jobs);
  }

  private double gaugeValue(String pair, int colon) {
    try {
      return Double.parseDouble(pair.substring(colon + 1));
    } catch (NumberFormatException notANumber) {
      throw in.malformed("Gauge", "is not a number: " + pair);
    }
  }

  private void readEndpointList() throws IOException {
    int listNumber = listNumber();
    int count = in.nonNegativeInt("Hosts");
    List<Worker> workers = new ArrayList<>(Math.min(count, 4096));
    for (int i = 0; i < count; i++) {
      if (!in.nextLine() || !in.message().equals("ROW")) {
        throw in.malformed("CENSUS of " + count + " entries has only " + i);
      }
      double startedAt = in.number("ReadyAt", 0);
      WorkerState state = state(in.text("Status"));
      int cell = (int) in.integer("Cohort", 0);
      int workerType = (int) in.integer("Kind", 0);
      long id = in.integer("Runner");
      int zone = (int) in.integer("Area", 0);
      workers.add(new Worker(id, state, zone, workerType, cell, startedAt, in.number("Weight", 1)));
    }
    endpointLists.set(listNumber, workers);
  }

  private WorkerState state(String text) {
    return switch (text) {
      case "Ready" -> WorkerState.READY;
      case "Terminating" -> WorkerState.DRAINING;
      case "Gone" -> WorkerState.GONE;
      default -> throw in.malformed("Status", "is unknown: " + text);
    };
  }

  private int listNumber() {
    int listNumber = in.nonNegativeInt("Ref");
    if (listNumber >= MAX_LISTS) {
      throw in.malformed("Ref", "is out of range: " + listNumber);
    }
    return listNumber;
  }

  private void endpointsUpdated() {
    String mode = in.text("Mode");
    in.integer("Version", 0);
    if (mode.equals("Error")) {
      dispatcher().endpointWatchFailed(now);
      return;
    }
    EndpointListUpdate updateType =
        switch (mode) {
          case "Partial" -> EndpointListUpdate.CHANGES;
          case "Complete" -> EndpointListUpdate.WHOLE;
          case "Persisted" -> EndpointListUpdate.STORED;
          default -> throw in.malformed("Mode", "is unknown: " + mode);
        };
    List<Worker> workers = endpointLists.get(listNumber());
    if (workers == null) {
      throw in.malformed("Ref", "names a list that was never sent");
    }
    dispatcher().endpointsUpdated(now, updateType, workers);
  }

  private void peerMessageReceived() {
    int from = in.nonNegativeInt("Author");
    String body = in.text();
    try {
      dispatcher()
          .peerMessageReceived(
              now, from, body == null ? new byte[0] : Base64.getDecoder().decode(body));
    } catch (IllegalArgumentException notBase64) {
      throw in.malformed("Body", "is not base64");
    }
  }
}
