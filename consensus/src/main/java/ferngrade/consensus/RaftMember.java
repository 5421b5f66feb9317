package ferngrade.consensus;

import ferngrade.codec.Codec;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.model.impl.message.DefaultVoteRequestOrBuilder;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftTerm;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.Predicate;

/**
 * A voter or learner of the group that replicates a log. A command that is proposed at any member
 * is forwarded to the leader. Once a majority of the voters has stored it, every member applies it
 * to its {@link ReplicatedStateMachine}.
 *
 * <p>MicroRaft provides the algorithm. This package provides the clock, random numbers, storage and
 * transport, so that the algorithm can run in virtual time. MicroRaft counts heartbeats in whole
 * seconds. One second of its clock is one heartbeat interval of {@link Settings}. All methods must
 * be called on the thread of the {@link Environment}.
 */
public final class RaftMember {
  /**
   * The number of heartbeat intervals without contact to a leader after which an election starts.
   */
  private static final int MISSED_HEARTBEATS = 5;

  /**
   * The number of election timeouts after which a voter is considered stuck. During this time the
   * voter has had no contact with a leader and has not requested votes.
   */
  private static final int STUCK_FACTOR = 2;

  /** The number of heartbeat intervals between two admission requests. */
  private static final int JOIN_HEARTBEATS = 2;

  /** The maximum number of entries that a leader has appended but not yet committed. */
  private static final int MAX_PENDING_ENTRIES = 20_000;

  /** The reason reported for an unknown outcome while the disk fails. */
  static final String DISK_FAILS = "this member's disk fails";

  private final RaftMemberId self;
  private final Settings settings;
  private final Environment environment;
  private final Codec codec;
  private final MessageSender sender;
  private final StorageSuspension suspension;
  private final ElectionMonitor elections;
  private final ForwardedProposals forwarded;
  private final RaftNode node;
  private final GroupMembership membership;

  /**
   * The identity of this member and the timing of its group.
   *
   * @param name the member's name
   * @param group the group that the member belongs to
   * @param heartbeatMillis the leader's heartbeat interval, from which all timeouts are derived
   * @param entriesPerSnapshot the number of committed entries after which a snapshot is taken
   */
  public record Settings(
      String name, Group group, double heartbeatMillis, int entriesPerSnapshot) {}

  /**
   * The members of a fleet's group.
   *
   * @param fleet the fleet's name, which each message carries
   * @param members the names of all members
   * @param voters the names of the voting members
   */
  public record Group(String fleet, Collection<String> members, Collection<String> voters) {}

  /**
   * The member's storage.
   *
   * @param store the store that the member writes to
   * @param restored the state that was stored before the start
   * @param rejoinNonce present if the member has lost its disk: a text that no earlier process has
   *     used; the member then rejoins as the new endpoint {@code name#nonce}
   */
  public record Persistence(
      RaftStore store, Optional<RestoredRaftState> restored, Optional<String> rejoinNonce) {}

  /**
   * The member's clock, thread and random seed.
   *
   * @param clock a monotonic clock
   * @param timers run tasks on the member's thread by that clock
   * @param executor runs tasks on the member's thread
   * @param seed the seed of the member's random numbers
   */
  public record Environment(Clock clock, Timers timers, Executor executor, long seed) {}

  /** Sends messages to other members over a network that may delay or lose them. */
  @FunctionalInterface
  public interface MessageSender {
    /** Sends a message; drops it if it cannot be sent immediately. */
    void send(String to, byte[] message);
  }

  /**
   * The member's means of communication.
   *
   * @param codec a codec of {@link LogFormat#codec} that includes the classes of the commands
   * @param sender sends messages to the other members
   */
  public record Messaging(Codec codec, MessageSender sender) {}

  /**
   * The current term and the name of the leader, as known to this member; the leader is null if
   * unknown.
   */
  public record View(int term, String leader) {}

  /** Creates a member, which participates after {@link #start}. */
  public RaftMember(
      Settings settings,
      Persistence persistence,
      Environment environment,
      Messaging messaging,
      ReplicatedStateMachine machine) {
    this.settings = settings;
    this.environment = environment;
    this.codec = messaging.codec();
    this.sender = messaging.sender();
    this.suspension = new StorageSuspension(environment.timers(), environment.executor());
    this.elections = new ElectionMonitor(environment.clock(), environment.seed());
    this.forwarded = new ForwardedProposals(environment.timers());
    this.self = selfOf(settings.name(), persistence);
    this.node = buildNode(persistence, machine);
    this.membership = new GroupMembership(node, settings.group());
  }

  private static RaftMemberId selfOf(String name, Persistence persistence) {
    if (persistence.restored().isPresent()) {
      RestoredRaftState restored = persistence.restored().get();
      return (RaftMemberId) restored.getLocalEndpointPersistentState().getLocalEndpoint();
    }
    return persistence
        .rejoinNonce()
        .map(nonce -> RaftMemberId.rejoining(name, nonce))
        .orElseGet(() -> new RaftMemberId(name));
  }

  private RaftNode buildNode(Persistence persistence, ReplicatedStateMachine machine) {
    double scale = settings.heartbeatMillis() / 1000;
    Group group = settings.group();
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(group.fleet())
            .setConfig(config(settings.entriesPerSnapshot()))
            .setExecutor(new MicroRaftExecutor(environment, scale, suspension, elections))
            .setTransport(new MicroRaftTransport(sender, codec, suspension, elections))
            .setStateMachine(new MicroRaftStateMachine(machine))
            .setStore(persistence.store())
            .setRandom(new Random(environment.seed()))
            .setClock(new ScaledClock(environment.clock(), scale));
    if (persistence.restored().isPresent()) {
      builder.setRestoredState(persistence.restored().get());
    } else {
      builder
          .setLocalEndpoint(self)
          .setInitialGroupMembers(endpoints(group.members()), endpoints(group.voters()));
    }
    return builder.build();
  }

  private static RaftConfig config(int entriesPerSnapshot) {
    return RaftConfig.newBuilder()
        .setLeaderHeartbeatPeriodSecs(1)
        .setLeaderHeartbeatTimeoutSecs(MISSED_HEARTBEATS)
        .setLeaderElectionTimeoutMillis(MicroRaftExecutor.ELECTION_TIMEOUT_MILLIS)
        .setCommitCountToTakeSnapshot(entriesPerSnapshot)
        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
        .setTransferSnapshotsFromFollowersEnabled(false)
        .build();
  }

  private static List<RaftEndpoint> endpoints(Collection<String> names) {
    return names.stream().sorted().<RaftEndpoint>map(RaftMemberId::new).toList();
  }

  /** Starts participating in the group. */
  public void start() {
    elections.resetLeaderContact();
    node.start();
    watchForStuckElection();
    if (!self.name().equals(settings.name())) {
      requestAdmission();
    }
  }

  /** Stops participating in the group. */
  public void stop() {
    node.terminate();
  }

  /**
   * Suspends participation until the log can be written again. Until then the member behaves like a
   * paused process: it neither receives nor sends messages, and the outcomes of proposals are
   * unknown. This method is called when a write of {@code log} has failed. {@code onResumed} is
   * called when the disk works again.
   */
  public void suspend(RaftLogStore log, Runnable onResumed) {
    suspension.begin(
        log::continueInNewFile,
        () -> {
          elections.resetLeaderContact();
          onResumed.run();
        });
  }

  /** Returns whether participation is suspended because the disk fails. */
  public boolean suspended() {
    return suspension.active();
  }

  /**
   * Returns whether this member's endpoint belongs to the group. If the member is configured as a
   * voter, the endpoint must also be a voter.
   */
  public boolean admitted() {
    return membership.admitted(self);
  }

  /** Requests admission from all other members, repeatedly until this endpoint is admitted. */
  private void requestAdmission() {
    if (!admitted()) {
      byte[] join = codec.write(new MemberMessage.Join(self.name()));
      settings.group().members().stream()
          .filter(member -> !member.equals(settings.name()))
          .forEach(member -> sender.send(member, join));
      environment
          .timers()
          .after(JOIN_HEARTBEATS * settings.heartbeatMillis(), this::requestAdmission);
    }
  }

  /**
   * Works around a pre-vote that never ends (found in virtual time). The algorithm starts a
   * pre-vote when the leader is late. A message of the leader may then arrive in the same term. In
   * that case, the algorithm does not start another pre-vote when the leader fails later.
   *
   * <p>A voter counts as stuck if it has had no contact with a leader and has requested no votes
   * for a long time. This method then simulates a vote request of the next term from a candidate
   * with an empty log. The voter moves to the next term without granting its vote, and the
   * algorithm starts over.
   */
  private void watchForStuckElection() {
    double timeout = STUCK_FACTOR * MISSED_HEARTBEATS * settings.heartbeatMillis();
    Collection<RaftEndpoint> voters = node.getEffectiveMembers().getVotingMembers();
    if (!suspended() && voters.contains(self) && !isLeader() && elections.idleLongerThan(timeout)) {
      elections.resetLeaderContact();
      RaftEndpoint other =
          voters.stream().filter(voter -> !voter.equals(self)).findFirst().orElse(self);
      moveToTerm(view().term() + 1, other);
    }
    environment.timers().after(timeout / 4, this::watchForStuckElection);
  }

  /**
   * Transfers leadership to another voter for which {@code isAlive} holds. Does nothing if this
   * member does not lead. If a leader stops without a transfer, all members wait for an election.
   */
  public void transferLeadership(Predicate<String> isAlive) {
    node.getCommittedMembers().getVotingMembers().stream()
        .filter(voter -> !voter.equals(self) && isAlive.test(((RaftMemberId) voter).member()))
        .findFirst()
        .filter(other -> isLeader())
        .ifPresent(node::transferLeadership);
  }

  /**
   * Simulates a vote request from a candidate with an empty log. The request raises this member's
   * term. This member does not grant its vote.
   */
  private void moveToTerm(int term, RaftEndpoint from) {
    node.handle(
        new DefaultVoteRequestOrBuilder()
            .setGroupId(settings.group().fleet())
            .setSender(from)
            .setTerm(term)
            .setLastLogTerm(0)
            .setLastLogIndex(0)
            .setSticky(false)
            .build());
  }

  /** Returns this member's view of the leader. */
  public View view() {
    RaftTerm term = node.getTerm();
    RaftEndpoint leader = suspended() ? null : term.getLeaderEndpoint();
    return new View(term.getTerm(), leader == null ? null : ((RaftMemberId) leader).member());
  }

  private boolean isLeader() {
    return !suspended() && self.equals(node.getTerm().getLeaderEndpoint());
  }

  /** Handles a message; drops malformed messages and those of another fleet. */
  public void handle(String from, byte[] message) {
    if (suspended()) {
      return;
    }
    Object decoded;
    try {
      decoded = codec.read(message, 0, message.length);
    } catch (IOException malformed) {
      return;
    }
    if (decoded instanceof MemberMessage.Addressed addressed) {
      if (self.name().equals(addressed.endpoint())
          && addressed.message() instanceof RaftMessage raft
          && settings.group().fleet().equals(raft.getGroupId())) {
        handle(raft);
      }
    } else if (decoded instanceof MemberMessage.Join join) {
      handle(from, join);
    } else if (decoded instanceof MemberMessage.Forward forward) {
      replicate(forward.command(), answerTo(from, forward.id()));
    } else if (decoded instanceof MemberMessage.Answered answered) {
      forwarded.complete(answered);
    }
  }

  private void handle(RaftMessage raft) {
    if (raft instanceof AppendEntriesRequest || raft instanceof InstallSnapshotRequest) {
      elections.leaderContact();
    }
    // A rejected pre-vote does not transfer its term. Without this step, a voter with a much higher
    // term and a short log and a voter with a lower term and a long log would reject each other
    // forever (found in virtual time).
    if (raft instanceof PreVoteRequest
        && view().leader() == null
        && raft.getTerm() > view().term() + 1) {
      moveToTerm(raft.getTerm() - 1, raft.getSender());
    }
    node.handle(raft);
  }

  private void handle(String from, MemberMessage.Join join) {
    RaftMemberId endpoint = new RaftMemberId(String.valueOf(join.endpoint()));
    if (endpoint.member().equals(from) && !endpoint.name().equals(from) && isLeader()) {
      membership.admit(endpoint);
    }
  }

  private ProposalOutcome answerTo(String member, long id) {
    return ProposalOutcome.of(
        result -> sender.send(member, codec.write(new MemberMessage.Answered(id, true, result))),
        reason -> sender.send(member, codec.write(new MemberMessage.Answered(id, false, reason))));
  }

  /**
   * Proposes a command. The outcome is reported once, within {@code timeoutMillis}. A command with
   * an unknown outcome may have been applied. If a command must not be applied twice, the state
   * machine must therefore detect duplicates.
   */
  public void propose(Object command, double timeoutMillis, ProposalOutcome outcome) {
    Timers timers = environment.timers();
    String leader = view().leader();
    if (isLeader()) {
      String reason = "no majority answered in time";
      replicate(command, new TimedOutcome(outcome, timers, timeoutMillis, reason));
    } else if (leader == null) {
      timers.after(0, () -> outcome.unknown(suspended() ? DISK_FAILS : "no leader is known"));
    } else {
      long id = forwarded.add(outcome, timeoutMillis);
      sender.send(leader, codec.write(new MemberMessage.Forward(id, command)));
    }
  }

  private void replicate(Object command, ProposalOutcome outcome) {
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
}
