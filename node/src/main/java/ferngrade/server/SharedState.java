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
 * What holds for the node, whichever of its processes was told: operators' maintenance and drain,
 * and where its processes are. Every process appends what it is told to the {@link SharedLog} and
 * takes over what the others append; entries merge by their versions. A record is also pushed to
 * the other processes, so that it reaches them while the log cannot be written. Belongs to the
 * event loop.
 */
final class SharedState implements OperatorState, UpgradePeers.RunningProcesses {
  /**
   * How long a process whose log cannot be opened is not ready for that, ms; it serves then without
   * what only the log could tell, since a node that never starts is worse.
   */
  private static final double MAX_WAIT = 2000;

  /**
   * How long after its start a process keeps a drain from before that, ms: the platform gives it 6
   * s to be ready, of which its start takes some hundred ms, and seconds on a busy machine.
   */
  private static final double MAX_EARLIER_DRAIN = 2500;

  private static final long OWN_PID = ProcessHandle.current().pid();

  private final SharedLog shared;

  /** Maintenance as a process of an earlier release reads it. */
  private final AtomicFile maintenanceFile;

  private final RequestCoordinator coordinator;
  private final HttpFrontend front;

  /** The other processes; null where this one has its own socket. */
  private final UpgradePeers peers;

  private final Executor loop;
  private final Clock clock;
  private final Timers timers;
  private final RateLimitedLog log;
  private double opened;
  private final LiveProcesses processes;

  /** Moves discovery to an address if this process watches the other one. */
  private final Consumer<DiscoveryRecord> discoveryMoved;

  /**
   * What was decided before this process started for as long as the node runs; null once it has
   * been applied.
   */
  private List<SharedRecord> earlierDecisions = new ArrayList<>();

  private DrainRecord drain = DrainRecord.NONE;
  private InetSocketAddress ownAddress;

  /** When another process's decision on a worker was last taken over, ms on the clock. */
  private final Map<String, Double> decidedElsewhere = new HashMap<>();

  /**
   * Since when the log holds the record of this process, ms on the clock; infinite while it does
   * not. The others could append theirs as well by then.
   */
  private double ownRecorded = Double.POSITIVE_INFINITY;

  /** When the log was last read, ms on the clock: what it did not hold then was decided later. */
  private double lastRefresh = Double.NEGATIVE_INFINITY;

  /** What the state acts on; {@code peers} is null where the process has its own socket. */
  record Parts(
      RequestCoordinator coordinator,
      HttpFrontend front,
      UpgradePeers peers,
      Consumer<DiscoveryRecord> discoveryMoved,
      LiveProcesses.Listener processesChanged,
      Executor loop,
      Clock clock,
      Timers timers,
      RateLimitedLog log) {}

  /** State kept in {@code folder}. */
  SharedState(StateFolder folder, Parts parts) {
    this.coordinator = parts.coordinator();
    this.front = parts.front();
    this.peers = parts.peers();
    this.discoveryMoved = parts.discoveryMoved();
    this.loop = parts.loop();
    this.clock = parts.clock();
    this.timers = parts.timers();
    this.log = parts.log();
    this.maintenanceFile = folder.maintenance();
    this.shared = folder.sharedLog(loop, this::apply, this::appendAll);
    this.processes =
        new LiveProcesses(
            OWN_PID, folder.scheduler(), loop, SharedState::isAlive, parts.processesChanged());
    if (peers != null) {
      peers.knownBy(this);
    }
  }

  private static boolean isAlive(long pid) {
    return ProcessHandle.of(pid).isPresent();
  }

  /** Follows the log from its beginning on; waits for the disk. */
  void open() {
    opened = clock.now();
    shared.open(peers != null);
    lastRefresh = clock.now();
    long out = coordinator.maintenanceDecisions().stream().filter(MaintenanceEntry::out).count();
    if (out > 0) {
      log.line("operators' decisions taken over: " + out + " workers are out");
    }
  }

  /** Applies what was decided on the node as a whole before this process started. */
  void applyEarlierDecisions() {
    if (!processes.othersRun()) {
      forgetEarlierDecisions();
    }
    List<SharedRecord> decisions = earlierDecisions;
    earlierDecisions = null;
    decisions.forEach(this::apply);
    if (drain.drained()) {
      DrainRecord earlier = drain;
      timers.after(MAX_EARLIER_DRAIN, () -> endEarlierDrain(earlier));
    }
  }

  /**
   * The platform gives a new process some seconds to be ready, and ends the drained one behind
   * that: the drain of before the start ends here then, unless operators have decided anew.
   */
  private void endEarlierDrain(DrainRecord earlier) {
    if (drain.equals(earlier)) {
      log.line("the drain of before this process started ends here: it takes over");
      front.resume();
    }
  }

  /** Decisions on the node as a whole end with its last process: one that starts anew serves. */
  private void forgetEarlierDecisions() {
    for (SharedRecord record : earlierDecisions) {
      if (record instanceof DrainRecord decision && decision.supersedes(drain)) {
        drain = new DrainRecord(decision.version(), false);
      }
    }
    earlierDecisions.clear();
  }

  /** True if another process of the node runs beside this one. */
  boolean othersRun() {
    return processes.othersRun();
  }

  @Override
  public boolean othersMayRun() {
    boolean othersRecorded = clock.now() - ownRecorded >= SharedLog.MAX_APPEND_DELAY;
    return othersRun() || !othersRecorded || !shared.current();
  }

  /** This process takes calls at this address from now on; the others get to know. */
  void listening(InetSocketAddress address) {
    ownAddress = address;
    if (peers != null) {
      peers.own(address);
      appendProcess();
    }
  }

  /**
   * Not pushed as well: an announcement tells the others the same, also those of a release before.
   */
  private void appendProcess() {
    boolean first = !processes.othersRun();
    shared.append(SharedRecordCodec.write(new ProcessRecord(OWN_PID, ownAddress, first)), () -> {});
  }

  /** This process accepts no more jobs; the others get to know. */
  void finishing() {
    if (peers != null) {
      append(new FinishingRecord(OWN_PID), () -> {});
    }
  }

  @Override
  public void refresh() {
    shared.poll();
    lastRefresh = clock.now();
  }

  @Override
  public void received(String record) {
    apply(record);
  }

  @Override
  public boolean complete() {
    return shared.complete() || clock.now() - opened > MAX_WAIT;
  }

  private void apply(String text) {
    SharedRecord record;
    try {
      record = SharedRecordCodec.read(text);
    } catch (IllegalArgumentException malformed) {
      log.line("shared record", "a record is ignored: " + malformed.getMessage());
      return;
    }
    if (record instanceof MaintenanceEntry decision) {
      apply(decision);
    } else if (record instanceof ProcessRecord process && peers != null) {
      if (process.first() && earlierDecisions != null) {
        forgetEarlierDecisions();
      }
      peers.recorded(process.operators());
      processes.started(process.pid());
      if (process.operators().equals(ownAddress)) {
        ownRecorded = Math.min(ownRecorded, clock.now());
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
    boolean isNew = coordinator.mergeMaintenance(decision, lastRefresh);
    if (isNew) {
      decidedElsewhere.put(decision.worker(), clock.now());
    }
    // Those of before the start are summed up in one line.
    if (isNew && earlierDecisions == null) {
      log.line(
          "menu worker "
              + decision.worker()
              + (decision.out() ? " taken out" : " taken back")
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
      front.drainForOperators();
    } else {
      front.resume();
    }
  }

  @Override
  public void storeMaintenance(String worker, Runnable stored) {
    MaintenanceEntry decision = coordinator.maintenanceDecision(worker);
    Runnable both = new CountDown(2, stored);
    if (decision == null) {
      // Taken back without ever having been out: there is nothing to tell.
      both.run();
    } else {
      append(decision, both);
    }
    maintenanceFile.write(
        MaintenanceCodec.write(coordinator.savedMaintenance()), () -> loop.execute(both));
  }

  @Override
  public boolean decidedElsewhereSince(String worker, double instant) {
    return decidedElsewhere.getOrDefault(worker, Double.NEGATIVE_INFINITY) >= instant;
  }

  @Override
  public void drain(boolean drained) {
    drain = drain.next(drained);
    enforce(drain);
    append(drain, () -> {});
  }

  /**
   * A reload has moved discovery here. Not pushed as well: moves count in the order of the log
   * only.
   */
  void moved(DiscoveryRecord record) {
    shared.append(SharedRecordCodec.write(record), () -> {});
  }

  /** Runs a task on the event loop once other processes can read all that was appended. */
  void whenAppended(Runnable task) {
    shared.whenAppended(() -> loop.execute(task));
  }

  private void append(SharedRecord record, Runnable stored) {
    String text = SharedRecordCodec.write(record);
    shared.append(text, () -> loop.execute(stored));
    if (peers != null) {
      peers.push(text);
    }
  }

  /** Another file stands in the log's place: it gets all that is in force. */
  private void appendAll() {
    ownRecorded = Double.POSITIVE_INFINITY;
    coordinator.maintenanceDecisions().forEach(each -> append(each, () -> {}));
    if (drain.version() > 0) {
      append(drain, () -> {});
    }
    if (ownAddress != null && peers != null) {
      appendProcess();
    }
  }
}
