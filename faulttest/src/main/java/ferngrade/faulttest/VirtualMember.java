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
 * One process of a member in virtual time: the program's own voter, table and holder on a disk that
 * can fail.
 */
final class VirtualMember {
  /** Ms between two looks at what the member owns. */
  private static final double ACT = 60;

  private static final double PATIENCE = 900;

  final String name;
  private final VirtualFleet fleet;
  private final double rate;
  private final double began;
  private final LeaseTable table = new LeaseTable();
  private final LeaseHolder holder;
  private final RaftLogStore log;
  private final RaftMember voter;
  private final Timers timers;
  private final Standstill process = new Standstill();
  private final List<RecurringJobRunner> performers;

  /**
   * Starts a process of the member; its clock runs at this rate and from zero, and it may have lost
   * its disk.
   */
  VirtualMember(
      VirtualFleet fleet,
      String name,
      FaultInjectingStorage disk,
      double rate,
      long seed,
      boolean anew)
      throws IOException {
    this.fleet = fleet;
    this.name = name;
    this.rate = rate;
    this.began = fleet.time.now();
    Clock clock = () -> (fleet.time.now() - began) * rate;
    this.timers =
        new Timers(
            clock,
            // A little late: rounded down, the clock would not be there yet when it wakes, for
            // ever.
            (millis, run) -> fleet.time.after(millis / rate + 1e-6, () -> enter(run)));
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
                anew ? Optional.of(Long.toHexString(seed)) : Optional.empty()),
            new RaftMember.Environment(
                clock, timers, task -> fleet.time.after(0, () -> enter(task)), seed),
            new RaftMember.Messaging(codec, (to, message) -> fleet.send(name, to, message)),
            watched());
    this.holder =
        new LeaseHolder(
            name,
            Long.toHexString(seed),
            fleet.shards,
            new LeaseHolder.Terms(
                fleet.hold, fleet.mutant == Mutant.NO_DRIFT_BOUND ? 0 : fleet.drift),
            this::propose);
    this.performers = fleet.jobs.stream().map(this::performer).toList();
    voter.start();
    tick();
    act();
  }

  private void diskFailed() {
    voter.suspend(log, () -> {});
  }

  /** The log writes the term and the vote, and syncs them with whatever comes later. */
  private static RaftStore unsyncedVotes(RaftLogStore log) {
    RaftTermPersistentState[] late = new RaftTermPersistentState[1];
    return (RaftStore)
        Proxy.newProxyInstance(
            RaftStore.class.getClassLoader(),
            new Class<?>[] {RaftStore.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("persistAndFlushTerm")) {
                late[0] = (RaftTermPersistentState) arguments[0];
                return null;
              }
              if (method.getName().equals("persistLogEntries") && late[0] != null) {
                log.persistAndFlushTerm(late[0]);
                late[0] = null;
              }
              try {
                return method.invoke(log, arguments);
              } catch (InvocationTargetException failed) {
                throw failed.getCause();
              }
            });
  }

  /** The table, with what it applies told to the judges. */
  private ReplicatedStateMachine watched() {
    return new ReplicatedStateMachine() {
      @Override
      public Object apply(long index, Object command) {
        fleet.applied(index, command);
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
    return (fleet.time.now() - began) * rate;
  }

  /** Runs something of this process, as {@link Standstill} lets it. */
  void enter(Runnable run) {
    process.enter(
        () -> {
          try {
            run.run();
          } catch (RuntimeException | AssertionError fault) {
            // A process that has ended may fail in anything; else it must not happen.
            if (alive()) {
              fleet.fault(name, fault);
              die();
            }
          }
        });
  }

  boolean alive() {
    return process.alive();
  }

  void die() {
    process.die();
  }

  void pause(boolean begins) {
    process.pause(begins);
  }

  void drain() {
    enter(holder::drain);
  }

  void receive(String from, byte[] message) {
    enter(() -> voter.handle(from, message));
  }

  RaftMember.View view() {
    return voter.view();
  }

  boolean takenIn() {
    return voter.admitted();
  }

  /** The epoch under which this process would act for a shard now. */
  OptionalLong epoch(Shard shard) {
    return alive() ? holder.epoch(shard, now(), table) : OptionalLong.empty();
  }

  void propose(Command command) {
    double asked = now();
    voter.propose(
        command,
        PATIENCE,
        ProposalOutcome.of(
            result ->
                holder.answered(
                    fleet.mutant == Mutant.HOLD_FROM_ANSWER ? now() : asked, command, result),
            why -> {}));
  }

  private void tick() {
    holder.tick(now(), fleet.wall(name), table);
    timers.after(holder.period(), this::tick);
  }

  private void act() {
    performers.forEach(each -> each.look(now(), fleet.wall(name)));
    timers.after(ACT, this::act);
  }

  /** The performer of one job, whose effects go to whoever takes them in this fleet. */
  private RecurringJobRunner performer(RecurringSchedule job) {
    RecurringJobRunner[] self = new RecurringJobRunner[1];
    self[0] =
        new RecurringJobRunner(
            job,
            holder,
            table,
            new RecurringJobRunner.Actions() {
              @Override
              public void propose(Command command, Consumer<Object> done, Runnable unknown) {
                fleet.judgeHold(VirtualMember.this, job.shard());
                voter.propose(command, PATIENCE, ProposalOutcome.of(done, why -> unknown.run()));
              }

              @Override
              public void put(long due, long epoch) {
                if (holder.epoch(job.shard(), now(), table).equals(OptionalLong.of(epoch))) {
                  fleet.judgeHold(VirtualMember.this, job.shard());
                  fleet.effect(name, job, epoch, due, result -> enter(() -> self[0].came(result)));
                } else {
                  self[0].notPut();
                }
              }
            });
    return self[0];
  }
}
