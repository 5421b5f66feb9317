package ferngrade.http;

import ferngrade.config.EndpointListParser;
import ferngrade.node.Clock;
import ferngrade.node.LoopMonitor;
import ferngrade.node.OperatorState;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.node.WorkerCallback;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * What operators' calls do, and those of the node's other processes. Each sees the node as it is
 * and what other processes were told before it; nothing here waits. Belongs to the event loop.
 */
public final class OperatorCalls {
  /**
   * How long after its call a change of maintenance waits to be stored before the caller is
   * notified that it is not yet, ms. A caller waits 1 s, and the node may be held up for 150 ms in
   * between.
   */
  public static final double STORE_TIMEOUT = 700;

  /** The least that the disk gets for that, ms: a call is not known to have come as early. */
  private static final double MIN_STORE_TIMEOUT = 50;

  private final RequestCoordinator node;
  private final HttpFrontend front;
  private final UpgradePeers upgradePeers;
  private final OperatorState state;
  private final ArrivalClock arrivals;
  private final Clock clock;
  private final Timers timers;
  private final RateLimitedLog log;
  private final MetricsPage metrics;
  private final ForcedCloses closes;

  /**
   * What the operators' calls act on; {@code state} is null where nothing is to outlive the
   * process, {@code upgradePeers} where it has no others beside it.
   */
  public record Parts(
      RequestCoordinator node,
      HttpFrontend front,
      UpgradePeers upgradePeers,
      List<String> classes,
      OperatorState state,
      ArrivalClock arrivals,
      LoopMonitor loopMonitor,
      ForcedCloses operatorCloses,
      IntSupplier reloadsOk,
      IntSupplier reloadsFailed) {}

  /** The operators' connections that the node has closed unasked. */
  ForcedCloses closes() {
    return closes;
  }

  public OperatorCalls(Parts parts, Clock clock, Timers timers, RateLimitedLog log) {
    this.node = parts.node();
    this.front = parts.front();
    this.upgradePeers = parts.upgradePeers();
    this.state = parts.state();
    this.closes = parts.operatorCloses();
    this.metrics = new MetricsPage(parts);
    this.arrivals = parts.arrivals();
    this.clock = clock;
    this.timers = timers;
    this.log = log;
  }

  /** Since when calls that are read now may have lain on this machine. */
  ArrivalClock arrivals() {
    return arrivals;
  }

  boolean ready() {
    refresh();
    return node.ready() && !front.draining() && (state == null || state.complete());
  }

  /** Each call sees what other processes of the node were told before it. */
  private void refresh() {
    if (state != null) {
      state.refresh();
    }
  }

  /**
   * A callback that the other process of this node got for a job of this one. True if this process
   * has or had the job, and so accepted it.
   */
  boolean callback(String body) throws BadRequestException {
    WorkerCallback callback = WorkerCallbackParser.read(body);
    if (!node.knowsOf(callback.id())) {
      return false;
    }
    node.callback(callback);
    return true;
  }

  /**
   * Another process of this node announces where it takes calls; false where this one has its own
   * socket.
   */
  boolean announced(String address) {
    if (upgradePeers == null) {
      return false;
    }
    upgradePeers.at(EndpointListParser.address(address.trim()));
    return true;
  }

  /**
   * Another process of this node sends a record that it has appended, or could not append, to the
   * log of both; false where this one keeps no state.
   */
  boolean recordReceived(String text) {
    if (state == null) {
      return false;
    }
    state.received(text);
    return true;
  }

  void drain() {
    log.line("drained by operators");
    decided(true);
  }

  private void decided(boolean drained) {
    if (state != null) {
      state.refresh();
      state.drain(drained);
    } else if (drained) {
      front.drainForOperators();
    } else {
      front.resume();
    }
  }

  void resume() {
    log.line("taking clients again");
    decided(false);
  }

  /** What became of a call that takes a worker out or back. */
  enum MaintenanceOutcome {
    /** Nobody has that name; nothing has changed. */
    UNKNOWN_WORKER,
    /** The change holds, and outlives this process. */
    STORED,
    /**
     * The change holds in this process, but could not be stored in time; attempts to store it go
     * on.
     */
    NOT_STORED_YET
  }

  /**
   * True if another process's decision on this worker may be later than a call that may have come
   * as early as {@code arrived}, ms on the clock.
   */
  boolean mayBeSuperseded(String worker, double arrived) {
    refresh();
    return state != null && state.decidedElsewhereSince(worker, arrived);
  }

  /** A call back is passed over: its caller has gone, and another process has decided since. */
  void passOver(String worker) {
    log.line(
        "menu worker "
            + worker
            + " is not taken back: the caller has gone, and another process has decided since");
  }

  /**
   * Takes a worker out, or back; {@code answer} gets the outcome, {@link #STORE_TIMEOUT} after
   * {@code arrived} if it is not stored by then. A change that is stored later is reported then;
   * only the first outcome counts.
   *
   * @param arrived the earliest time at which the call may have come, ms on the clock
   */
  void maintain(String worker, boolean out, double arrived, Consumer<MaintenanceOutcome> answer) {
    refresh();
    boolean known = out ? node.startMaintenance(worker) : node.endMaintenance(worker);
    if (!known) {
      answer.accept(MaintenanceOutcome.UNKNOWN_WORKER);
      return;
    }
    log.line(
        "menu worker " + worker + (out ? " taken out by operators" : " taken back by operators"));
    if (state == null) {
      answer.accept(MaintenanceOutcome.STORED);
      return;
    }
    double left = Math.max(MIN_STORE_TIMEOUT, arrived + STORE_TIMEOUT - clock.now());
    Timers.Timer timeout =
        timers.after(left, () -> answer.accept(MaintenanceOutcome.NOT_STORED_YET));
    state.storeMaintenance(
        worker,
        () -> {
          timeout.cancel();
          answer.accept(MaintenanceOutcome.STORED);
        });
  }

  /** The metrics in the operators' form. */
  String metrics() {
    refresh();
    return metrics.text();
  }
}
