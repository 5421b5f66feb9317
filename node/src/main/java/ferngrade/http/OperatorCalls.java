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
 * Implements the calls of operators and of the node's other processes. Each call sees the present
 * state of the node and the changes made through other processes before it; no call blocks.
 * Confined to the event loop.
 */
public final class OperatorCalls {
  /**
   * The maximum time between the arrival of a maintenance call and its answer, in ms. If the change
   * is not stored by then, the answer reports that it is not stored yet. A caller waits 1 s for the
   * answer, and the node may be held up for 150 ms of that time.
   */
  public static final double STORE_TIMEOUT_MILLIS = 700;

  /**
   * The minimum time for the disk to store the change, in ms: the call may have arrived later than
   * assumed.
   */
  private static final double MIN_STORE_TIMEOUT_MILLIS = 50;

  /**
   * The time after the start for which a process that has not answered the call to join keeps this
   * one from being ready, in ms. Until that process has ended, requests are then rejected.
   */
  private static final double MAX_READY_DELAY_MILLIS = 2500;

  private final RequestCoordinator coordinator;
  private final HttpFrontend frontend;
  private final UpgradePeers upgradePeers;
  private final RequestIdClaims requestIds;
  private final OperatorState state;
  private final ArrivalClock arrivals;
  private final Clock clock;

  /** The time from which the node may be ready without having joined, in ms on the clock. */
  private final double readyWithoutJoinAt;

  private final Timers timers;
  private final RateLimitedLog log;
  private final MetricsPage metrics;
  private final ForcedCloses forcedCloses;

  /**
   * The parts of the node that the calls act on. {@code state} is null if no state outlives the
   * process, {@code upgradePeers} and {@code requestIds} are null if the node has no other
   * processes.
   */
  public record Parts(
      RequestCoordinator coordinator,
      HttpFrontend frontend,
      UpgradePeers upgradePeers,
      RequestIdClaims requestIds,
      List<String> classes,
      OperatorState state,
      ArrivalClock arrivals,
      LoopMonitor loopMonitor,
      ForcedCloses operatorCloses,
      IntSupplier reloadsOk,
      IntSupplier reloadsFailed) {}

  /**
   * Returns the statistics of the operators' connections that the node closed because of a limit or
   * a timeout.
   */
  ForcedCloses forcedCloses() {
    return forcedCloses;
  }

  public OperatorCalls(Parts parts, Clock clock, Timers timers, RateLimitedLog log) {
    this.coordinator = parts.coordinator();
    this.frontend = parts.frontend();
    this.upgradePeers = parts.upgradePeers();
    this.requestIds = parts.requestIds();
    this.state = parts.state();
    this.forcedCloses = parts.operatorCloses();
    this.metrics = new MetricsPage(parts);
    this.arrivals = parts.arrivals();
    this.clock = clock;
    this.readyWithoutJoinAt = clock.now() + MAX_READY_DELAY_MILLIS;
    this.timers = timers;
    this.log = log;
  }

  /** Returns the clock that provides the earliest arrival time of the calls read now. */
  ArrivalClock arrivals() {
    return arrivals;
  }

  boolean ready() {
    refresh();
    return coordinator.ready()
        && !frontend.draining()
        && (state == null || state.complete())
        && (requestIds == null || requestIds.joined() || clock.now() > readyWithoutJoinAt);
  }

  /** Reads the changes made through other processes of the node before this call. */
  private void refresh() {
    if (state != null) {
      state.refresh();
    }
  }

  /**
   * Handles a callback that another process of this node received and relayed. Returns true if this
   * process has or had the job and therefore accepted the callback.
   */
  boolean relayedCallback(String body) throws BadRequestException {
    WorkerCallback callback = WorkerCallbackParser.parse(body);
    return coordinator.callback(callback) || !coordinator.mayBelongElsewhere(callback.id());
  }

  /**
   * Handles the call of a starting process that joins this one; {@code answer} receives whether it
   * has got the ids of all requests.
   */
  void joined(String address, Consumer<Boolean> answer) {
    if (requestIds == null) {
      answer.accept(false);
    } else {
      requestIds.joinedBy(EndpointListParser.address(address.trim()), answer);
    }
  }

  /**
   * Handles the ids of another process: its address in the first line, and one id in each further
   * line. Returns false if this process shares no socket.
   */
  boolean idsReceived(String body) {
    if (requestIds == null) {
      return false;
    }
    List<String> lines = body.lines().toList();
    requestIds.idsReceived(
        EndpointListParser.address(lines.get(0)), lines.subList(1, lines.size()));
    return true;
  }

  /**
   * Handles the claim of another process to an id: its address in the first line, the id in the
   * second. Returns false if the id is in use.
   */
  boolean idClaimed(String body) {
    List<String> lines = body.lines().toList();
    return requestIds != null
        && lines.size() == 2
        && requestIds.claimedBy(EndpointListParser.address(lines.get(0)), lines.get(1));
  }

  /**
   * Handles the announcement of the address at which another process of this node receives calls.
   * Returns false if this process does not share a socket.
   */
  boolean peerAnnounced(String address) {
    if (upgradePeers == null) {
      return false;
    }
    upgradePeers.addAnnounced(EndpointListParser.address(address.trim()));
    return true;
  }

  /**
   * Handles a record that another process of this node has appended, or could not append, to the
   * shared log. Returns false if this process keeps no state.
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
    setDrained(true);
  }

  private void setDrained(boolean drained) {
    if (state != null) {
      state.refresh();
      state.drain(drained);
    } else if (drained) {
      frontend.drainForOperators();
    } else {
      frontend.resume();
    }
  }

  void resume() {
    log.line("taking clients again");
    setDrained(false);
  }

  /** The result of a call that disables or enables a worker. */
  enum MaintenanceOutcome {
    /** No worker has this name; nothing has changed. */
    UNKNOWN_WORKER,
    /** The change is in effect and outlives this process. */
    STORED,
    /**
     * The change is in effect in this process, but could not be stored in time; the process keeps
     * trying to store it.
     */
    NOT_STORED_YET
  }

  /**
   * Returns true if another process may have decided on this worker after a call arrived. {@code
   * arrivedAt} is the earliest time at which the call may have arrived, in ms on the node's clock.
   */
  boolean mayBeSuperseded(String worker, double arrivedAt) {
    refresh();
    return state != null && state.changedByOtherProcessSince(worker, arrivedAt);
  }

  /**
   * Ignores a call to enable a worker, because its caller has disconnected and another process has
   * decided since.
   */
  void ignoreEnable(String worker) {
    log.line(
        "menu worker "
            + worker
            + " is not enabled: its caller has disconnected, and another process has decided"
            + " since");
  }

  /**
   * Disables or enables a worker. {@code answer} receives the outcome, at the latest {@link
   * #STORE_TIMEOUT_MILLIS} after {@code arrivedAt}, even if the change is not stored by then. It is
   * called again if the change is stored later; only the first outcome counts.
   *
   * @param arrivedAt the earliest time at which the call may have arrived, in ms on the node's
   *     clock
   */
  void setMaintenance(
      String worker, boolean disable, double arrivedAt, Consumer<MaintenanceOutcome> answer) {
    refresh();
    boolean found =
        disable ? coordinator.startMaintenance(worker) : coordinator.endMaintenance(worker);
    if (!found) {
      answer.accept(MaintenanceOutcome.UNKNOWN_WORKER);
      return;
    }
    log.line(
        "menu worker "
            + worker
            + (disable ? " taken out by operators" : " taken back by operators"));
    if (state == null) {
      answer.accept(MaintenanceOutcome.STORED);
      return;
    }
    double remaining =
        Math.max(MIN_STORE_TIMEOUT_MILLIS, arrivedAt + STORE_TIMEOUT_MILLIS - clock.now());
    Timers.Timer timeout =
        timers.after(remaining, () -> answer.accept(MaintenanceOutcome.NOT_STORED_YET));
    state.storeMaintenance(
        worker,
        () -> {
          timeout.cancel();
          answer.accept(MaintenanceOutcome.STORED);
        });
  }

  /** Returns the metrics as text for operators. */
  String metrics() {
    refresh();
    return metrics.text();
  }
}
