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
 * One process of a member: its voter, the table that it makes of the log, what it holds, and the
 * recurring jobs that it puts in. One thread owns all of that, and waits for its own disk;
 * connections and operators' calls have theirs.
 */
public final class MemberProcess implements AutoCloseable {
  private static final double PATIENCE = 1_000;
  private static final double ACT = 25;

  /** Ms for a member that is told to end to give back what it holds. */
  private static final double LEAVE = 2_000;

  private static final int SNAPSHOT_EVERY = 10_000;
  private static final long FILE_BYTES = 16 << 20;
  private static final byte VOTER = 0;
  private static final byte LIST = 1;

  private final FleetFile file;
  private final String name;
  private final Consumer<String> log;
  private final LongSupplier wall;
  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "member"));
  private final Clock clock;
  private final Timers timers;
  private final LeaseTable table = new LeaseTable();
  private final Map<Shard, Long> held = new HashMap<>();
  private final Map<Shard, RecurringJobRunner> performers = new HashMap<>();
  private final FileSystemStorage disk;
  private final MemberConnections links;
  private final RaftLogStore voterLog;
  private final RaftMember voter;
  private final LeaseHolder holder;
  private final Membership membership;
  private final EndpointListRelayTransport list;
  private final JobSender jobs;
  private final CompletableFuture<Integer> ended = new CompletableFuture<>();
  private boolean holds;
  private RaftMember.View view;
  private boolean takenIn = true;

  /** What a voter does whose folder holds nothing. */
  public enum Empty {
    /** It must not take part: it may have promised what it no longer knows. */
    STOP,
    /** It begins a new fleet with the others. */
    FOUND,
    /** It asks to be taken in anew, as one that has promised nothing. */
    REJOIN
  }

  /**
   * What a process is started with: its folder, what it does if that is empty, what its disk is
   * made into, its clocks, the second of them the wall's, and its log.
   */
  public record Start(
      Path data,
      Empty empty,
      UnaryOperator<Storage> disk,
      Clock clock,
      LongSupplier wall,
      Consumer<String> log) {}

  /**
   * Opens the folder and makes the member; an {@link IOException} says why it must not take part.
   */
  public MemberProcess(FleetFile file, String name, Start start)
      throws IOException, InterruptedException {
    this.file = file;
    this.name = name;
    this.clock = start.clock();
    this.wall = start.wall();
    this.log = start.log();
    this.timers =
        new Timers(
            clock,
            (millis, run) ->
                loop.schedule(run, (long) Math.ceil(millis * 1000), TimeUnit.MICROSECONDS));
    this.disk = FileSystemStorage.openExclusive(start.data());
    Codec codec = LogFormat.codec(Command.CLASSES);
    this.voterLog =
        RaftLogStore.open(start.disk().apply(disk), codec, FILE_BYTES, this::diskFailed);
    Optional<RestoredRaftState> restored = voterLog.restored();
    if (restored.isEmpty() && file.member(name).voter() && start.empty() == Empty.STOP) {
      disk.close();
      throw new IOException(
          start.data()
              + " holds nothing of this fleet: a voter without its disk must not vote. A new fleet"
              + " is begun with --found on each voter; one that has lost its disk comes back with"
              + " --rejoin");
    }
    Map<String, InetSocketAddress> others = new HashMap<>();
    file.members().stream()
        .filter(each -> !each.name().equals(name))
        .forEach(each -> others.put(each.name(), each.address()));
    long seed = new SecureRandom().nextLong();
    this.links =
        new MemberConnections(
            new MessageAuthenticator(file.name() + " links", file.keys(), seed | 1),
            name,
            others,
            (from, message) -> loop.execute(() -> guarded(() -> received(from, message))));
    this.voter =
        new RaftMember(
            new RaftMember.Settings(
                name,
                new RaftMember.Group(file.name(), names(false), names(true)),
                file.heartbeat(),
                SNAPSHOT_EVERY),
            new RaftMember.Persistence(
                voterLog,
                restored,
                start.empty() == Empty.REJOIN
                    ? Optional.of(Long.toHexString(seed))
                    : Optional.empty()),
            new RaftMember.Environment(
                clock, timers, task -> loop.execute(() -> guarded(task)), seed),
            new RaftMember.Messaging(
                codec, (to, message) -> links.send(to, marked(VOTER, message))),
            table);
    this.holder =
        new LeaseHolder(name, Long.toHexString(seed), file.shards(), file.terms(), this::propose);
    this.membership =
        file.member(name).gossip() == null
            ? null
            : new Membership(
                file,
                name,
                new Membership.Surroundings(
                    clock, timers, task -> loop.execute(() -> guarded(task)), log, seed));
    this.list =
        file.discovery() == null
            ? null
            : new EndpointListRelayTransport(
                file,
                name,
                new EndpointListRelayTransport.Surroundings(
                    clock,
                    task -> loop.execute(() -> guarded(task)),
                    (to, message) -> links.send(to, marked(LIST, message)),
                    log));
    this.jobs = new JobSender(file.name(), file.targets(), loop);
    file.jobs()
        .forEach(
            job ->
                performers.put(
                    job.when().shard(),
                    new RecurringJobRunner(job.when(), holder, table, actions(job))));
  }

  /** A message with a first byte that says whom it is for. */
  private static byte[] marked(byte whom, byte[] message) {
    byte[] all = new byte[message.length + 1];
    all[0] = whom;
    System.arraycopy(message, 0, all, 1, message.length);
    return all;
  }

  private void received(String from, byte[] marked) {
    if (marked.length > 1) {
      byte[] message = Arrays.copyOfRange(marked, 1, marked.length);
      if (marked[0] == VOTER) {
        voter.handle(from, message);
      } else if (marked[0] == LIST && list != null) {
        list.received(from, message);
      }
    }
  }

  private List<String> names(boolean voters) {
    return file.members().stream()
        .filter(each -> each.voter() || !voters)
        .map(FleetFile.Member::name)
        .toList();
  }

  /** Takes part from here on. */
  private void start() throws InterruptedException {
    InetSocketAddress address = links.start(file.member(name).address());
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
            + (list == null || list.address() == null ? "" : " list=" + list.address()));
    if (file.keys().isEmpty()) {
      log.accept("no key-file: members do not prove who they are");
    }
    loop.execute(
        () -> {
          voter.start();
          if (membership != null) {
            membership.start();
          }
          tick();
          act();
          log.accept("started");
        });
  }

  /**
   * Starts the member and ends the process once it has ended; on SIGTERM it leaves first. Does not
   * return but by an exception.
   */
  public void runToEnd() throws InterruptedException, ExecutionException {
    start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  leave(LEAVE);
                  Runtime.getRuntime().halt(ended.join());
                },
                "stop"));
    Runtime.getRuntime().halt(ended.get());
  }

  /**
   * A fault of the program must not leave a member that holds and does not act: it ends, and others
   * take over.
   */
  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException fault) {
      log.accept("fault: " + fault);
      ended.complete(1);
    }
  }

  private void diskFailed(IOException failure) {
    log.accept("disk failed, taking no part until it works again: " + failure.getMessage());
    voter.suspend(voterLog, () -> log.accept("disk works again"));
  }

  // ---- Duties ----

  private void propose(Command command) {
    double asked = clock.now();
    voter.propose(
        command,
        PATIENCE,
        ProposalOutcome.of(result -> holder.answered(asked, command, result), why -> {}));
  }

  private void tick() {
    holder.tick(clock.now(), wall.getAsLong(), table);
    RaftMember.View seen = voter.view();
    if (!seen.equals(view)) {
      view = seen;
      log.accept("follows leader=" + view.leader() + " term=" + view.term());
    }
    if (takenIn != voter.admitted()) {
      takenIn = !takenIn;
      log.accept(takenIn ? "taken in" : "not taken in yet: it asks the others");
    }
    boolean now = holder.holds(clock.now());
    if (now != holds) {
      holds = now;
      log.accept(
          now
              ? "session confirmed by a majority"
              : "no majority confirms this member: it owns nothing");
    }
    timers.after(holder.period(), () -> guarded(this::tick));
  }

  private void act() {
    for (Job job : file.jobs()) {
      Shard shard = job.when().shard();
      tellHeld(shard, holder.epoch(shard, clock.now(), table));
      performers.get(shard).look(clock.now(), wall.getAsLong());
    }
    if (list != null) {
      OptionalLong epoch = holder.epoch(EndpointListRelay.SHARD, clock.now(), table);
      tellHeld(EndpointListRelay.SHARD, epoch);
      list.look(epoch);
    }
    timers.after(ACT, () -> guarded(this::act));
  }

  private void tellHeld(Shard shard, OptionalLong epoch) {
    Long before = epoch.isPresent() ? held.put(shard, epoch.getAsLong()) : held.remove(shard);
    if (before != null && (epoch.isEmpty() || epoch.getAsLong() != before)) {
      log.accept("lost shard=" + shard + " epoch=" + before);
    }
    if (epoch.isPresent() && (before == null || before != epoch.getAsLong())) {
      log.accept("gained shard=" + shard + " epoch=" + epoch.getAsLong());
    }
  }

  /** Does for a job's performer what it decides. */
  private RecurringJobRunner.Actions actions(Job job) {
    Shard shard = job.when().shard();
    return new RecurringJobRunner.Actions() {
      @Override
      public void propose(Command command, Consumer<Object> done, Runnable unknown) {
        voter.propose(
            command,
            PATIENCE,
            ProposalOutcome.of(
                result -> {
                  if (result instanceof Command.Begun begun
                      && begun.verdict() != Command.Verdict.ACCEPTED) {
                    log.accept("not begun job=" + shard.duty() + " verdict=" + begun.verdict());
                  }
                  done.accept(result);
                },
                why -> unknown.run()));
      }

      @Override
      public void put(long due, long epoch) {
        jobs.put(
            job,
            due,
            epoch,
            () -> holder.epoch(shard, clock.now(), table).equals(OptionalLong.of(epoch)),
            result ->
                guarded(
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
                          performers.get(shard)::came, performers.get(shard)::notPut);
                    }));
      }
    };
  }

  // ---- Operators ----

  /** What this member knows, at one moment. */
  CompletableFuture<FleetStatus> status() {
    return CompletableFuture.supplyAsync(
        () -> {
          RaftMember.View view = voter.view();
          return new FleetStatus(
              file.name(),
              name,
              view.leader(),
              view.term(),
              holder.holds(clock.now()),
              table.index(),
              List.copyOf(table.sessions()),
              table.slots().stream()
                  .map(slot -> new FleetStatus.Duty(slot, table.owner(slot)))
                  .toList());
        },
        loop);
  }

  /** Who seems to live, as this member sees it; empty if it takes no part in that. */
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
                            each -> new MembersStatus.Line(each.news(), clock.now() - each.since()))
                        .toList(),
                    membership.refused()),
        loop);
  }

  /**
   * Asks for a shard to go to a member; true once the log has it, false if it knows no such shard
   * or member.
   */
  CompletableFuture<Object> transfer(String duty, int number, String to) {
    CompletableFuture<Object> answer = new CompletableFuture<>();
    loop.execute(
        () ->
            voter.propose(
                new Command.Transfer(new Shard(duty, number), to),
                PATIENCE,
                ProposalOutcome.of(answer::complete, answer::complete)));
    return answer;
  }

  /**
   * How many entries a second the log takes from this member, with so many on their way at a time:
   * entries that change nothing, for so many ms.
   */
  CompletableFuture<Double> measure(double millis, int atOnce) {
    CompletableFuture<Double> answer = new CompletableFuture<>();
    loop.execute(
        () -> {
          double began = clock.now();
          long[] counts = new long[2];
          Runnable[] one = new Runnable[1];
          one[0] =
              () ->
                  voter.propose(
                      new Command.Renew(0, wall.getAsLong()),
                      PATIENCE,
                      new ProposalOutcome() {
                        private void next() {
                          if (clock.now() - began < millis) {
                            one[0].run();
                          } else if (++counts[1] == atOnce) {
                            answer.complete(counts[0] * 1000 / (clock.now() - began));
                          }
                        }

                        @Override
                        public void done(Object result) {
                          counts[0]++;
                          next();
                        }

                        @Override
                        public void unknown(String why) {
                          next();
                        }
                      });
          for (int i = 0; i < atOnce; i++) {
            one[0].run();
          }
        });
    return answer;
  }

  /** Gives back what is held, then ends; the result of {@link #ended} says when. */
  void leave(double patience) {
    loop.execute(
        () -> {
          log.accept("leaving");
          holder.drain();
          timers.after(patience, () -> ended.complete(0));
          whenLeft();
        });
  }

  private void whenLeft() {
    // Looked at often: each step of the hand-over waits for the one before it to be in the log.
    holder.tick(clock.now(), wall.getAsLong(), table);
    if (!holder.left()) {
      timers.after(5, this::whenLeft);
    } else if (name.equals(voter.view().leader())) {
      // A leader that ends before another has taken its place leaves all waiting for an election.
      voter.transferLeadership(
          other ->
              table.sessions().stream().anyMatch(each -> each.member().equals(other))
                  && (membership == null || membership.alive(other)));
      timers.after(50, this::whenLeft);
    } else {
      if (membership != null) {
        membership.leave();
      }
      log.accept("left: everything was given back");
      ended.complete(0);
    }
  }

  @Override
  public void close() throws IOException {
    loop.shutdownNow();
    links.close();
    if (membership != null) {
      membership.close();
    }
    if (list != null) {
      list.close();
    }
    disk.close();
  }
}
