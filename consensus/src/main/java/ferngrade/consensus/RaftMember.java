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
 * A member of the group that replicates a log, as a voter or as a learner. What is proposed at any
 * member is forwarded to the leader; once a majority of the voters has stored it, every member
 * applies it to its {@link ReplicatedStateMachine}.
 *
 * <p>The algorithm is MicroRaft's; its clock, randomness, storage and messages are provided by this
 * package, so that it runs in virtual time. It counts heartbeats in whole seconds: one of its
 * seconds is a heartbeat of {@link Settings}. All methods belong to the thread of the {@link
 * Environment}.
 */
public final class RaftMember {
  /** Heartbeats without contact to a leader after which another is elected. */
  private static final int MISSED_HEARTBEATS = 5;

  /** Times that period after which an inactive voter without a leader counts as stuck. */
  private static final int STUCK_FACTOR = 2;

  /** Heartbeats between two requests to be admitted. */
  private static final int JOIN_HEARTBEATS = 2;

  /** Entries that a leader has not yet committed, at most. */
  private static final int MAX_PENDING_ENTRIES = 20_000;

  /** Why the outcome of a proposal is unknown while the disk fails. */
  static final String DISK_FAILS = "this member's disk fails";

  private final RaftMemberId self;
  private final Settings settings;
  private final Environment environment;
  private final Codec codec;
  private final Links links;
  private final StorageSuspension suspension;
  private final ElectionMonitor elections;
  private final ForwardedProposals forwarded;
  private final RaftNode node;
  private final GroupMembership membership;

  /**
   * Who this member is and the pace of its group.
   *
   * @param name the member's name
   * @param group the group that it belongs to
   * @param heartbeatMillis the leader's heartbeat interval, from which all timeouts derive
   * @param entriesPerSnapshot the number of committed entries after which a snapshot is taken
   */
  public record Settings(
      String name, Group group, double heartbeatMillis, int entriesPerSnapshot) {}

  /**
   * The group of a fleet.
   *
   * @param fleet the fleet's name, which each message carries
   * @param members the names of all members
   * @param voters the names of those that vote
   */
  public record Group(String fleet, Collection<String> members, Collection<String> voters) {}

  /**
   * The member's storage.
   *
   * @param store where it writes
   * @param restored what was stored before the start
   * @param rejoinNonce present if the member has lost its disk: a text that no process before it
   *     used, which makes it a new endpoint to the log
   */
  public record Persistence(
      RaftStore store, Optional<RestoredRaftState> restored, Optional<String> rejoinNonce) {}

  /**
   * The member's clock, thread and randomness.
   *
   * @param clock a monotonic clock
   * @param timers run tasks on the member's thread by that clock
   * @param executor runs tasks on the member's thread
   * @param seed of its random numbers
   */
  public record Environment(Clock clock, Timers timers, Executor executor, long seed) {}

  /** Carries bytes to another member, with any delay or loss. */
  @FunctionalInterface
  public interface Links {
    /** Sends a message; one that cannot be sent at once is dropped. */
    void send(String to, byte[] message);
  }

  /**
   * How the member talks to the others.
   *
   * @param codec a codec of {@link LogFormat#codec} that knows the commands
   * @param links the connections to the other members
   */
  public record Messaging(Codec codec, Links links) {}

  /** The term, and the leader's name as far as this member knows; null for none. */
  public record View(int term, String leader) {}

  /** Creates a member, which takes part from {@link #start} on. */
  public RaftMember(
      Settings settings,
      Persistence persistence,
      Environment environment,
      Messaging messaging,
      ReplicatedStateMachine machine) {
    this.settings = settings;
    this.environment = environment;
    this.codec = messaging.codec();
    this.links = messaging.links();
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
            .setTransport(new MicroRaftTransport(links, codec, suspension, elections))
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

  /** Begins to take part. */
  public void start() {
    elections.resetLeaderContact();
    node.start();
    watchForStuckElection();
    if (!self.name().equals(settings.name())) {
      requestAdmission();
    }
  }

  /** Takes no part any more. */
  public void stop() {
    node.terminate();
  }

  /**
   * Takes no part until the log can be written again, as though the process stood still: it neither
   * receives nor sends messages, and the outcomes of proposals are unknown. Called when a write of
   * {@code log} has failed; {@code onResumed} is called when the disk works again.
   */
  public void suspend(RaftLogStore log, Runnable onResumed) {
    suspension.begin(
        log::continueInNewFile,
        () -> {
          elections.resetLeaderContact();
          onResumed.run();
        });
  }

  /** Whether this member takes no part because its disk fails. */
  public boolean suspended() {
    return suspension.active();
  }

  /** Whether the log knows this member's endpoint, as a voter if it is to be one. */
  public boolean admitted() {
    return membership.admitted(self);
  }

  /** Asks all others for admission until the log knows this endpoint as it should. */
  private void requestAdmission() {
    if (!admitted()) {
      byte[] join = codec.write(new MemberMessage.Join(self.name()));
      settings.group().members().stream()
          .filter(each -> !each.equals(settings.name()))
          .forEach(each -> links.send(each, join));
      environment
          .timers()
          .after(JOIN_HEARTBEATS * settings.heartbeatMillis(), this::requestAdmission);
    }
  }

  /**
   * The algorithm can be left in a pre-vote that never ends: one that was begun when the leader was
   * late, and then received it once more in the same term, asks nobody again when that leader fails
   * (found in virtual time). A voter without contact to a leader that has requested no vote for
   * long receives a vote request of the next term with an empty log: it moves to that term without
   * a vote, and the algorithm starts over.
   */
  private void watchForStuckElection() {
    double timeout = STUCK_FACTOR * MISSED_HEARTBEATS * settings.heartbeatMillis();
    Collection<RaftEndpoint> voters = node.getEffectiveMembers().getVotingMembers();
    if (!suspended() && voters.contains(self) && !leads() && elections.idleLongerThan(timeout)) {
      elections.resetLeaderContact();
      RaftEndpoint other =
          voters.stream().filter(each -> !each.equals(self)).findFirst().orElse(self);
      moveToTerm(view().term() + 1, other);
    }
    environment.timers().after(timeout / 4, this::watchForStuckElection);
  }

  /**
   * Hands leadership to another voter for which {@code up} holds, if this one leads: a leader that
   * just stops leaves all waiting for an election.
   */
  public void transferLeadership(Predicate<String> up) {
    node.getCommittedMembers().getVotingMembers().stream()
        .filter(each -> !each.equals(self) && up.test(((RaftMemberId) each).member()))
        .findFirst()
        .filter(other -> leads())
        .ifPresent(node::transferLeadership);
  }

  /** Simulates a vote request with an empty log, which raises the term and gets no vote. */
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

  /** What this member knows of the leader. */
  public View view() {
    RaftTerm term = node.getTerm();
    RaftEndpoint leader = suspended() ? null : term.getLeaderEndpoint();
    return new View(term.getTerm(), leader == null ? null : ((RaftMemberId) leader).member());
  }

  private boolean leads() {
    return !suspended() && self.equals(node.getTerm().getLeaderEndpoint());
  }

  /** Receives a message; one that is malformed, or of another fleet, is dropped. */
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
    // Pre-votes do not carry a term over: a voter far ahead with a short log and one behind with a
    // long log would reject each other for ever (found in virtual time).
    if (raft instanceof PreVoteRequest
        && view().leader() == null
        && raft.getTerm() > view().term() + 1) {
      moveToTerm(raft.getTerm() - 1, raft.getSender());
    }
    node.handle(raft);
  }

  private void handle(String from, MemberMessage.Join join) {
    RaftMemberId endpoint = new RaftMemberId(String.valueOf(join.endpoint()));
    if (endpoint.member().equals(from) && !endpoint.name().equals(from) && leads()) {
      membership.admit(endpoint);
    }
  }

  private ProposalOutcome answerTo(String member, long id) {
    return ProposalOutcome.of(
        result -> links.send(member, codec.write(new MemberMessage.Answered(id, true, result))),
        reason -> links.send(member, codec.write(new MemberMessage.Answered(id, false, reason))));
  }

  /**
   * Proposes a command. The outcome is notified once, within {@code timeoutMillis}. An unknown one
   * may have been applied: a command that must not be applied twice has to detect that itself.
   */
  public void propose(Object command, double timeoutMillis, ProposalOutcome outcome) {
    Timers timers = environment.timers();
    String leader = view().leader();
    if (leads()) {
      String reason = "no majority has answered in time";
      replicate(command, new TimedOutcome(outcome, timers, timeoutMillis, reason));
    } else if (leader == null) {
      timers.after(0, () -> outcome.unknown(suspended() ? DISK_FAILS : "no leader is known"));
    } else {
      long id = forwarded.add(outcome, timeoutMillis);
      links.send(leader, codec.write(new MemberMessage.Forward(id, command)));
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
