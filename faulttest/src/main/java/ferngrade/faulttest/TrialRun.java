package ferngrade.faulttest;

import ferngrade.faulttest.History.Event;
import ferngrade.faulttest.TrialFile.Condition;
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
 * Runs a trial. Starts each member as a process of the program, with a separate relay in each
 * directed link between members and from each member to the job receiver; executes the steps; waits
 * until each job has been executed after the last step; and checks the history. Times only
 * determine when a step is executed: no check depends on speed.
 */
public final class TrialRun {
  /** The time within which any expected event must occur even on a busy machine, in ms. */
  private static final double EVENT_TIMEOUT_MILLIS = 60_000;

  /**
   * The time in ms for which the run waits before the first step. During this time, shards may
   * still be transferred to the members that joined last.
   */
  private static final double SETTLE_TIME_MILLIS = 500;

  private static final String ANY_PORT = "\"127.0.0.1:0\"";
  private static final String FOREIGN_NAME = "x";

  /** The time for which effects that arrive late are still recorded after the last check, in ms. */
  private static final double LATE_EFFECT_WAIT_MILLIS = 1_500;

  private final TrialFile trial;
  private final Path folder;
  private final History history = new History();
  private final List<String> names = new ArrayList<>();
  private final TreeMap<String, ProcessMember> members = new TreeMap<>();
  private final Network network;
  private final ProcessMember foreignMember;
  private final JobReceiverStub jobReceiver;
  private final DiscoveryServiceStub endpointListServer;
  private final SplittableRandom random;
  private String lastAffected;

  /** The violations found in a trial, and the history that they were found in. */
  public record Result(List<Violation> violations, History history) {}

  /**
   * Creates a trial of the program that {@code program} starts; its files are written to {@code
   * folder}.
   */
  public TrialRun(TrialFile trial, long seed, Mutant mutant, List<String> program, Path folder)
      throws IOException, InterruptedException {
    this.trial = trial;
    this.folder = folder;
    this.random = new SplittableRandom(seed);
    this.jobReceiver = new JobReceiverStub(history, mutant != Mutant.NO_EPOCH_CHECK);
    this.endpointListServer = new DiscoveryServiceStub(history);
    for (int i = 0; i < trial.members(); i++) {
      names.add(String.valueOf((char) ('a' + i)));
    }
    this.lastAffected = names.get(0);
    this.network = new Network(names, jobReceiver.address(), history, random);
    Files.createDirectories(folder);
    Files.writeString(folder.resolve("key"), "a key that is known to this trial alone\n");
    List<String> command = new ArrayList<>(program);
    if (trial.steps().stream().anyMatch(Step::needsFaultInjection)) {
      command.set(command.size() - 1, FaultInjectingMember.class.getName());
    }
    for (String name : names) {
      Path file = folder.resolve(name + ".toml");
      Files.writeString(file, memberFleetFile(name));
      members.put(
          name,
          new ProcessMember(
              name,
              command,
              file,
              folder.resolve(name),
              history,
              (address, datagrams) -> network.setAddress(name, address, datagrams)));
    }
    Path file = folder.resolve(FOREIGN_NAME + ".toml");
    Files.writeString(file, foreignFleetFile());
    this.foreignMember =
        new ProcessMember(
            FOREIGN_NAME,
            program,
            file,
            folder.resolve(FOREIGN_NAME),
            history,
            (address, datagrams) -> {});
  }

  private static String quotedAddress(InetSocketAddress address) {
    return "\"" + address.getHostString() + ":" + address.getPort() + "\"";
  }

  /**
   * Returns the fleet file of one member. The file lists the addresses of the relays through which
   * this member connects to the other members.
   */
  private String memberFleetFile(String name) {
    StringBuilder toml = new StringBuilder();
    toml.append("name = \"trial\"\nkey-file = \"key\"\nhold = \"")
        .append((long) trial.leaseDuration())
        .append("ms\"\n");
    toml.append("targets = [").append(quotedAddress(network.effects(name).address())).append("]\n");
    if (trial.sharesEndpointList()) {
      toml.append("discovery = ").append(quotedAddress(endpointListServer.address())).append('\n');
    }
    for (String other : names) {
      boolean own = other.equals(name);
      appendMember(
          toml,
          other,
          own ? ANY_PORT : quotedAddress(network.link(name, other)),
          own ? ANY_PORT : quotedAddress(network.datagrams(name, other)));
      if (own && trial.sharesEndpointList()) {
        toml.append("list = ").append(ANY_PORT).append('\n');
      }
    }
    for (String job : List.of("once", "keyed")) {
      toml.append("[[recurring]]\nname = \"")
          .append(job)
          .append("\"\nevery = \"")
          .append((long) trial.recurrencePeriod())
          .append("ms\"\nclass = \"c\"\ntenant = \"t\"\ndeadline = \"20s\"\neffect = \"")
          .append(job.equals("once") ? "unsafe" : "keyed")
          .append("\"\n");
    }
    return toml.toString();
  }

  private static void appendMember(StringBuilder toml, String name, String address, String gossip) {
    toml.append("[[member]]\nname = \"")
        .append(name)
        .append("\"\naddress = ")
        .append(address)
        .append("\ngossip = ")
        .append(gossip)
        .append('\n');
  }

  /**
   * Returns the fleet file of a member of another fleet. The file lists members of the tested fleet
   * as if they belonged to the other fleet.
   */
  private String foreignFleetFile() {
    StringBuilder toml = new StringBuilder("name = \"other\"\nkey-file = \"key\"\n");
    appendMember(toml, FOREIGN_NAME, ANY_PORT, ANY_PORT);
    String first = names.get(0);
    for (String other : names.subList(1, names.size())) {
      appendMember(
          toml,
          other,
          quotedAddress(network.link(first, other)),
          quotedAddress(network.datagrams(first, other)));
      toml.append("part = \"learner\"\n");
    }
    return toml.toString();
  }

  /** Runs the trial to its end. */
  public Result run() throws IOException, InterruptedException {
    List<Violation> violations = new ArrayList<>();
    try {
      for (ProcessMember member : members.values()) {
        member.start();
      }
      if (trial.foreignMember()) {
        foreignMember.start();
      }
      double stepsBegan = Double.POSITIVE_INFINITY;
      if (!awaitSessions() || !awaitExecuted(history.now())) {
        violations.add(
            new Violation(history.now(), "owned", "a job has not been executed since the start"));
      } else {
        sleep(SETTLE_TIME_MILLIS);
        stepsBegan = history.now();
        if (!executeSteps()) {
          violations.add(
              new Violation(
                  history.now(), "played", "the condition of a step did not occur in time"));
        }
        if (!awaitExecuted(history.now())) {
          violations.add(
              new Violation(
                  history.now(), "owned", "a job has not been executed since the last fault"));
        }
        if (trial.sharesEndpointList()) {
          violations.addAll(checkEndpointList());
        }
        sleep(LATE_EFFECT_WAIT_MILLIS);
      }
      violations.addAll(
          HistoryChecker.checkLogLines(
              history.events(), stepsBegan, trial.requiredLogTexts(), trial.forbiddenLogTexts()));
      if (trial.keepsShards()) {
        violations.addAll(HistoryChecker.checkNoShardLost(history.events(), stepsBegan));
      }
    } finally {
      if (trial.foreignMember()) {
        foreignMember.kill();
      }
      for (ProcessMember member : members.values()) {
        member.setSuspended(false);
        member.kill();
        member.awaitEnd();
      }
      jobReceiver.close();
      endpointListServer.close();
      network.close();
      history.write(folder.resolve("history.jsonl"));
    }
    violations.addAll(HistoryChecker.checkSafety(history.events()));
    return new Result(violations, history);
  }

  /**
   * Waits until each job has been accepted by the receiver after {@code since}; false on a timeout.
   */
  private boolean awaitExecuted(double since) throws InterruptedException {
    double until = history.now() + EVENT_TIMEOUT_MILLIS;
    while (history.now() < until) {
      long jobs =
          history.events().stream()
              .filter(event -> event.at() > since && event.what().equals("landed"))
              .map(event -> event.detail("shard"))
              .distinct()
              .count();
      if (jobs == 2) {
        return true;
      }
      history.await(200);
    }
    return false;
  }

  /**
   * Checks that every running member reaches the current revision of the endpoint list, and that
   * exactly one member watches the discovery service.
   */
  private List<Violation> checkEndpointList() throws InterruptedException {
    long revision = endpointListServer.revision();
    double until = history.now() + EVENT_TIMEOUT_MILLIS;
    String lastObserved = "";
    while (history.now() < until) {
      List<String> behind =
          members.values().stream()
              .filter(ProcessMember::alive)
              .filter(member -> member.endpointListRevision() < revision)
              .map(member -> member.name)
              .toList();
      if (behind.isEmpty() && endpointListServer.open() == 1) {
        return List.of();
      }
      lastObserved =
          "members with an old list: "
              + behind
              + "; "
              + endpointListServer.open()
              + " open watches";
      history.await(100);
    }
    return List.of(new Violation(history.now(), "asked once", lastObserved));
  }

  /** Waits until a majority has confirmed the session of each member; false on a timeout. */
  private boolean awaitSessions() throws InterruptedException {
    double until = history.now() + EVENT_TIMEOUT_MILLIS;
    while (history.now() < until) {
      if (history.events().stream()
              .filter(event -> event.what().equals("session"))
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

  private void sleep(double millis) throws InterruptedException {
    double until = history.now() + millis;
    while (history.now() < until) {
      history.await(until - history.now());
    }
  }

  // ---- Steps ----

  /** An action to run {@code at} ms or later, once {@code when} is true. */
  private record ScheduledAction(double at, BooleanSupplier when, FaultAction action) {}

  /** An action that executes a step or undoes it. */
  @FunctionalInterface
  private interface FaultAction {
    void run() throws IOException, InterruptedException;
  }

  /** Executes all steps; false if the condition of a step did not occur in time. */
  private boolean executeSteps() throws IOException, InterruptedException {
    double start = history.now();
    List<ScheduledAction> scheduled = new ArrayList<>();
    for (Step step : trial.steps()) {
      // The step waits for a condition of one member. This member is selected at the first check
      // after the step's time.
      String[] awaitedMember = new String[1];
      scheduled.add(
          new ScheduledAction(
              start + step.at(),
              () -> {
                awaitedMember[0] =
                    awaitedMember[0] != null || step.when() == Condition.NONE
                        ? awaitedMember[0]
                        : selectMembers(step.who()).get(0).name;
                return hasOccurred(step.when(), awaitedMember[0], start);
              },
              () -> startStep(step, scheduled)));
    }
    while (!scheduled.isEmpty()) {
      double now = history.now();
      ScheduledAction next =
          scheduled.stream()
              .filter(task -> task.at() <= now && task.when().getAsBoolean())
              .min(Comparator.comparingDouble(ScheduledAction::at))
              .orElse(null);
      if (next != null) {
        scheduled.remove(next);
        next.action().run();
      } else if (scheduled.stream().allMatch(task -> task.at() + EVENT_TIMEOUT_MILLIS < now)) {
        return false;
      } else {
        double wait =
            scheduled.stream()
                    .mapToDouble(ScheduledAction::at)
                    .filter(at -> at > now)
                    .min()
                    .orElse(now + 200)
                - now;
        history.await(Math.min(200, wait));
      }
    }
    return true;
  }

  private void startStep(Step step, List<ScheduledAction> scheduled)
      throws IOException, InterruptedException {
    for (ProcessMember member : selectMembers(step.who())) {
      history.add(
          "harness",
          step.action().name().toLowerCase(Locale.ROOT).replace('_', '-'),
          Map.of("member", member.name));
      lastAffected = member.name;
      double since = history.now();
      FaultAction undo = execute(step, member);
      if (step.ends()) {
        scheduled.add(
            new ScheduledAction(
                since,
                () -> hasOccurred(step.until(), member.name, since),
                () ->
                    scheduled.add(
                        new ScheduledAction(
                            history.now() + step.length(),
                            () -> true,
                            () -> {
                              history.add(
                                  "harness",
                                  "end",
                                  Map.of("member", member.name, "deed", step.action().name()));
                              undo.run();
                            }))));
      }
    }
  }

  /** Returns whether the condition has occurred for this member since {@code since}. */
  private boolean hasOccurred(Condition condition, String member, double since) {
    return switch (condition) {
      case NONE -> true;
      case HELD ->
          history.events().stream()
              .anyMatch(
                  event ->
                      event.at() >= since
                          && event.what().equals("held")
                          && event.who().equals(member));
      case OVERTAKEN -> {
        Map<String, Long> owned = new HashMap<>();
        boolean overtaken = false;
        for (Event event : history.events()) {
          String shard = event.detail("shard");
          if (event.what().equals("gained") && event.at() < since) {
            owned.remove(shard);
            if (event.who().equals(member)) {
              owned.put(shard, Long.parseLong(event.detail("epoch")));
            }
          }
          overtaken |=
              event.what().equals("landed")
                  && event.at() > since
                  && owned.containsKey(shard)
                  && Long.parseLong(event.detail("epoch")) > owned.get(shard);
        }
        yield overtaken;
      }
    };
  }

  /** Executes a step on one member; the returned action undoes it. */
  private FaultAction execute(Step step, ProcessMember member)
      throws IOException, InterruptedException {
    switch (step.action()) {
      case KILL, FORGET, REJOIN, FLIP -> {
        member.kill();
        return () -> {
          member.awaitEnd();
          if (step.action() == TrialFile.StepAction.FLIP) {
            member.flipLogBit();
          } else if (step.action() != TrialFile.StepAction.KILL) {
            member.deleteData();
          }
          member.start(step.action() == TrialFile.StepAction.REJOIN ? "--rejoin" : "");
        };
      }
      case LEAVE -> {
        member.terminate();
        return () -> {
          member.awaitEnd();
          member.start();
        };
      }
      case STOP -> {
        member.setSuspended(true);
        return () -> member.setSuspended(false);
      }
      case HOLD_EFFECTS -> {
        network.effects(member.name).setMode(Relay.Mode.HOLD);
        return () -> network.effects(member.name).setMode(Relay.Mode.PASS);
      }
      case FILL -> {
        member.sendCommand("fill");
        return () -> member.sendCommand("mend");
      }
      case SLOW -> {
        member.sendCommand("slow " + (long) step.by());
        return () -> member.sendCommand("slow 0");
      }
      case JUMP -> {
        member.sendCommand("jump " + (long) step.by());
        return () -> member.sendCommand("jump " + (long) -step.by());
      }
      case RATE -> {
        member.sendCommand("rate " + step.by());
        return () -> member.sendCommand("rate 1");
      }
      case SCRAMBLE -> {
        return network.scramble(member.name)::run;
      }
      case FORGE -> {
        network.forge(member.name, random);
        return () -> {};
      }
      default -> {
        return network.cut(
                member.name,
                step.action() != TrialFile.StepAction.DEAFEN,
                step.action() != TrialFile.StepAction.MUTE,
                step.action() == TrialFile.StepAction.CUT ? Relay.Mode.CUT : Relay.Mode.SILENT)
            ::run;
      }
    }
  }

  private List<ProcessMember> selectMembers(String selector) {
    List<Event> events = history.events();
    String owner = owner(events, "once/0");
    String second = owner(events, "keyed/0");
    return switch (selector) {
      case "all" -> List.copyOf(members.values());
      case "same" -> List.of(members.get(lastAffected));
      case "owner" -> List.of(members.get(owner));
      case "owner2" -> List.of(members.get(second));
      case "list-owner" -> List.of(members.get(owner(events, "list/0")));
      case "another" -> {
        List<ProcessMember> others =
            members.values().stream()
                .filter(ProcessMember::alive)
                .filter(member -> !member.name.equals(owner))
                .toList();
        yield List.of(others.get(random.nextInt(others.size())));
      }
      default -> {
        if (!members.containsKey(selector)) {
          throw new IllegalArgumentException("unknown member " + selector);
        }
        yield List.of(members.get(selector));
      }
    };
  }

  /**
   * Returns the member that most recently logged that it gained the shard, or the first member if
   * no member has logged this yet.
   */
  private String owner(List<Event> events, String shard) {
    return events.stream()
        .filter(event -> event.what().equals("gained") && event.detail("shard").equals(shard))
        .reduce((first, last) -> last)
        .map(Event::who)
        .orElse(members.firstKey());
  }
}
