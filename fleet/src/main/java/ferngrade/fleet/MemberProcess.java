package ferngrade.fleet;

import ferngrade.agreement.Codec;
import ferngrade.agreement.Voter;
import ferngrade.agreement.VoterLog;
import ferngrade.durable.FolderDisk;
import ferngrade.duty.Command;
import ferngrade.duty.DutyTable;
import ferngrade.duty.Holder;
import ferngrade.duty.Performer;
import ferngrade.duty.Shard;
import ferngrade.fleet.FleetFile.Job;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * One process of a member: its voter, the table that it makes of the log, what it holds, and the recurring jobs that it
 * puts in. One thread owns all of that, and waits for its own disk; connections and operators' calls have theirs.
 */
final class MemberProcess implements AutoCloseable {
    private static final double PATIENCE = 1_000;
    private static final double ACT = 25;
    private static final int SNAPSHOT_EVERY = 10_000;
    private static final long FILE_BYTES = 16 << 20;

    private final FleetFile file;
    private final String name;
    private final Consumer<String> log;
    private final LongSupplier wall;
    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor(
            task -> new Thread(task, "member"));
    private final Clock clock;
    private final Timers timers;
    private final DutyTable table = new DutyTable();
    private final Map<Shard, Long> held = new HashMap<>();
    private final Map<Shard, Performer> performers = new HashMap<>();
    private final FolderDisk disk;
    private final Links links;
    private final Voter voter;
    private final Holder holder;
    private final JobSender jobs;
    private final CompletableFuture<Integer> ended = new CompletableFuture<>();
    private boolean holds;
    private Voter.View view;

    /** What a process is started with: its folder, whether it may begin a new fleet, its clocks and its log. */
    record Start(Path data, boolean found, Clock clock, LongSupplier wall, Consumer<String> log) { }

    /** Opens the folder and makes the member; an {@link IOException} says why it must not take part. */
    MemberProcess(FleetFile file, String name, Start start) throws IOException {
        this.file = file;
        this.name = name;
        this.clock = start.clock();
        this.wall = start.wall();
        this.log = start.log();
        this.timers = new Timers(clock, (millis, run) -> loop.schedule(run, (long) Math.ceil(millis * 1000),
                TimeUnit.MICROSECONDS));
        this.disk = FolderDisk.hold(start.data());
        Codec codec = new Codec(Command.CLASSES);
        VoterLog kept = VoterLog.open(disk, codec, FILE_BYTES, this::diskFailed);
        RestoredRaftState restored = kept.restored();
        if (restored == null && file.member(name).voter() && !start.found()) {
            disk.close();
            throw new IOException(start.data() + " holds nothing of this fleet: a voter without its disk must not vote."
                    + " A new fleet is begun with --found on each voter");
        }
        Map<String, InetSocketAddress> others = new HashMap<>();
        file.members().stream().filter(each -> !each.name().equals(name))
                .forEach(each -> others.put(each.name(), each.address()));
        long seed = new SecureRandom().nextLong();
        this.links = new Links(file.name(), name, others,
                (from, message) -> loop.execute(() -> guarded(() -> voter().handle(from, message))));
        this.voter = new Voter(name, new Voter.Group(file.name(), names(false), names(true)), table,
                new Voter.Kept(kept, restored), new Voter.Surroundings(clock, timers,
                        task -> loop.execute(() -> guarded(task)), seed), codec,
                links::send, new Voter.Terms(file.heartbeat(), SNAPSHOT_EVERY));
        this.holder = new Holder(name, Long.toHexString(seed), file.shards(), file.terms(), this::propose);
        this.jobs = new JobSender(file.name(), file.targets(), loop);
        file.jobs().forEach(job -> performers.put(job.when().shard(), new Performer(job.when(), holder, table,
                actions(job))));
    }

    private Voter voter() {
        return voter;
    }

    private List<String> names(boolean voters) {
        return file.members().stream().filter(each -> each.voter() || !voters).map(FleetFile.Member::name).toList();
    }

    /** Takes part from here on. */
    void start() throws InterruptedException {
        InetSocketAddress address = links.start(file.member(name).address());
        log.accept("listening address=" + address.getHostString() + ":" + address.getPort());
        loop.execute(() -> {
            voter.start();
            tick();
            act();
            log.accept("started");
        });
    }

    /** The exit code with which the process is to end, once it is. */
    CompletableFuture<Integer> ended() {
        return ended;
    }

    /** A fault of the program must not leave a member that holds and does not act: it ends, and others take over. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException fault) {
            log.accept("fault: " + fault);
            ended.complete(1);
        }
    }

    private void diskFailed(IOException failure) {
        log.accept("disk failed, leaving at once: " + failure.getMessage());
        ended.complete(1);
    }

    // ---- Duties ----

    private void propose(Command command) {
        double asked = clock.now();
        voter.propose(command, PATIENCE, new Voter.Outcome() {
            @Override
            public void done(Object result) {
                holder.answered(asked, command, result);
            }

            @Override
            public void unknown(String why) { }
        });
    }

    private void tick() {
        holder.tick(clock.now(), wall.getAsLong(), table);
        Voter.View seen = voter.view();
        if (!seen.equals(view)) {
            view = seen;
            log.accept("follows leader=" + view.leader() + " term=" + view.term());
        }
        boolean now = holder.holds(clock.now());
        if (now != holds) {
            holds = now;
            log.accept(now ? "session confirmed by a majority" : "no majority confirms this member: it owns nothing");
        }
        timers.after(holder.period(), () -> guarded(this::tick));
    }

    private void act() {
        for (Job job : file.jobs()) {
            Shard shard = job.when().shard();
            tellHeld(shard, holder.epoch(shard, clock.now(), table));
            performers.get(shard).look(clock.now(), wall.getAsLong());
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
    private Performer.Actions actions(Job job) {
        Shard shard = job.when().shard();
        return new Performer.Actions() {
            @Override
            public void propose(Command command, Consumer<Object> done, Runnable unknown) {
                voter.propose(command, PATIENCE, new Voter.Outcome() {
                    @Override
                    public void done(Object result) {
                        if (result instanceof Command.Begun begun && begun.verdict() != Command.Verdict.ACCEPTED) {
                            log.accept("not begun job=" + shard.duty() + " verdict=" + begun.verdict());
                        }
                        done.accept(result);
                    }

                    @Override
                    public void unknown(String why) {
                        unknown.run();
                    }
                });
            }

            @Override
            public void put(long due, long epoch) {
                jobs.put(job, due, epoch,
                        () -> holder.epoch(shard, clock.now(), table).equals(OptionalLong.of(epoch)),
                        result -> guarded(() -> {
                            log.accept("put in job=" + shard.duty() + " due=" + due + " epoch=" + epoch + " result="
                                    + result.orElse("not put in"));
                            result.ifPresentOrElse(performers.get(shard)::came, performers.get(shard)::notPut);
                        }));
            }
        };
    }

    // ---- Operators ----

    /** What this member knows, at one moment. */
    CompletableFuture<FleetStatus> status() {
        return CompletableFuture.supplyAsync(() -> {
            Voter.View view = voter.view();
            return new FleetStatus(file.name(), name, view.leader(), view.term(), holder.holds(clock.now()),
                    table.index(), List.copyOf(table.sessions()), table.slots().stream()
                            .map(slot -> new FleetStatus.Duty(slot, table.owner(slot))).toList());
        }, loop);
    }

    /** Asks for a shard to go to a member; true once the log has it, false if it knows no such shard or member. */
    CompletableFuture<Object> transfer(String duty, int number, String to) {
        CompletableFuture<Object> answer = new CompletableFuture<>();
        loop.execute(() -> voter.propose(new Command.Transfer(new Shard(duty, number), to), PATIENCE,
                new Voter.Outcome() {
                    @Override
                    public void done(Object result) {
                        answer.complete(result);
                    }

                    @Override
                    public void unknown(String why) {
                        answer.complete(why);
                    }
                }));
        return answer;
    }

    /** Gives back what is held, then ends; the result of {@link #ended} says when. */
    void leave(double patience) {
        loop.execute(() -> {
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
            voter.yield(other -> table.sessions().stream().anyMatch(each -> each.member().equals(other)));
            timers.after(50, this::whenLeft);
        } else {
            log.accept("left: everything was given back");
            ended.complete(0);
        }
    }

    @Override
    public void close() throws IOException {
        loop.shutdownNow();
        links.close();
        disk.close();
    }
}
