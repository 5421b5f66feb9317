package ferngrade.consensus;

import ferngrade.codec.Codec;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.impl.message.DefaultVoteRequestOrBuilder;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftTerm;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * One member's part in the replicated log: a vote, or a copy that follows. What is proposed
 * anywhere goes to the leader; once a majority of the voters has it on disk, every member applies
 * it to its {@link ReplicatedStateMachine}.
 *
 * <p>The algorithm is MicroRaft's; its time, chance, disk and messages come from here, so that it
 * runs in virtual time. It counts heartbeats in whole seconds: one of its seconds is a heartbeat of
 * {@link Terms}. All methods belong to the thread of {@code loop}.
 */
public final class RaftMember {
  /** Heartbeats without a word from a leader after which another is elected. */
  private static final int SILENT_BEATS = 5;

  /** Times that silence after which a voter that does nothing about it is taken to be stuck. */
  private static final int STUCK = 2;

  private static final int MOST_PENDING = 20_000;

  /** The algorithm's time for an election, in its ms. */
  private static final int ELECTION_MS = 1000;

  /** By how much, times itself, that time is drawn out at random at first, and at the most. */
  private static final double SPREAD_FIRST = 2;

  private static final double SPREAD_MOST = 16;

  /** Why a proposal comes back as unknown while the disk fails. */
  static final String DISK_FAILS = "this member's disk fails";

  private final RaftMemberId self;
  private final String name;
  private final String fleet;
  private final Group group;
  private final Timers timers;
  private final Codec codec;
  private final Links links;
  private final RaftNode node;
  private final Map<Long, Waiting> waiting = new HashMap<>();
  private final Clock clock;
  private final Terms terms;
  private final StorageSuspension suspension;
  private long lastId;
  private double leaderHeard;
  private double campaigned;
  private double spread = SPREAD_FIRST;

  /** {@code heartbeat}, ms, sets the pace; a snapshot stands for so many entries. */
  public record Terms(double heartbeat, int snapshotEvery) {}

  /** Who takes part: all members' names, and those of them that vote. */
  public record Group(String fleet, Collection<String> members, Collection<String> voters) {}

  /**
   * What a voter keeps: where it writes, and what was there at the start, null for nothing. If its
   * disk is lost {@code anew} is a text that no process before it had; null if it never had one.
   */
  public record Kept(RaftStore store, RestoredRaftState restored, String anew) {}

  /** Time and thread of a member. */
  public record Surroundings(Clock clock, Timers timers, Executor loop, long seed) {}

  /** Carries bytes to another member, soon or never. */
  @FunctionalInterface
  public interface Links {
    /** Sends this; what cannot be sent at once is dropped. */
    void send(String to, byte[] message);
  }

  /** What became of a proposal. */
  public interface Outcome {
    /** It is in the log and was applied. */
    void done(Object result);

    /** It may be in the log or not, now or later. */
    void unknown(String why);

    /** One that calls one of these. */
    static Outcome of(Consumer<Object> done, Consumer<String> unknown) {
      return new Outcome() {
        @Override
        public void done(Object result) {
          done.accept(result);
        }

        @Override
        public void unknown(String why) {
          unknown.accept(why);
        }
      };
    }
  }

  /** A proposal on its way to the leader. */
  record Forward(long id, Object command) {}

  /** The leader's answer to that; the result counts if it is done. */
  record Answered(long id, boolean done, Object result) {}

  /** A message of the algorithm, and whom of a member's endpoints it is for. */
  record To(String endpoint, Object message) {}

  /** A member that has lost its disk asks to be taken in anew under this endpoint. */
  record Join(String endpoint) {}

  private record Waiting(Outcome outcome, Timers.Timer timer) {}

  /** A member of a group; it takes part from {@link #start} on. */
  public RaftMember(
      String name,
      Group group,
      ReplicatedStateMachine machine,
      Kept kept,
      Surroundings around,
      Codec codec,
      Links links,
      Terms terms) {
    this.name = name;
    this.group = group;
    this.fleet = group.fleet();
    this.timers = around.timers();
    this.clock = around.clock();
    this.terms = terms;
    this.suspension = new StorageSuspension(around.timers(), around.loop());
    this.codec = codec;
    this.links = links;
    double scale = terms.heartbeat() / 1000;
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(fleet)
            .setConfig(
                RaftConfig.newBuilder()
                    .setLeaderHeartbeatPeriodSecs(1)
                    .setLeaderHeartbeatTimeoutSecs(SILENT_BEATS)
                    .setLeaderElectionTimeoutMillis(ELECTION_MS)
                    .setCommitCountToTakeSnapshot(terms.snapshotEvery())
                    .setMaxPendingLogEntryCount(MOST_PENDING)
                    .setTransferSnapshotsFromFollowersEnabled(false)
                    .build())
            .setExecutor(new Tasks(around, scale))
            .setTransport(new Messages())
            .setStateMachine(new Applied(machine))
            .setStore(kept.store())
            .setRandom(new Random(around.seed()))
            .setClock(new Pace(around.clock(), scale));
    if (kept.restored() != null) {
      this.self =
          (RaftMemberId) kept.restored().getLocalEndpointPersistentState().getLocalEndpoint();
      builder.setRestoredState(kept.restored());
    } else {
      this.self =
          kept.anew() == null ? new RaftMemberId(name) : RaftMemberId.anew(name, kept.anew());
      builder
          .setLocalEndpoint(self)
          .setInitialGroupMembers(endpoints(group.members()), endpoints(group.voters()));
    }
    this.node = builder.build();
  }

  private static List<RaftEndpoint> endpoints(Collection<String> names) {
    return names.stream().sorted().<RaftEndpoint>map(RaftMemberId::new).toList();
  }

  /** Begins to take part. */
  public void start() {
    leaderHeard = clock.now();
    node.start();
    watch();
    if (!self.name().equals(name)) {
      askIn();
    }
  }

  /**
   * Takes no part from here on until the log can be used again, as though the process stood still:
   * it neither hears nor sends messages, and proposals come back as unknown. Called when a write of
   * {@code log} has failed; {@code over} is called when the disk works again.
   */
  public void suspend(RaftLogStore log, Runnable over) {
    suspension.begin(
        log::continueInNewFile,
        () -> {
          leaderHeard = clock.now();
          over.run();
        });
  }

  /** Whether this member takes no part because its disk fails. */
  public boolean suspended() {
    return suspension.active();
  }

  /**
   * Asks all others to be taken in, for as long as the log does not have this endpoint with all
   * that it should be.
   */
  private void askIn() {
    if (!takenIn(self)) {
      byte[] join = codec.write(new Join(self.name()));
      group.members().stream()
          .filter(each -> !each.equals(name))
          .forEach(each -> links.send(each, join));
      timers.after(STUCK * terms.heartbeat(), this::askIn);
    }
  }

  /** Whether the log knows this endpoint, as a voter if its member is to be one. */
  private boolean takenIn(RaftMemberId endpoint) {
    RaftGroupMembers members = node.getCommittedMembers();
    return (group.voters().contains(endpoint.member())
            ? members.getVotingMembers()
            : members.getMembers())
        .contains(endpoint);
  }

  /** Whether this endpoint takes part, and votes if its member is to. */
  public boolean takenIn() {
    return takenIn(self);
  }

  /**
   * Takes a member in anew, a step with each asking: what it was to the log before is removed
   * first, for it has forgotten what it voted; then it learns, and then it votes. Each step is one
   * change that a majority has to agree on.
   */
  private void takeIn(RaftMemberId endpoint) {
    RaftGroupMembers members = node.getCommittedMembers();
    RaftGroupMembers effective = node.getEffectiveMembers();
    if (!leads() || takenIn(endpoint) || members.getLogIndex() != effective.getLogIndex()) {
      return;
    }
    RaftEndpoint before =
        members.getMembers().stream()
            .filter(
                each ->
                    !each.equals(endpoint)
                        && ((RaftMemberId) each).member().equals(endpoint.member()))
            .findFirst()
            .orElse(null);
    MembershipChangeMode mode =
        before != null
            ? MembershipChangeMode.REMOVE_MEMBER
            : members.getMembers().contains(endpoint)
                ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER
                : MembershipChangeMode.ADD_LEARNER;
    // What comes of it shows in the members, and is asked for again if need be.
    node.changeMembership(before != null ? before : endpoint, mode, members.getLogIndex());
  }

  /**
   * The algorithm can be left in a pre-vote that never ends: one that was begun when the leader was
   * late, and then heard it once more in the same term, asks nobody again when that leader dies
   * (found in virtual time). A voter that has heard no leader and asked for no vote for long is
   * asked for its vote in the next term by one whose log is empty: it moves to that term and votes
   * for nobody, and the algorithm begins anew.
   */
  private void watch() {
    double patience = STUCK * SILENT_BEATS * terms.heartbeat();
    View view = view();
    if (!suspended()
        && node.getEffectiveMembers().getVotingMembers().contains(self)
        && !leads()
        && clock.now() - Math.max(leaderHeard, campaigned) > patience) {
      leaderHeard = clock.now();
      moveTo(
          view.term() + 1,
          node.getEffectiveMembers().getVotingMembers().stream()
              .filter(each -> !each.equals(self))
              .findFirst()
              .orElse(self));
    }
    timers.after(patience / 4, this::watch);
  }

  /**
   * Has another voter that is up lead, if this one does: a leader that just ends leaves all waiting
   * for an election.
   */
  public void transferLeadership(Predicate<String> up) {
    node.getCommittedMembers().getVotingMembers().stream()
        .filter(each -> !each.equals(self) && up.test(((RaftMemberId) each).member()))
        .findFirst()
        .filter(other -> leads())
        .ifPresent(node::transferLeadership);
  }

  /** Takes no part any more. */
  public void stop() {
    node.terminate();
  }

  /**
   * As though a voter whose log is empty had asked for a vote in this term: it is taken over, and
   * nobody voted for.
   */
  private void moveTo(int term, RaftEndpoint from) {
    node.handle(
        new DefaultVoteRequestOrBuilder()
            .setGroupId(fleet)
            .setSender(from)
            .setTerm(term)
            .setLastLogTerm(0)
            .setLastLogIndex(0)
            .setSticky(false)
            .build());
  }

  /** The term, and the leader as far as this member knows: null for none. */
  public record View(int term, String leader) {}

  /** What this member knows of the leader. */
  public View view() {
    RaftTerm term = node.getTerm();
    RaftEndpoint leader = suspended() ? null : term.getLeaderEndpoint();
    return new View(term.getTerm(), leader == null ? null : ((RaftMemberId) leader).member());
  }

  private boolean leads() {
    return !suspended() && self.equals(node.getTerm().getLeaderEndpoint());
  }

  /** Takes a message in; one that cannot be read, or is another fleet's, is dropped. */
  public void handle(String from, byte[] message) {
    if (suspended()) {
      return;
    }
    Object read;
    try {
      read = codec.read(message, 0, message.length);
    } catch (IOException malformed) {
      return;
    }
    if (read instanceof To to) {
      if (self.name().equals(to.endpoint())
          && to.message() instanceof RaftMessage raft
          && fleet.equals(raft.getGroupId())) {
        if (raft instanceof AppendEntriesRequest || raft instanceof InstallSnapshotRequest) {
          leaderHeard = clock.now();
          spread = SPREAD_FIRST;
        }
        // Pre-votes do not carry a term over: a voter far ahead with a short log and one behind
        // with a long log
        // would refuse each other for ever (found in virtual time).
        if (raft instanceof PreVoteRequest
            && view().leader() == null
            && raft.getTerm() > view().term() + 1) {
          moveTo(raft.getTerm() - 1, raft.getSender());
        }
        node.handle(raft);
      }
    } else if (read instanceof Join join) {
      RaftMemberId endpoint = new RaftMemberId(String.valueOf(join.endpoint()));
      if (endpoint.member().equals(from) && !endpoint.name().equals(from)) {
        takeIn(endpoint);
      }
    } else if (read instanceof Forward forward) {
      replicate(
          forward.command(),
          new Outcome() {
            @Override
            public void done(Object result) {
              links.send(from, codec.write(new Answered(forward.id(), true, result)));
            }

            @Override
            public void unknown(String why) {
              links.send(from, codec.write(new Answered(forward.id(), false, why)));
            }
          });
    } else if (read instanceof Answered answered) {
      Waiting asked = waiting.remove(answered.id());
      if (asked != null) {
        asked.timer().cancel();
        if (answered.done()) {
          asked.outcome().done(answered.result());
        } else {
          asked.outcome().unknown(String.valueOf(answered.result()));
        }
      }
    }
  }

  /**
   * Proposes a command. The outcome comes once, within {@code patience} ms. An unknown one may have
   * been applied: a command that must not be applied twice says so itself.
   */
  public void propose(Object command, double patience, Outcome outcome) {
    String leader = view().leader();
    if (leads()) {
      Once once = new Once(outcome);
      once.timer = timers.after(patience, () -> once.unknown("no majority has answered in time"));
      replicate(command, once);
    } else if (leader == null) {
      timers.after(0, () -> outcome.unknown(suspended() ? DISK_FAILS : "no leader is known"));
    } else {
      long id = ++lastId;
      Timers.Timer timer =
          timers.after(
              patience,
              () -> {
                waiting.remove(id);
                outcome.unknown("the leader has not answered in time");
              });
      waiting.put(id, new Waiting(outcome, timer));
      links.send(leader, codec.write(new Forward(id, command)));
    }
  }

  private void replicate(Object command, Outcome outcome) {
    node.replicate(command)
        .whenComplete(
            (result, failure) -> {
              if (failure == null) {
                outcome.done(result.getResult());
              } else {
                outcome.unknown(failure.getClass().getSimpleName());
              }
            });
  }

  /** Passes on the first outcome alone. */
  private static final class Once implements Outcome {
    private final Outcome outcome;
    private Timers.Timer timer;
    private boolean over;

    Once(Outcome outcome) {
      this.outcome = outcome;
    }

    private void end(Consumer<Outcome> how) {
      if (!over) {
        over = true;
        timer.cancel();
        how.accept(outcome);
      }
    }

    @Override
    public void done(Object result) {
      end(each -> each.done(result));
    }

    @Override
    public void unknown(String why) {
      end(each -> each.unknown(why));
    }
  }

  /**
   * The algorithm's tasks, on the member's thread and in its time. It draws out its time for an
   * election by a tenth at the most, which is less than a vote's way on a busy machine: two voters
   * then ask for votes in step, and each votes for itself, for as long as that lasts (36 s seen,
   * real processes). Here the time is drawn out by more, and by more again with each election since
   * a leader was heard.
   */
  private final class Tasks implements RaftNodeExecutor {
    private final Surroundings around;
    private final double scale;
    private final SplittableRandom chance;

    Tasks(Surroundings around, double scale) {
      this.around = around;
      this.scale = scale;
      this.chance = new SplittableRandom(around.seed());
    }

    @Override
    public void execute(Runnable task) {
      around.loop().execute(() -> suspension.run(task));
    }

    @Override
    public void submit(Runnable task) {
      execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
      double millis = unit.toMicros(delay) / 1000.0 * scale;
      if (unit == TimeUnit.MILLISECONDS && delay >= ELECTION_MS) {
        millis *= 1 + spread * chance.nextDouble();
        spread = Math.min(SPREAD_MOST, 2 * spread);
        // It waits for votes until then: not stuck.
        campaigned = clock.now() + millis;
      }
      around.timers().after(millis, () -> suspension.run(task));
    }
  }

  private final class Messages implements Transport {
    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
      if (suspended()) {
        return;
      }
      if (message instanceof PreVoteRequest || message instanceof VoteRequest) {
        campaigned = clock.now();
      }
      links.send(
          ((RaftMemberId) target).member(),
          codec.write(new To(((RaftMemberId) target).name(), message)));
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }

  private record Applied(ReplicatedStateMachine machine) implements StateMachine {
    @Override
    public Object runOperation(long index, Object operation) {
      return operation instanceof NoOpEntry ? null : machine.apply(index, operation);
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
      chunks.accept(machine.snapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
      machine.restore(index, chunks.get(0));
    }

    @Override
    public Object getNewTermOperation() {
      return new NoOpEntry();
    }
  }

  /** The member's clock as the algorithm reads it, a heartbeat for a second. */
  private static final class Pace extends java.time.Clock {
    private final Clock clock;
    private final double scale;

    Pace(Clock clock, double scale) {
      this.clock = clock;
      this.scale = scale;
    }

    @Override
    public ZoneId getZone() {
      return ZoneOffset.UTC;
    }

    @Override
    public java.time.Clock withZone(ZoneId zone) {
      return this;
    }

    @Override
    public long millis() {
      return (long) (clock.now() / scale);
    }

    @Override
    public Instant instant() {
      return Instant.ofEpochMilli(millis());
    }
  }
}
