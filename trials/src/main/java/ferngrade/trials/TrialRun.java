package ferngrade.trials;

import ferngrade.trials.History.Event;
import ferngrade.trials.TrialFile.Sign;
import ferngrade.trials.TrialFile.Step;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Plays a trial: starts the members as processes of the program, with a relay of its own in each directed link between
 * them and from each to whoever takes their jobs; does the steps; waits until every job has landed again after the last;
 * and has the judges read the history. Times only say when something is done: no verdict hangs on speed.
 */
public final class TrialRun {
    /** How long, ms, anything that must come may take on a busy machine. */
    private static final double GENEROUS = 60_000;
    /** How long, ms, duties may still move to members that came last, before the first step. */
    private static final double SETTLED = 500;
    /** How long, ms, is waited at the end for what may still land late. */
    private static final double LATE = 1_500;

    private final TrialFile trial;
    private final Path folder;
    private final History history = new History();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> names = new ArrayList<>();
    private final TreeMap<String, ProcessMember> members = new TreeMap<>();
    private final Map<String, Relay> links = new HashMap<>();
    private final Map<String, Relay> effects = new HashMap<>();
    private final Taker taker;
    private final SplittableRandom chance;
    private String hurtLast;

    /** What a trial came to: the breaches, and the history that they were found in. */
    public record Result(List<Breach> breaches, History history) { }

    /** A trial of the program that {@code program} starts; its files go into {@code folder}. */
    public TrialRun(TrialFile trial, long seed, Mutant mutant, List<String> program, Path folder)
            throws IOException, InterruptedException {
        this.trial = trial;
        this.folder = folder;
        this.chance = new SplittableRandom(seed);
        this.taker = new Taker(history, mutant != Mutant.NO_EPOCH_CHECK);
        for (int i = 0; i < trial.members(); i++) {
            names.add(String.valueOf((char) ('a' + i)));
        }
        hurtLast = names.get(0);
        Files.createDirectories(folder);
        for (String name : names) {
            Relay effect = new Relay(group, () -> history.add(name, "held", Map.of()));
            effect.to(taker.address());
            effects.put(name, effect);
            for (String other : names) {
                if (!other.equals(name)) {
                    links.put(name + other, new Relay(group, () -> { }));
                }
            }
        }
        for (String name : names) {
            Path file = folder.resolve(name + ".toml");
            Files.writeString(file, file(name));
            members.put(name, new ProcessMember(name, program, file, folder.resolve(name), history,
                    address -> names.stream().filter(other -> !other.equals(name))
                            .forEach(other -> links.get(other + name).to(address))));
        }
    }

    private static String text(InetSocketAddress address) {
        return "\"" + address.getHostString() + ":" + address.getPort() + "\"";
    }

    /** The fleet's file as one member has it: it reaches the others through its own relays. */
    private String file(String name) {
        StringBuilder toml = new StringBuilder();
        toml.append("name = \"trial\"\nhold = \"").append((long) trial.hold()).append("ms\"\n");
        toml.append("targets = [").append(text(effects.get(name).address())).append("]\n");
        for (String other : names) {
            toml.append("[[member]]\nname = \"").append(other).append("\"\naddress = ").append(other.equals(name)
                    ? "\"127.0.0.1:0\"" : text(links.get(name + other).address())).append('\n');
        }
        for (String job : List.of("once", "keyed")) {
            toml.append("[[recurring]]\nname = \"").append(job).append("\"\nevery = \"").append((long) trial.every())
                    .append("ms\"\nclass = \"c\"\ntenant = \"t\"\ndeadline = \"20s\"\neffect = \"")
                    .append(job.equals("once") ? "unsafe" : "keyed").append("\"\n");
        }
        return toml.toString();
    }

    /** Plays it to its end. */
    public Result run() throws IOException, InterruptedException {
        List<Breach> breaches = new ArrayList<>();
        try {
            for (ProcessMember member : members.values()) {
                member.start();
            }
            double played = Double.POSITIVE_INFINITY;
            if (!awaitSessions() || !awaitLanded(history.now())) {
                breaches.add(new Breach(history.now(), "owned", "a job has not landed since the start"));
            } else {
                pass(SETTLED);
                played = history.now();
                if (!play()) {
                    breaches.add(new Breach(history.now(), "played", "a step waited in vain for what it comes after"));
                }
                if (!awaitLanded(history.now())) {
                    breaches.add(new Breach(history.now(), "owned", "a job has not landed since the last fault"));
                }
                pass(LATE);
            }
            if (trial.keeps()) {
                breaches.addAll(Judges.kept(history.events(), played));
            }
        } finally {
            for (ProcessMember member : members.values()) {
                member.stand(false);
                member.kill();
                member.awaitEnd();
            }
            taker.close();
            links.values().forEach(Relay::close);
            effects.values().forEach(Relay::close);
            group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly(2_000);
            history.write(folder.resolve("history.jsonl"));
        }
        breaches.addAll(Judges.judge(history.events()));
        return new Result(breaches, history);
    }

    /** Waits until each job has landed after this time. */
    private boolean awaitLanded(double since) throws InterruptedException {
        double until = history.now() + GENEROUS;
        while (history.now() < until) {
            long jobs = history.events().stream().filter(each -> each.at() > since && each.what().equals("landed"))
                    .map(each -> each.detail("shard")).distinct().count();
            if (jobs == 2) {
                return true;
            }
            history.await(200);
        }
        return false;
    }

    /** Waits until a majority has confirmed each member. */
    private boolean awaitSessions() throws InterruptedException {
        double until = history.now() + GENEROUS;
        while (history.now() < until) {
            if (history.events().stream().filter(each -> each.what().equals("session")).map(Event::who).distinct()
                    .count() == members.size()) {
                return true;
            }
            history.await(200);
        }
        return false;
    }

    private void pass(double millis) throws InterruptedException {
        double until = history.now() + millis;
        while (history.now() < until) {
            history.await(until - history.now());
        }
    }

    // ---- Steps ----

    /** Something to do at a time and once something else is so. */
    private record Due(double at, BooleanSupplier when, Action action) { }

    /** What a step does, or undoes. */
    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** Does all steps; false if one waited in vain for what it was to come after. */
    private boolean play() throws IOException, InterruptedException {
        double start = history.now();
        List<Due> agenda = new ArrayList<>();
        for (Step step : trial.steps()) {
            // Whose sign it waits for is settled with the first look after its time.
            String[] whose = new String[1];
            agenda.add(new Due(start + step.at(), () -> {
                whose[0] = whose[0] != null || step.when() == Sign.NONE ? whose[0] : who(step.who()).get(0).name;
                return seen(step.when(), whose[0], start);
            }, () -> begin(step, agenda)));
        }
        while (!agenda.isEmpty()) {
            double now = history.now();
            Due next = agenda.stream().filter(each -> each.at() <= now && each.when().getAsBoolean())
                    .min(Comparator.comparingDouble(Due::at)).orElse(null);
            if (next != null) {
                agenda.remove(next);
                next.action().run();
            } else if (agenda.stream().allMatch(each -> each.at() + GENEROUS < now)) {
                return false;
            } else {
                double wait = agenda.stream().mapToDouble(Due::at).filter(at -> at > now).min().orElse(now + 200) - now;
                history.await(Math.min(200, wait));
            }
        }
        return true;
    }

    private void begin(Step step, List<Due> agenda) throws IOException, InterruptedException {
        for (ProcessMember one : who(step.who())) {
            history.add("harness", step.deed().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                    Map.of("member", one.name));
            hurtLast = one.name;
            double since = history.now();
            Action undo = act(step, one);
            if (step.ends()) {
                agenda.add(new Due(since, () -> seen(step.until(), one.name, since),
                        () -> agenda.add(new Due(history.now() + step.length(), () -> true, () -> {
                            history.add("harness", "end", Map.of("member", one.name, "deed", step.deed().name()));
                            undo.run();
                        }))));
            }
        }
    }

    /** Whether what a step waits for has been seen of this member since then. */
    private boolean seen(Sign sign, String member, double since) {
        return switch (sign) {
            case NONE -> true;
            case HELD -> history.events().stream()
                    .anyMatch(each -> each.at() >= since && each.what().equals("held") && each.who().equals(member));
            case OVERTAKEN -> {
                Map<String, Long> owned = new HashMap<>();
                boolean overtaken = false;
                for (Event each : history.events()) {
                    String shard = each.detail("shard");
                    if (each.what().equals("gained") && each.at() < since) {
                        owned.remove(shard);
                        if (each.who().equals(member)) {
                            owned.put(shard, Long.parseLong(each.detail("epoch")));
                        }
                    }
                    overtaken |= each.what().equals("landed") && each.at() > since && owned.containsKey(shard)
                            && Long.parseLong(each.detail("epoch")) > owned.get(shard);
                }
                yield overtaken;
            }
        };
    }

    /** Does a step to one member; what is returned undoes it. */
    private Action act(Step step, ProcessMember one) throws IOException, InterruptedException {
        switch (step.deed()) {
            case KILL, FORGET -> {
                one.kill();
                return () -> {
                    one.awaitEnd();
                    if (step.deed() == TrialFile.Deed.FORGET) {
                        one.forget();
                    }
                    one.start();
                };
            }
            case LEAVE -> {
                one.terminate();
                return () -> {
                    one.awaitEnd();
                    one.start();
                };
            }
            case STOP -> {
                one.stand(true);
                return () -> one.stand(false);
            }
            case HOLD_EFFECTS -> {
                effects.get(one.name).mode(Relay.Mode.HOLD);
                return () -> effects.get(one.name).mode(Relay.Mode.PASS);
            }
            default -> {
                List<Relay> hurt = new ArrayList<>();
                for (String other : members.keySet()) {
                    if (!other.equals(one.name)) {
                        if (step.deed() != TrialFile.Deed.DEAFEN) {
                            hurt.add(links.get(one.name + other));
                        }
                        if (step.deed() != TrialFile.Deed.MUTE) {
                            hurt.add(links.get(other + one.name));
                        }
                    }
                }
                Relay.Mode mode = step.deed() == TrialFile.Deed.CUT ? Relay.Mode.CUT : Relay.Mode.SILENT;
                hurt.forEach(link -> link.mode(mode));
                return () -> hurt.forEach(link -> link.mode(Relay.Mode.PASS));
            }
        }
    }

    private List<ProcessMember> who(String word) {
        List<Event> events = history.events();
        String owner = owner(events, "once/0");
        String second = owner(events, "keyed/0");
        return switch (word) {
            case "all" -> List.copyOf(members.values());
            case "same" -> List.of(members.get(hurtLast));
            case "owner" -> List.of(members.get(owner));
            case "owner2" -> List.of(members.get(second));
            case "another" -> {
                List<ProcessMember> others = members.values().stream().filter(ProcessMember::alive)
                        .filter(each -> !each.name.equals(owner)).toList();
                yield List.of(others.get(chance.nextInt(others.size())));
            }
            default -> {
                if (!members.containsKey(word)) {
                    throw new IllegalArgumentException("no member " + word);
                }
                yield List.of(members.get(word));
            }
        };
    }

    /** The member that said last that it gained a shard; the first one before any did. */
    private String owner(List<Event> events, String shard) {
        return events.stream().filter(each -> each.what().equals("gained") && each.detail("shard").equals(shard))
                .reduce((first, last) -> last).map(Event::who).orElse(members.firstKey());
    }
}
