package ferngrade.faulttest;

import ferngrade.faulttest.History.Event;
import ferngrade.faulttest.TrialFile.Sign;
import ferngrade.faulttest.TrialFile.Step;
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
import java.util.function.BooleanSupplier;

/**
 * Plays a trial: starts the members as processes of the program, with a relay of its own in each
 * directed link between them and from each to whoever takes their jobs; does the steps; waits until
 * every job has landed again after the last; and has the judges read the history. Times only say
 * when something is done: no verdict hangs on speed.
 */
public final class TrialRun {
  /** How long, ms, anything that must come may take on a busy machine. */
  private static final double GENEROUS = 60_000;

  /** How long, ms, duties may still move to members that came last, before the first step. */
  private static final double SETTLED = 500;

  private static final String ANY = "\"127.0.0.1:0\"";
  private static final String STRANGER = "x";

  /** How long, ms, is waited at the end for what may still land late. */
  private static final double LATE = 1_500;

  private final TrialFile trial;
  private final Path folder;
  private final History history = new History();
  private final List<String> names = new ArrayList<>();
  private final TreeMap<String, ProcessMember> members = new TreeMap<>();
  private final Network network;
  private final ProcessMember stranger;
  private final JobReceiverStub taker;
  private final EndpointListStub lister;
  private final SplittableRandom chance;
  private String hurtLast;

  /** What a trial came to: the breaches, and the history that they were found in. */
  public record Result(List<Violation> breaches, History history) {}

  /** A trial of the program that {@code program} starts; its files go into {@code folder}. */
  public TrialRun(TrialFile trial, long seed, Mutant mutant, List<String> program, Path folder)
      throws IOException, InterruptedException {
    this.trial = trial;
    this.folder = folder;
    this.chance = new SplittableRandom(seed);
    this.taker = new JobReceiverStub(history, mutant != Mutant.NO_EPOCH_CHECK);
    this.lister = new EndpointListStub(history);
    for (int i = 0; i < trial.members(); i++) {
      names.add(String.valueOf((char) ('a' + i)));
    }
    this.hurtLast = names.get(0);
    this.network = new Network(names, taker.address(), history, chance);
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("key"), "a key that is known to this trial alone\n");
    List<String> start = new ArrayList<>(program);
    if (trial.steps().stream().anyMatch(Step::hurtsInside)) {
      start.set(start.size() - 1, FaultInjectingMember.class.getName());
    }
    for (String name : names) {
      Path file = folder.resolve(name + ".toml");
      Files.writeString(file, file(name));
      members.put(
          name,
          new ProcessMember(
              name,
              start,
              file,
              folder.resolve(name),
              history,
              (address, datagrams) -> network.listens(name, address, datagrams)));
    }
    Path file = folder.resolve(STRANGER + ".toml");
    Files.writeString(file, strangersFile());
    this.stranger =
        new ProcessMember(
            STRANGER, program, file, folder.resolve(STRANGER), history, (address, datagrams) -> {});
  }

  private static String text(InetSocketAddress address) {
    return "\"" + address.getHostString() + ":" + address.getPort() + "\"";
  }

  /** The fleet's file as one member has it: it reaches the others through its own relays. */
  private String file(String name) {
    StringBuilder toml = new StringBuilder();
    toml.append("name = \"trial\"\nkey-file = \"key\"\nhold = \"")
        .append((long) trial.hold())
        .append("ms\"\n");
    toml.append("targets = [").append(text(network.effects(name).address())).append("]\n");
    if (trial.list()) {
      toml.append("discovery = ").append(text(lister.address())).append('\n');
    }
    for (String other : names) {
      boolean own = other.equals(name);
      member(
          toml,
          other,
          own ? ANY : text(network.link(name, other)),
          own ? ANY : text(network.datagrams(name, other)));
      if (own && trial.list()) {
        toml.append("list = ").append(ANY).append('\n');
      }
    }
    for (String job : List.of("once", "keyed")) {
      toml.append("[[recurring]]\nname = \"")
          .append(job)
          .append("\"\nevery = \"")
          .append((long) trial.every())
          .append("ms\"\nclass = \"c\"\ntenant = \"t\"\ndeadline = \"20s\"\neffect = \"")
          .append(job.equals("once") ? "unsafe" : "keyed")
          .append("\"\n");
    }
    return toml.toString();
  }

  private static void member(StringBuilder toml, String name, String address, String gossip) {
    toml.append("[[member]]\nname = \"")
        .append(name)
        .append("\"\naddress = ")
        .append(address)
        .append("\ngossip = ")
        .append(gossip)
        .append('\n');
  }

  /** The file of a member of another fleet, which takes this one's members for its own. */
  private String strangersFile() {
    StringBuilder toml = new StringBuilder("name = \"other\"\nkey-file = \"key\"\n");
    member(toml, STRANGER, ANY, ANY);
    String first = names.get(0);
    for (String other : names.subList(1, names.size())) {
      member(toml, other, text(network.link(first, other)), text(network.datagrams(first, other)));
      toml.append("part = \"learner\"\n");
    }
    return toml.toString();
  }

  /** Plays it to its end. */
  public Result run() throws IOException, InterruptedException {
    List<Violation> breaches = new ArrayList<>();
    try {
      for (ProcessMember member : members.values()) {
        member.start();
      }
      if (trial.stranger()) {
        stranger.start();
      }
      double played = Double.POSITIVE_INFINITY;
      if (!awaitSessions() || !awaitLanded(history.now())) {
        breaches.add(new Violation(history.now(), "owned", "a job has not landed since the start"));
      } else {
        pass(SETTLED);
        played = history.now();
        if (!play()) {
          breaches.add(
              new Violation(
                  history.now(), "played", "a step waited in vain for what it comes after"));
        }
        if (!awaitLanded(history.now())) {
          breaches.add(
              new Violation(history.now(), "owned", "a job has not landed since the last fault"));
        }
        if (trial.list()) {
          breaches.addAll(judgeList());
        }
        pass(LATE);
      }
      breaches.addAll(HistoryChecker.said(history.events(), played, trial.says(), trial.never()));
      if (trial.keeps()) {
        breaches.addAll(HistoryChecker.kept(history.events(), played));
      }
    } finally {
      if (trial.stranger()) {
        stranger.kill();
      }
      for (ProcessMember member : members.values()) {
        member.stand(false);
        member.kill();
        member.awaitEnd();
      }
      taker.close();
      lister.close();
      network.close();
      history.write(folder.resolve("history.jsonl"));
    }
    breaches.addAll(HistoryChecker.judge(history.events()));
    return new Result(breaches, history);
  }

  /** Waits until each job has landed after this time. */
  private boolean awaitLanded(double since) throws InterruptedException {
    double until = history.now() + GENEROUS;
    while (history.now() < until) {
      long jobs =
          history.events().stream()
              .filter(each -> each.at() > since && each.what().equals("landed"))
              .map(each -> each.detail("shard"))
              .distinct()
              .count();
      if (jobs == 2) {
        return true;
      }
      history.await(200);
    }
    return false;
  }

  /** All that are up must come to have the list as it is, and one of them alone to ask for it. */
  private List<Violation> judgeList() throws InterruptedException {
    long revision = lister.revision();
    double until = history.now() + GENEROUS;
    String seen = "";
    while (history.now() < until) {
      List<String> behind =
          members.values().stream()
              .filter(ProcessMember::alive)
              .filter(each -> each.listed() < revision)
              .map(each -> each.name)
              .toList();
      if (behind.isEmpty() && lister.open() == 1) {
        return List.of();
      }
      seen = "behind " + behind + ", " + lister.open() + " ask";
      history.await(100);
    }
    return List.of(new Violation(history.now(), "asked once", seen));
  }

  /** Waits until a majority has confirmed each member. */
  private boolean awaitSessions() throws InterruptedException {
    double until = history.now() + GENEROUS;
    while (history.now() < until) {
      if (history.events().stream()
              .filter(each -> each.what().equals("session"))
              .map(Event::who)
              .distinct()
              .count()
          == members.size()) {
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
  private record Due(double at, BooleanSupplier when, Action action) {}

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
      agenda.add(
          new Due(
              start + step.at(),
              () -> {
                whose[0] =
                    whose[0] != null || step.when() == Sign.NONE
                        ? whose[0]
                        : who(step.who()).get(0).name;
                return seen(step.when(), whose[0], start);
              },
              () -> begin(step, agenda)));
    }
    while (!agenda.isEmpty()) {
      double now = history.now();
      Due next =
          agenda.stream()
              .filter(each -> each.at() <= now && each.when().getAsBoolean())
              .min(Comparator.comparingDouble(Due::at))
              .orElse(null);
      if (next != null) {
        agenda.remove(next);
        next.action().run();
      } else if (agenda.stream().allMatch(each -> each.at() + GENEROUS < now)) {
        return false;
      } else {
        double wait =
            agenda.stream().mapToDouble(Due::at).filter(at -> at > now).min().orElse(now + 200)
                - now;
        history.await(Math.min(200, wait));
      }
    }
    return true;
  }

  private void begin(Step step, List<Due> agenda) throws IOException, InterruptedException {
    for (ProcessMember one : who(step.who())) {
      history.add(
          "harness",
          step.deed().name().toLowerCase(Locale.ROOT).replace('_', '-'),
          Map.of("member", one.name));
      hurtLast = one.name;
      double since = history.now();
      Action undo = act(step, one);
      if (step.ends()) {
        agenda.add(
            new Due(
                since,
                () -> seen(step.until(), one.name, since),
                () ->
                    agenda.add(
                        new Due(
                            history.now() + step.length(),
                            () -> true,
                            () -> {
                              history.add(
                                  "harness",
                                  "end",
                                  Map.of("member", one.name, "deed", step.deed().name()));
                              undo.run();
                            }))));
      }
    }
  }

  /** Whether what a step waits for has been seen of this member since then. */
  private boolean seen(Sign sign, String member, double since) {
    return switch (sign) {
      case NONE -> true;
      case HELD ->
          history.events().stream()
              .anyMatch(
                  each ->
                      each.at() >= since
                          && each.what().equals("held")
                          && each.who().equals(member));
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
          overtaken |=
              each.what().equals("landed")
                  && each.at() > since
                  && owned.containsKey(shard)
                  && Long.parseLong(each.detail("epoch")) > owned.get(shard);
        }
        yield overtaken;
      }
    };
  }

  /** Does a step to one member; what is returned undoes it. */
  private Action act(Step step, ProcessMember one) throws IOException, InterruptedException {
    switch (step.deed()) {
      case KILL, FORGET, REJOIN, FLIP -> {
        one.kill();
        return () -> {
          one.awaitEnd();
          if (step.deed() == TrialFile.Deed.FLIP) {
            one.flip();
          } else if (step.deed() != TrialFile.Deed.KILL) {
            one.forget();
          }
          one.start(step.deed() == TrialFile.Deed.REJOIN ? "--rejoin" : "");
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
        network.effects(one.name).mode(Relay.Mode.HOLD);
        return () -> network.effects(one.name).mode(Relay.Mode.PASS);
      }
      case FILL -> {
        one.order("fill");
        return () -> one.order("mend");
      }
      case SLOW -> {
        one.order("slow " + (long) step.by());
        return () -> one.order("slow 0");
      }
      case JUMP -> {
        one.order("jump " + (long) step.by());
        return () -> one.order("jump " + (long) -step.by());
      }
      case RATE -> {
        one.order("rate " + step.by());
        return () -> one.order("rate 1");
      }
      case SCRAMBLE -> {
        return network.scramble(one.name)::run;
      }
      case FORGE -> {
        network.forge(one.name, chance);
        return () -> {};
      }
      default -> {
        return network.cut(
                one.name,
                step.deed() != TrialFile.Deed.DEAFEN,
                step.deed() != TrialFile.Deed.MUTE,
                step.deed() == TrialFile.Deed.CUT ? Relay.Mode.CUT : Relay.Mode.SILENT)
            ::run;
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
      case "list-owner" -> List.of(members.get(owner(events, "list/0")));
      case "another" -> {
        List<ProcessMember> others =
            members.values().stream()
                .filter(ProcessMember::alive)
                .filter(each -> !each.name.equals(owner))
                .toList();
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
    return events.stream()
        .filter(each -> each.what().equals("gained") && each.detail("shard").equals(shard))
        .reduce((first, last) -> last)
        .map(Event::who)
        .orElse(members.firstKey());
  }
}
