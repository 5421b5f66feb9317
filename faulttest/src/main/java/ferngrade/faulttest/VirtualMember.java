package ferngrade.faulttest;

import ferngrade.codec.Codec;
import ferngrade.consensus.LogFormat;
import ferngrade.consensus.ProposalOutcome;
import ferngrade.consensus.RaftLogStore;
import ferngrade.consensus.RaftMember;
import ferngrade.consensus.ReplicatedStateMachine;
import ferngrade.jobstore.FaultInjectingStorage;
import ferngrade.lease.Command;
import ferngrade.lease.LeaseHolder;
import ferngrade.lease.LeaseTable;
import ferngrade.lease.RecurringJobRunner;
import ferngrade.lease.RecurringSchedule;
import ferngrade.lease.Shard;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * One process of a member in virtual time: the program's own voter, lease table and lease holder,
 * on simulated storage with fault injection.
 */
final class VirtualMember {
  /** The interval between two checks for jobs of owned shards, in ms. */
  private static final double JOB_CHECK_INTERVAL_MILLIS = 60;

  private static final double PROPOSAL_TIMEOUT_MILLIS = 900;

  final String name;
  private final VirtualFleet fleet;
  private final double rate;
  private final double startedAt;
  private final LeaseTable table = new LeaseTable();
  private final LeaseHolder holder;
  private final RaftLogStore log;
  private final RaftMember voter;
  private final Timers timers;
  private final SimulatedProcess process = new SimulatedProcess();
  private final List<RecurringJobRunner> jobRunners;

  /**
   * Starts a process of the member. Its clock starts at zero and runs at {@code rate} times virtual
   * time; {@code diskLost} is true if the member has lost its disk.
   */
  VirtualMember(
      VirtualFleet fleet,
      String name,
      FaultInjectingStorage disk,
      double rate,
      long seed,
      boolean diskLost)
      throws IOException {
    this.fleet = fleet;
    this.name = name;
    this.rate = rate;
    this.startedAt = fleet.time.now();
    Clock clock = () -> (fleet.time.now() - startedAt) * rate;
    this.timers =
        new Timers(
            clock,
            // The timer fires slightly late. If the delay were rounded down, the member's clock
            // would not have reached the deadline when the timer fires, and the timer would be
            // rescheduled forever.
            (millis, task) -> fleet.time.after(millis / rate + 1e-6, () -> execute(task)));
    Codec codec = LogFormat.codec(Command.CLASSES);
    RaftLogStore log = RaftLogStore.open(disk, codec, 1 << 16, failure -> diskFailed());
    this.log = log;
    RaftStore store = fleet.mutant == Mutant.UNSYNCED_VOTE ? unsyncedVotes(log) : log;
    this.voter =
        new RaftMember(
            new RaftMember.Settings(
                name,
                new RaftMember.Group("trial", fleet.names, fleet.names),
                fleet.heartbeat,
                400),
            new RaftMember.Persistence(
                store,
                log.restored(),
                diskLost ? Optional.of(Long.toHexString(seed)) : Optional.empty()),
            new RaftMember.Environment(
                clock, timers, task -> fleet.time.after(0, () -> execute(task)), seed),
            new RaftMember.Messaging(codec, (to, message) -> fleet.send(name, to, message)),
            observedStateMachine());
    this.holder =
        new LeaseHolder(
            name,
            Long.toHexString(seed),
            fleet.shards,
            new LeaseHolder.Timing(
                fleet.leaseDuration,
                fleet.mutant == Mutant.NO_DRIFT_BOUND ? 0 : fleet.maxClockDrift),
            this::propose);
    this.jobRunners = fleet.jobs.stream().map(this::jobRunner).toList();
    voter.start();
    tick();
    runJobs();
  }

  private void diskFailed() {
    voter.suspend(log, () -> {});
  }

  /**
   * Returns a store that writes the term and the vote only together with later log entries. The
   * term and the vote are therefore synced late.
   */
  private static RaftStore unsyncedVotes(RaftLogStore log) {
    RaftTermPersistentState[] unsynced = new RaftTermPersistentState[1];
    return (RaftStore)
        Proxy.newProxyInstance(
            RaftStore.class.getClassLoader(),
            new Class<?>[] {RaftStore.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("persistAndFlushTerm")) {
                unsynced[0] = (RaftTermPersistentState) arguments[0];
                return null;
              }
              if (method.getName().equals("persistLogEntries") && unsynced[0] != null) {
                log.persistAndFlushTerm(unsynced[0]);
                unsynced[0] = null;
              }
              try {
                return method.invoke(log, arguments);
              } catch (InvocationTargetException wrapper) {
                throw wrapper.getCause();
              }
            });
  }

  /** Returns the lease table, which reports each applied command to the checks. */
  private ReplicatedStateMachine observedStateMachine() {
    return new ReplicatedStateMachine() {
      @Override
      public Object apply(long index, Object command) {
        fleet.checkApplied(index, command);
        return table.apply(index, command);
      }

      @Override
      public Object snapshot() {
        return table.snapshot();
      }

      @Override
      public void restore(long index, Object snapshot) {
        table.restore(index, snapshot);
      }
    };
  }

  private double now() {
    return (fleet.time.now() - startedAt) * rate;
  }

  /** Runs a task of this process, subject to {@link SimulatedProcess}. */
  void execute(Runnable task) {
    process.execute(
        () -> {
          try {
            task.run();
          } catch (RuntimeException | AssertionError unexpected) {
            // A failure of a process that has ended is expected; any other is a violation.
            if (alive()) {
              fleet.processFailed(name, unexpected);
              kill();
            }
          }
        });
  }

  boolean alive() {
    return process.alive();
  }

  void kill() {
    process.kill();
  }

  void setPaused(boolean suspend) {
    process.setPaused(suspend);
  }

  void drain() {
    execute(holder::drain);
  }

  void receive(String from, byte[] message) {
    execute(() -> voter.handle(from, message));
  }

  RaftMember.View view() {
    return voter.view();
  }

  boolean isAdmitted() {
    return voter.admitted();
  }

  /**
   * Returns the epoch under which this process may act for a shard now; empty if the process has
   * ended or does not hold the shard.
   */
  OptionalLong epoch(Shard shard) {
    return alive() ? holder.epoch(shard, now(), table) : OptionalLong.empty();
  }

  void propose(Command command) {
    double proposedAt = now();
    voter.propose(
        command,
        PROPOSAL_TIMEOUT_MILLIS,
        ProposalOutcome.of(
            result ->
                holder.commandAnswered(
                    fleet.mutant == Mutant.HOLD_FROM_ANSWER ? now() : proposedAt, command, result),
            failure -> {}));
  }

  private void tick() {
    holder.tick(now(), fleet.wallClock(name), table);
    timers.after(holder.tickIntervalMillis(), this::tick);
  }

  private void runJobs() {
    jobRunners.forEach(runner -> runner.tick(now(), fleet.wallClock(name)));
    timers.after(JOB_CHECK_INTERVAL_MILLIS, this::runJobs);
  }

  /** Creates the runner of one job, whose effects are sent to the fleet's job receiver. */
  private RecurringJobRunner jobRunner(RecurringSchedule job) {
    RecurringJobRunner[] self = new RecurringJobRunner[1];
    self[0] =
        new RecurringJobRunner(
            job,
            holder,
            table,
            new RecurringJobRunner.Actions() {
              @Override
              public void propose(Command command, Consumer<Object> done, Runnable unknown) {
                fleet.checkSingleOwner(VirtualMember.this, job.shard());
                voter.propose(
                    command,
                    PROPOSAL_TIMEOUT_MILLIS,
                    ProposalOutcome.of(done, failure -> unknown.run()));
              }

              @Override
              public void submit(long due, long epoch) {
                if (holder.epoch(job.shard(), now(), table).equals(OptionalLong.of(epoch))) {
                  fleet.checkSingleOwner(VirtualMember.this, job.shard());
                  fleet.effect(
                      name,
                      job,
                      epoch,
                      due,
                      result -> execute(() -> self[0].resultReceived(result)));
                } else {
                  self[0].notSubmitted();
                }
              }
            });
    return self[0];
  }
}
