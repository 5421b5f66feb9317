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

/** Hosts decision modules behind the simulator's wire; it translates and decides nothing. */
public final class SimulatorHost {
  private static final int LISTS = 16;

  private final WireReader in;
  private final WireWriter out;
  private final Map<String, Seat> seats = new HashMap<>();
  private final List<List<Worker>> lists = new ArrayList<>();
  private Seat seat;
  private double now;

  /** One instance's place: its module, if it runs, and the way out for its actions. */
  private static final class Seat {
    private final WireWriter.Instance actions;
    private Dispatcher module;

    Seat(WireWriter.Instance actions) {
      this.actions = actions;
    }
  }

  SimulatorHost(InputStream in, OutputStream out) {
    this.in = new WireReader(in);
    this.out = new WireWriter(out);
    for (int i = 0; i < LISTS; i++) {
      lists.add(null);
    }
  }

  /** Serves the wire on these streams until the input ends. */
  public static void run(InputStream in, OutputStream out) throws IOException {
    new SimulatorHost(in, out).run();
  }

  void run() throws IOException {
    boolean inBatch = false;
    while (in.nextLine()) {
      String message = in.message();
      if (message.equals("BEGIN_BATCH")) {
        if (inBatch) {
          throw in.wrong("BEGIN_BATCH inside a batch");
        }
        now = in.number("Clock");
        inBatch = true;
        seat = null;
      } else if (message.isEmpty()) {
        continue;
      } else if (!inBatch) {
        throw in.wrong(message + " outside a batch");
      } else if (message.equals("FLUSH")) {
        inBatch = false;
        out.flush();
      } else {
        event(message);
      }
    }
    if (inBatch) {
      throw in.wrong("the input ends inside a batch");
    }
  }

  private void event(String message) throws IOException {
    if (message.equals("ON")) {
      seat = seats.computeIfAbsent(in.text("Who"), name -> new Seat(out.new Instance(name)));
    } else if (message.equals("CENSUS")) {
      census();
    } else {
      if (seat == null) {
        throw in.wrong(message + " before any ON");
      }
      try {
        addressed(message);
      } catch (WireException malformed) {
        throw malformed;
      } catch (RuntimeException crash) {
        StackTraceElement[] trace = crash.getStackTrace();
        seat.actions.bailOut(message + ": " + crash + (trace.length > 0 ? " at " + trace[0] : ""));
      }
    }
  }

  private void addressed(String message) {
    switch (message) {
      case "CONFIGURE" -> configure();
      case "HALT" -> seat.module = null;
      case "INGRESS" -> ingress();
      case "UPDATE_OF" -> update();
      case "RESOLVED" -> resolved();
      case "BEGUN" -> {
        String id = in.text("Id");
        module().streaming(now, id, in.index("N"));
      }
      case "GONE" -> module().abandoned(now, in.text("Id"));
      case "REMINDER" -> module().timer(now, in.whole("Token"));
      case "MEMBERS" -> members();
      case "HEARD" -> heard();
      case "SAMPLED" -> sampled();
      default -> {}
    }
  }

  private Dispatcher module() {
    if (seat.module == null) {
      throw in.wrong(in.message() + " for an instance that does not run");
    }
    return seat.module;
  }

  private void configure() {
    long seed = in.whole("Entropy");
    SettingsMapping settings = new SettingsMapping();
    try {
      for (String pair = in.text(); pair != null; pair = in.text()) {
        settings.put(pair);
      }
      seat.module = new ThrottlingDispatcher(settings.build(), seed, now, seat.actions);
    } catch (IllegalArgumentException invalid) {
      throw in.wrong("Env", invalid.getMessage());
    }
  }

  private void ingress() {
    String id = in.text("Id");
    int jobClass = in.index("Class");
    int tenant = (int) in.whole("Customer", 0);
    long object = in.whole("TargetKey", 0);
    double due = in.number("Due");
    double work = in.number("Predicted", 0);
    double slots = in.number("CoresNeeded", 1);
    double memory = in.number("Memory", 0);
    long marks = in.whole("Attrs", 0);
    try {
      Job job =
          new Job(id, jobClass, tenant, due, (marks & 1) == 0 ? 0 : work, slots, memory, object);
      module().arrived(now, job);
    } catch (IllegalArgumentException invalid) {
      throw in.wrong("fields", invalid.getMessage());
    }
  }

  private void update() {
    String id = in.text("Id");
    int attempt = in.index("N");
    in.whole("Runner");
    long sort = in.whole("Sort", 0);
    double level = in.number("Level", 0);
    if (sort == 1) {
      module().started(now, id, attempt);
    } else if (sort == 2) {
      module().progressed(now, id, attempt, level);
    }
  }

  private void resolved() {
    String id = in.text("Id");
    in.whole("Runner");
    in.whole("Note", 0);
    int attempt = in.index("N");
    AttemptOutcome outcome = outcome();
    double took = in.number("TimeTaken", 0);
    boolean over = in.flag("Over");
    module().ended(now, id, attempt, outcome, took, over, report());
  }

  private void sampled() {
    long worker = in.whole("Runner");
    AttemptOutcome outcome = outcome();
    module().checked(now, worker, outcome, in.number("TimeTaken", 0), report());
  }

  private AttemptOutcome outcome() {
    String word = in.text("Reason");
    return switch (word) {
      case "ok" -> AttemptOutcome.OK;
      case "error" -> AttemptOutcome.ERROR;
      case "full" -> AttemptOutcome.FULL;
      case "timeout" -> AttemptOutcome.TIMEOUT;
      case "connect_failed" -> AttemptOutcome.CONNECT_FAILED;
      case "reset" -> AttemptOutcome.RESET;
      case "cancelled" -> AttemptOutcome.CANCELLED;
      case "moot" -> AttemptOutcome.NEVER_SENT;
      default -> throw in.wrong("Reason", "is unknown: " + word);
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
    double held = Double.NaN;
    for (String pair : gauge.split(",", 0)) {
      int colon = pair.indexOf(':');
      String name = pair.substring(0, Math.max(colon, 0));
      switch (name) {
        case "x0" -> slots = gaugeValue(pair, colon);
        case "x1" -> memory = gaugeValue(pair, colon);
        case "pending" -> queued = gaugeValue(pair, colon);
        case "busy_reqs" -> held = gaugeValue(pair, colon);
        default -> {}
      }
    }
    return new LoadReport(slots, memory, queued, held);
  }

  private double gaugeValue(String pair, int colon) {
    try {
      return Double.parseDouble(pair.substring(colon + 1));
    } catch (NumberFormatException notANumber) {
      throw in.wrong("Gauge", "is not a number: " + pair);
    }
  }

  private void census() throws IOException {
    int ref = listNumber();
    int count = in.index("Hosts");
    List<Worker> workers = new ArrayList<>(Math.min(count, 4096));
    for (int i = 0; i < count; i++) {
      if (!in.nextLine() || !in.message().equals("ROW")) {
        throw in.wrong("CENSUS of " + count + " entries has only " + i);
      }
      double startedAt = in.number("ReadyAt", 0);
      WorkerState state = state(in.text("Status"));
      int cell = (int) in.whole("Cohort", 0);
      int kind = (int) in.whole("Kind", 0);
      long id = in.whole("Runner");
      int zone = (int) in.whole("Area", 0);
      workers.add(new Worker(id, state, zone, kind, cell, startedAt, in.number("Weight", 1)));
    }
    lists.set(ref, workers);
  }

  private WorkerState state(String word) {
    return switch (word) {
      case "Ready" -> WorkerState.READY;
      case "Terminating" -> WorkerState.DRAINING;
      case "Gone" -> WorkerState.GONE;
      default -> throw in.wrong("Status", "is unknown: " + word);
    };
  }

  private int listNumber() {
    int ref = in.index("Ref");
    if (ref >= LISTS) {
      throw in.wrong("Ref", "is out of range: " + ref);
    }
    return ref;
  }

  private void members() {
    String mode = in.text("Mode");
    in.whole("Version", 0);
    if (mode.equals("Error")) {
      module().listFailed(now);
      return;
    }
    EndpointListUpdate news =
        switch (mode) {
          case "Partial" -> EndpointListUpdate.CHANGES;
          case "Complete" -> EndpointListUpdate.WHOLE;
          case "Persisted" -> EndpointListUpdate.STORED;
          default -> throw in.wrong("Mode", "is unknown: " + mode);
        };
    List<Worker> workers = lists.get(listNumber());
    if (workers == null) {
      throw in.wrong("Ref", "names a list that never came");
    }
    module().members(now, news, workers);
  }

  private void heard() {
    int from = in.index("Author");
    String body = in.text();
    try {
      module().heard(now, from, body == null ? new byte[0] : Base64.getDecoder().decode(body));
    } catch (IllegalArgumentException notBase64) {
      throw in.wrong("Body", "is not base64");
    }
  }
}
