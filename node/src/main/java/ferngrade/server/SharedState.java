package ferngrade.server;

import ferngrade.config.MaintenanceCodec;
import ferngrade.config.SharedRecordCodec;
import ferngrade.http.HttpFrontend;
import ferngrade.http.UpgradePeers;
import ferngrade.node.AtomicFile;
import ferngrade.node.Clock;
import ferngrade.node.DiscoveryRecord;
import ferngrade.node.DrainRecord;
import ferngrade.node.FinishingRecord;
import ferngrade.node.MaintenanceEntry;
import ferngrade.node.OperatorState;
import ferngrade.node.ProcessRecord;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.SharedLog;
import ferngrade.node.SharedRecord;
import ferngrade.node.Timers;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Replicates state between the processes of a node: operators' maintenance and drain decisions, and
 * the addresses of the processes. Each process appends its records to the {@link SharedLog} and
 * applies the records of the others; records are merged by version. Records are also pushed to the
 * other processes, so that they arrive even while the log cannot be written. Used on the event loop
 * only.
 */
final class SharedState implements OperatorState, UpgradePeers.RunningProcesses {
  /**
   * The maximum time for which an unreadable log keeps a process from becoming ready, in ms. After
   * that the process serves without the records in the log, since a node that never becomes ready
   * is worse.
   */
  private static final double MAX_LOG_WAIT_MILLIS = 2000;

  /**
   * The time after its start for which a process keeps a drain that was decided before the start,
   * in ms. The platform allows 6 s to become ready, of which the start itself takes a few hundred
   * ms, or seconds on a busy machine.
   */
  private static final double MAX_EARLIER_DRAIN_MILLIS = 2500;

  private static final long OWN_PID = ProcessHandle.current().pid();

  private final SharedLog sharedLog;

  /** The maintenance state in the format that processes of an earlier release read. */
  private final AtomicFile maintenanceFile;

  private final RequestCoordinator coordinator;
  private final HttpFrontend frontend;

  /** The other processes of the node; null if this process has its own socket. */
  private final UpgradePeers peers;

  private final Executor loop;
  private final Clock clock;
  private final Timers timers;
  private final RateLimitedLog log;
  private double openedAt;
  private final LiveProcesses processes;

  /** Moves discovery to the new address of a record if this process watches the former address. */
  private final Consumer<DiscoveryRecord> discoveryMoved;

  /**
   * Decisions on the node as a whole that were recorded before this process started; null once they
   * are applied. Such decisions are valid as long as a process of the node runs.
   */
  private List<SharedRecord> earlierDecisions = new ArrayList<>();

  private DrainRecord drain = DrainRecord.NONE;
  private InetSocketAddress ownAddress;

  /**
   * The time at which a decision of another process on a worker was last applied, in ms on the
   * clock, by worker name.
   */
  private final Map<String, Double> remoteDecisionTimes = new HashMap<>();

  /**
   * The time at which the record of this process was first read back from the log, in ms on the
   * clock; infinite while the log does not contain it. From then on, the other processes can append
   * to the log too. A process that runs at that time has its record in the log at most {@link
   * SharedLog#MAX_APPEND_DELAY_MILLIS} later.
   */
  private double ownRecordedAt = Double.POSITIVE_INFINITY;

  /**
   * The time at which the log was last read, in ms on the clock. A decision whose record was not in
   * the log at that time was made later.
   */
  private double lastRefreshAt = Double.NEGATIVE_INFINITY;

  /** The components that the shared state uses; {@code peers} is null without a shared socket. */
  record Parts(
      RequestCoordinator coordinator,
      HttpFrontend frontend,
      UpgradePeers peers,
      Consumer<DiscoveryRecord> discoveryMoved,
      LiveProcesses.Listener processesChanged,
      Executor loop,
      Clock clock,
      Timers timers,
      RateLimitedLog log) {}

  /** Creates the state kept in {@code folder}. */
  SharedState(StateFolder folder, Parts parts) {
    this.coordinator = parts.coordinator();
    this.frontend = parts.frontend();
    this.peers = parts.peers();
    this.discoveryMoved = parts.discoveryMoved();
    this.loop = parts.loop();
    this.clock = parts.clock();
    this.timers = parts.timers();
    this.log = parts.log();
    this.maintenanceFile = folder.maintenance();
    this.sharedLog = folder.sharedLog(loop, this::apply, this::appendAll);
    this.processes =
        new LiveProcesses(
            OWN_PID, folder.scheduler(), loop, SharedState::isAlive, parts.processesChanged());
    if (peers != null) {
      peers.setRunningProcesses(this);
    }
  }

  private static boolean isAlive(long pid) {
    return ProcessHandle.of(pid).isPresent();
  }

  /** Reads the log from its beginning and follows it from then on; blocks on disk reads. */
  void open() {
    openedAt = clock.now();
    sharedLog.open(peers != null);
    lastRefreshAt = clock.now();
    long out =
        coordinator.maintenanceDecisions().stream().filter(MaintenanceEntry::inMaintenance).count();
    if (out > 0) {
      log.line("operators' decisions restored: " + out + " workers are in maintenance");
    }
  }

  /** Applies the decisions on the node as a whole that were recorded before the start. */
  void applyEarlierDecisions() {
    if (!processes.othersRun()) {
      discardEarlierDecisions();
    }
    List<SharedRecord> decisions = earlierDecisions;
    earlierDecisions = null;
    decisions.forEach(this::apply);
    if (drain.drained()) {
      DrainRecord earlier = drain;
      timers.after(MAX_EARLIER_DRAIN_MILLIS, () -> endEarlierDrain(earlier));
    }
  }

  /**
   * Ends a drain that was decided before this process started, unless operators have made another
   * decision since. The platform allows a new process a few seconds to become ready and then ends
   * the drained process, so a new process that stays drained would leave the node without service.
   */
  private void endEarlierDrain(DrainRecord earlier) {
    if (drain.equals(earlier)) {
      log.line("resuming: this process takes over, and the drain was decided before it started");
      frontend.resume();
    }
  }

  /**
   * Discards decisions on the node as a whole. They end with the last process of the node, so that
   * a node that starts again serves clients.
   */
  private void discardEarlierDecisions() {
    for (SharedRecord record : earlierDecisions) {
      if (record instanceof DrainRecord decision && decision.supersedes(drain)) {
        drain = new DrainRecord(decision.version(), false);
      }
    }
    earlierDecisions.clear();
  }

  /** Returns true if another process of the node is running. */
  boolean othersRun() {
    return processes.othersRun();
  }

  @Override
  public boolean othersMayRun() {
    boolean othersRecorded = clock.now() - ownRecordedAt >= SharedLog.MAX_APPEND_DELAY_MILLIS;
    return othersRun() || !othersRecorded || !sharedLog.current();
  }

  /** Records that this process now serves operators' calls at {@code address}. */
  void recordAdminAddress(InetSocketAddress address) {
    ownAddress = address;
    if (peers != null) {
      peers.setOwnAddress(address);
      appendProcess();
    }
  }

  /**
   * Appends the record of this process. The record is not pushed, because this process also
   * announces its address to the other processes, including those of an earlier release.
   */
  private void appendProcess() {
    boolean first = !processes.othersRun();
    sharedLog.append(
        SharedRecordCodec.write(new ProcessRecord(OWN_PID, ownAddress, first)), () -> {});
  }

  /** Records that this process has stopped accepting jobs, and notifies the others. */
  void recordFinishing() {
    if (peers != null) {
      append(new FinishingRecord(OWN_PID), () -> {});
    }
  }

  @Override
  public void refresh() {
    sharedLog.poll();
    lastRefreshAt = clock.now();
  }

  @Override
  public void received(String record) {
    apply(record);
  }

  @Override
  public boolean complete() {
    return sharedLog.complete() || clock.now() - openedAt > MAX_LOG_WAIT_MILLIS;
  }

  private void apply(String text) {
    SharedRecord record;
    try {
      record = SharedRecordCodec.read(text);
    } catch (IllegalArgumentException malformed) {
      log.line("shared record", "malformed shared record ignored: " + malformed.getMessage());
      return;
    }
    if (record instanceof MaintenanceEntry decision) {
      apply(decision);
    } else if (record instanceof ProcessRecord process && peers != null) {
      if (process.first() && earlierDecisions != null) {
        discardEarlierDecisions();
      }
      peers.addRecorded(process.operators());
      processes.started(process.pid());
      if (process.operators().equals(ownAddress)) {
        ownRecordedAt = Math.min(ownRecordedAt, clock.now());
      }
    } else if (record instanceof FinishingRecord finishing) {
      processes.finishing(finishing.pid());
    } else if (record != null && earlierDecisions != null) {
      earlierDecisions.add(record);
    } else {
      apply(record);
    }
  }

  private void apply(SharedRecord record) {
    if (record instanceof DrainRecord decision) {
      apply(decision);
    } else if (record instanceof DiscoveryRecord moved) {
      discoveryMoved.accept(moved);
    }
  }

  private void apply(MaintenanceEntry decision) {
    boolean isNew = coordinator.mergeMaintenance(decision, lastRefreshAt);
    if (isNew) {
      remoteDecisionTimes.put(decision.worker(), clock.now());
    }
    // open() summarizes the decisions from before the start in one line.
    if (isNew && earlierDecisions == null) {
      log.line(
          "menu worker "
              + decision.worker()
              + (decision.inMaintenance() ? " taken out" : " taken back")
              + " at another process, version "
              + decision.version());
    }
  }

  private void apply(DrainRecord decision) {
    if (!decision.supersedes(drain)) {
      return;
    }
    boolean changes = decision.drained() != drain.drained();
    drain = decision;
    if (changes) {
      log.line(decision.drained() ? "drained at another process" : "resumed at another process");
      enforce(decision);
    }
  }

  private void enforce(DrainRecord decision) {
    if (decision.drained()) {
      frontend.drainForOperators();
    } else {
      frontend.resume();
    }
  }

  @Override
  public void storeMaintenance(String worker, Runnable whenStored) {
    MaintenanceEntry decision = coordinator.maintenanceDecision(worker);
    Runnable countDown = new CountDown(2, whenStored);
    if (decision == null) {
      // The worker was enabled without having been disabled, so there is no decision to share.
      countDown.run();
    } else {
      append(decision, countDown);
    }
    maintenanceFile.write(
        MaintenanceCodec.write(coordinator.savedMaintenance()), () -> loop.execute(countDown));
  }

  @Override
  public boolean changedByOtherProcessSince(String worker, double instant) {
    return remoteDecisionTimes.getOrDefault(worker, Double.NEGATIVE_INFINITY) >= instant;
  }

  @Override
  public void drain(boolean drained) {
    drain = drain.next(drained);
    enforce(drain);
    append(drain, () -> {});
  }

  /**
   * Records that a reload of this process has moved discovery. The record is not pushed, since
   * moves are applied in the order of the log.
   */
  void recordDiscoveryMove(DiscoveryRecord record) {
    sharedLog.append(SharedRecordCodec.write(record), () -> {});
  }

  /** Runs a task on the event loop once other processes can read all appended records. */
  void whenAppended(Runnable task) {
    sharedLog.whenAppended(() -> loop.execute(task));
  }

  private void append(SharedRecord record, Runnable whenStored) {
    String text = SharedRecordCodec.write(record);
    sharedLog.append(text, () -> loop.execute(whenStored));
    if (peers != null) {
      peers.push(text);
    }
  }

  /** Appends all current state after the log file was replaced by another file. */
  private void appendAll() {
    ownRecordedAt = Double.POSITIVE_INFINITY;
    coordinator.maintenanceDecisions().forEach(decision -> append(decision, () -> {}));
    if (drain.version() > 0) {
      append(drain, () -> {});
    }
    if (ownAddress != null && peers != null) {
      appendProcess();
    }
  }
}
