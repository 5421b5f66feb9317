package ferngrade.fleet;

import ferngrade.codec.Codec;
import ferngrade.consensus.LogFormat;
import ferngrade.consensus.ProposalOutcome;
import ferngrade.consensus.RaftLogStore;
import ferngrade.consensus.RaftMember;
import ferngrade.fleet.FleetFile.Job;
import ferngrade.jobstore.FileSystemStorage;
import ferngrade.jobstore.Storage;
import ferngrade.lease.Command;
import ferngrade.lease.EndpointListRelay;
import ferngrade.lease.LeaseHolder;
import ferngrade.lease.LeaseTable;
import ferngrade.lease.RecurringJobRunner;
import ferngrade.lease.Shard;
import ferngrade.membership.MessageAuthenticator;
import ferngrade.membership.Peer;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

/**
 * Runs one member of a fleet: its Raft member, the lease table built from the replicated log, its
 * leases, and the recurring jobs that it submits. A single thread owns this state and blocks on
 * disk writes; connections and operators' calls run on separate threads.
 */
public final class MemberProcess implements AutoCloseable {
  private static final double PROPOSAL_TIMEOUT_MILLIS = 1_000;
  private static final double DUTY_CHECK_INTERVAL_MILLIS = 25;

  /** Time limit for releasing all leases at shutdown. */
  private static final double LEAVE_TIMEOUT_MILLIS = 2_000;

  private static final int ENTRIES_PER_SNAPSHOT = 10_000;
  private static final long MAX_LOG_FILE_BYTES = 16 << 20;
  private static final byte RAFT_COMPONENT = 0;
  private static final byte LIST_RELAY_COMPONENT = 1;

  private final FleetFile file;
  private final String name;
  private final Consumer<String> log;
  private final LongSupplier wallClock;
  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "member"));
  private final Clock clock;
  private final Timers timers;
  private final LeaseTable table = new LeaseTable();
  private final Map<Shard, Long> ownedEpochs = new HashMap<>();
  private final Map<Shard, RecurringJobRunner> jobRunners = new HashMap<>();
  private final FileSystemStorage disk;
  private final MemberConnections connections;
  private final RaftLogStore raftLog;
  private final RaftMember raftMember;
  private final LeaseHolder leaseHolder;
  private final Membership membership;
  private final EndpointListRelayTransport listRelay;
  private final JobSender jobSender;
  private final CompletableFuture<Integer> exitCode = new CompletableFuture<>();
  private boolean sessionConfirmed;
  private RaftMember.View lastView;
  private boolean admitted = true;

  /** The way a voter starts if its data folder is empty. */
  public enum EmptyFolderPolicy {
    /** Refuses to start: an earlier process may have cast votes that are no longer recorded. */
    STOP,
    /** Creates a new fleet together with the other voters. */
    FOUND,
    /** Requests admission to the fleet as a new member without earlier votes. */
    REJOIN
  }

  /**
   * The environment in which a process is started.
   *
   * @param dataFolder the data folder, used by this process alone
   * @param emptyFolderPolicy the way a voter starts if the folder is empty
   * @param storageWrapper wraps the storage of the folder; tests inject faults with it
   * @param clock the monotonic clock
   * @param wallClock the wall clock, ms since 1970
   * @param log receives each log line
   */
  public record Environment(
      Path dataFolder,
      EmptyFolderPolicy emptyFolderPolicy,
      UnaryOperator<Storage> storageWrapper,
      Clock clock,
      LongSupplier wallClock,
      Consumer<String> log) {}

  /**
   * Opens the data folder and creates the member without starting it.
   *
   * @throws IOException if the folder cannot be used, or if it is empty and {@link
   *     EmptyFolderPolicy#STOP} is set for a voter
   */
  public MemberProcess(FleetFile file, String name, Environment environment)
      throws IOException, InterruptedException {
    this.file = file;
    this.name = name;
    this.clock = environment.clock();
    this.wallClock = environment.wallClock();
    this.log = environment.log();
    this.timers =
        new Timers(
            clock,
            (delayMillis, run) ->
                loop.schedule(run, (long) Math.ceil(delayMillis * 1000), TimeUnit.MICROSECONDS));
    this.disk = FileSystemStorage.openExclusive(environment.dataFolder());
    Codec codec = LogFormat.codec(Command.CLASSES);
    this.raftLog =
        RaftLogStore.open(
            environment.storageWrapper().apply(disk), codec, MAX_LOG_FILE_BYTES, this::diskFailed);
    Optional<RestoredRaftState> restored = raftLog.restored();
    if (restored.isEmpty()
        && file.member(name).voter()
        && environment.emptyFolderPolicy() == EmptyFolderPolicy.STOP) {
      disk.close();
      throw new IOException(
          environment.dataFolder()
              + " holds no data of this fleet: a voter without its data must not vote. Start each"
              + " voter of a new fleet with --found, and a voter that has lost its disk with"
              + " --rejoin");
    }
    Map<String, InetSocketAddress> others = new HashMap<>();
    file.members().stream()
        .filter(member -> !member.name().equals(name))
        .forEach(member -> others.put(member.name(), member.address()));
    long seed = new SecureRandom().nextLong();
    this.connections =
        new MemberConnections(
            new MessageAuthenticator(file.name() + " links", file.keys(), seed | 1),
            name,
            others,
            (from, message) -> loop.execute(() -> runGuarded(() -> handleMessage(from, message))));
    this.raftMember =
        new RaftMember(
            new RaftMember.Settings(
                name,
                new RaftMember.Group(file.name(), memberNames(false), memberNames(true)),
                file.heartbeat(),
                ENTRIES_PER_SNAPSHOT),
            new RaftMember.Persistence(
                raftLog,
                restored,
                environment.emptyFolderPolicy() == EmptyFolderPolicy.REJOIN
                    ? Optional.of(Long.toHexString(seed))
                    : Optional.empty()),
            new RaftMember.Environment(
                clock, timers, task -> loop.execute(() -> runGuarded(task)), seed),
            new RaftMember.Messaging(
                codec, (to, message) -> connections.send(to, tagged(RAFT_COMPONENT, message))),
            table);
    this.leaseHolder =
        new LeaseHolder(
            name, Long.toHexString(seed), file.shards(), file.leaseTiming(), this::propose);
    this.membership =
        file.member(name).gossip() == null
            ? null
            : new Membership(
                file,
                name,
                new Membership.Environment(
                    clock, timers, task -> loop.execute(() -> runGuarded(task)), log, seed));
    this.listRelay =
        file.discovery() == null
            ? null
            : new EndpointListRelayTransport(
                file,
                name,
                new EndpointListRelayTransport.Environment(
                    clock,
                    task -> loop.execute(() -> runGuarded(task)),
                    (to, message) -> connections.send(to, tagged(LIST_RELAY_COMPONENT, message)),
                    log));
    this.jobSender = new JobSender(file.name(), file.targets(), loop);
    file.jobs()
        .forEach(
            job ->
                jobRunners.put(
                    job.schedule().shard(),
                    new RecurringJobRunner(job.schedule(), leaseHolder, table, actions(job))));
  }

  /** Returns the message with a prefix byte that identifies the receiving component. */
  private static byte[] tagged(byte component, byte[] message) {
    byte[] result = new byte[message.length + 1];
    result[0] = component;
    System.arraycopy(message, 0, result, 1, message.length);
    return result;
  }

  private void handleMessage(String from, byte[] tagged) {
    if (tagged.length > 1) {
      byte[] message = Arrays.copyOfRange(tagged, 1, tagged.length);
      if (tagged[0] == RAFT_COMPONENT) {
        raftMember.handle(from, message);
      } else if (tagged[0] == LIST_RELAY_COMPONENT && listRelay != null) {
        listRelay.handleMessage(from, message);
      }
    }
  }

  private List<String> memberNames(boolean votersOnly) {
    return file.members().stream()
        .filter(member -> member.voter() || !votersOnly)
        .map(FleetFile.Member::name)
        .toList();
  }

  /** Opens the connections and starts all components. */
  private void start() throws InterruptedException {
    InetSocketAddress address = connections.start(file.member(name).address());
    log.accept(
        "listening address="
            + address.getHostString()
            + ":"
            + address.getPort()
            + (membership == null
                ? ""
                : " gossip="
                    + membership.address().getHostString()
                    + ":"
                    + membership.address().getPort())
            + (listRelay == null || listRelay.address() == null
                ? ""
                : " list=" + listRelay.address()));
    if (file.keys().isEmpty()) {
      log.accept("no key-file: messages between members are not authenticated");
    }
    loop.execute(
        () -> {
          raftMember.start();
          if (membership != null) {
            membership.start();
          }
          renewSession();
          checkDuties();
          log.accept("started");
        });
  }

  /**
   * Starts the member and halts the JVM with its exit code once the member has ended. On SIGTERM
   * the member first leaves the fleet. Never returns normally.
   */
  public void runToEnd() throws InterruptedException, ExecutionException {
    start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  leave(LEAVE_TIMEOUT_MILLIS);
                  Runtime.getRuntime().halt(exitCode.join());
                },
                "stop"));
    Runtime.getRuntime().halt(exitCode.get());
  }

  /**
   * Runs a task and ends the process if it throws. A member with a programming error must not keep
   * its leases without doing the work. Its process therefore exits, and other members take over.
   */
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException fault) {
      log.accept("fault: " + fault);
      exitCode.complete(1);
    }
  }

  private void diskFailed(IOException failure) {
    log.accept("disk failed, suspended until it works again: " + failure.getMessage());
    raftMember.suspend(raftLog, () -> log.accept("disk works again"));
  }

  // ---- Leases and recurring jobs ----

  private void propose(Command command) {
    double proposedAt = clock.now();
    raftMember.propose(
        command,
        PROPOSAL_TIMEOUT_MILLIS,
        ProposalOutcome.of(
            result -> leaseHolder.commandAnswered(proposedAt, command, result), reason -> {}));
  }

  private void renewSession() {
    leaseHolder.tick(clock.now(), wallClock.getAsLong(), table);
    RaftMember.View current = raftMember.view();
    if (!current.equals(lastView)) {
      lastView = current;
      log.accept("follows leader=" + lastView.leader() + " term=" + lastView.term());
    }
    if (admitted != raftMember.admitted()) {
      admitted = !admitted;
      log.accept(admitted ? "taken in" : "not taken in yet: asking the other members");
    }
    boolean confirmed = leaseHolder.leaseValid(clock.now());
    if (confirmed != sessionConfirmed) {
      sessionConfirmed = confirmed;
      log.accept(
          confirmed
              ? "session confirmed by a majority"
              : "no majority confirms this member: it owns nothing");
    }
    timers.after(leaseHolder.tickIntervalMillis(), () -> runGuarded(this::renewSession));
  }

  private void checkDuties() {
    for (Job job : file.jobs()) {
      Shard shard = job.schedule().shard();
      logOwnershipChange(shard, leaseHolder.epoch(shard, clock.now(), table));
      jobRunners.get(shard).tick(clock.now(), wallClock.getAsLong());
    }
    if (listRelay != null) {
      OptionalLong epoch = leaseHolder.epoch(EndpointListRelay.SHARD, clock.now(), table);
      logOwnershipChange(EndpointListRelay.SHARD, epoch);
      listRelay.poll(epoch);
    }
    timers.after(DUTY_CHECK_INTERVAL_MILLIS, () -> runGuarded(this::checkDuties));
  }

  private void logOwnershipChange(Shard shard, OptionalLong epoch) {
    Long previous =
        epoch.isPresent() ? ownedEpochs.put(shard, epoch.getAsLong()) : ownedEpochs.remove(shard);
    if (previous != null && (epoch.isEmpty() || epoch.getAsLong() != previous)) {
      log.accept("lost shard=" + shard + " epoch=" + previous);
    }
    if (epoch.isPresent() && (previous == null || previous != epoch.getAsLong())) {
      log.accept("gained shard=" + shard + " epoch=" + epoch.getAsLong());
    }
  }

  /** Creates the actions through which the runner of a job proposes commands and submits it. */
  private RecurringJobRunner.Actions actions(Job job) {
    Shard shard = job.schedule().shard();
    return new RecurringJobRunner.Actions() {
      @Override
      public void propose(Command command, Consumer<Object> done, Runnable unknown) {
        raftMember.propose(
            command,
            PROPOSAL_TIMEOUT_MILLIS,
            ProposalOutcome.of(
                result -> {
                  if (result instanceof Command.Begun begun
                      && begun.verdict() != Command.Verdict.ACCEPTED) {
                    log.accept("not begun job=" + shard.duty() + " verdict=" + begun.verdict());
                  }
                  done.accept(result);
                },
                reason -> unknown.run()));
      }

      @Override
      public void submit(long due, long epoch) {
        jobSender.send(
            job,
            due,
            epoch,
            () -> leaseHolder.epoch(shard, clock.now(), table).equals(OptionalLong.of(epoch)),
            result ->
                runGuarded(
                    () -> {
                      log.accept(
                          "put in job="
                              + shard.duty()
                              + " due="
                              + due
                              + " epoch="
                              + epoch
                              + " result="
                              + result.orElse("not put in"));
                      result.ifPresentOrElse(
                          jobRunners.get(shard)::resultReceived,
                          jobRunners.get(shard)::notSubmitted);
                    }));
      }
    };
  }

  // ---- Operators' calls ----

  /** Returns a consistent view of the fleet as this member knows it. */
  CompletableFuture<FleetStatus> status() {
    return CompletableFuture.supplyAsync(
        () -> {
          RaftMember.View view = raftMember.view();
          return new FleetStatus(
              file.name(),
              name,
              view.leader(),
              view.term(),
              leaseHolder.leaseValid(clock.now()),
              table.index(),
              List.copyOf(table.sessions()),
              table.slots().stream()
                  .map(slot -> new FleetStatus.Duty(slot, table.owner(slot)))
                  .toList());
        },
        loop);
  }

  /** Returns the gossip status of all members; empty if this member has no gossip address. */
  CompletableFuture<MembersStatus> members() {
    return CompletableFuture.supplyAsync(
        () ->
            membership == null
                ? new MembersStatus(name, List.of(), 0)
                : new MembersStatus(
                    name,
                    Stream.concat(
                            Stream.of(new Peer(membership.self(), clock.now())),
                            membership.peers().stream())
                        .map(
                            peer ->
                                new MembersStatus.Line(peer.update(), clock.now() - peer.since()))
                        .toList(),
                    membership.rejected()),
        loop);
  }

  /**
   * Proposes the transfer of a shard to a member. The result is true once the command is committed,
   * false if the shard or the member is unknown, and a text with the reason if the outcome is not
   * known.
   */
  CompletableFuture<Object> transfer(String duty, int number, String targetMember) {
    CompletableFuture<Object> result = new CompletableFuture<>();
    loop.execute(
        () ->
            raftMember.propose(
                new Command.Transfer(new Shard(duty, number), targetMember),
                PROPOSAL_TIMEOUT_MILLIS,
                ProposalOutcome.of(result::complete, result::complete)));
    return result;
  }

  /**
   * Measures the log entries committed per second. For {@code durationMillis} ms it keeps {@code
   * concurrency} proposals in flight; the entries change nothing.
   */
  CompletableFuture<Double> measure(double durationMillis, int concurrency) {
    CompletableFuture<Double> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          double startedAt = clock.now();
          long[] counts = new long[2];
          Runnable[] proposeNext = new Runnable[1];
          proposeNext[0] =
              () ->
                  raftMember.propose(
                      new Command.Renew(0, wallClock.getAsLong()),
                      PROPOSAL_TIMEOUT_MILLIS,
                      new ProposalOutcome() {
                        private void next() {
                          if (clock.now() - startedAt < durationMillis) {
                            proposeNext[0].run();
                          } else if (++counts[1] == concurrency) {
                            result.complete(counts[0] * 1000 / (clock.now() - startedAt));
                          }
                        }

                        @Override
                        public void done(Object result) {
                          counts[0]++;
                          next();
                        }

                        @Override
                        public void unknown(String reason) {
                          next();
                        }
                      });
          for (int i = 0; i < concurrency; i++) {
            proposeNext[0].run();
          }
        });
    return result;
  }

  /**
   * Releases all leases and then completes {@link #exitCode}, after {@code timeoutMillis} ms at the
   * latest.
   */
  void leave(double timeoutMillis) {
    loop.execute(
        () -> {
          log.accept("leaving");
          leaseHolder.drain();
          timers.after(timeoutMillis, () -> exitCode.complete(0));
          pollHandover();
        });
  }

  private void pollHandover() {
    // Polled every few ms: each step of the handover waits until the step before it is committed.
    leaseHolder.tick(clock.now(), wallClock.getAsLong(), table);
    if (!leaseHolder.closed()) {
      timers.after(5, this::pollHandover);
    } else if (name.equals(raftMember.view().leader())) {
      // If the leader exited without a successor, the fleet would have to wait for an election.
      raftMember.transferLeadership(
          candidate ->
              table.sessions().stream().anyMatch(session -> session.member().equals(candidate))
                  && (membership == null || membership.alive(candidate)));
      timers.after(50, this::pollHandover);
    } else {
      if (membership != null) {
        membership.leave();
      }
      log.accept("left: all shards released");
      exitCode.complete(0);
    }
  }

  @Override
  public void close() throws IOException {
    loop.shutdownNow();
    connections.close();
    if (membership != null) {
      membership.close();
    }
    if (listRelay != null) {
      listRelay.close();
    }
    disk.close();
  }
}
