package ferngrade.faulttest;

import ferngrade.emulator.VirtualTime;
import ferngrade.jobstore.CorruptLogException;
import ferngrade.jobstore.FaultInjectingStorage;
import ferngrade.lease.FencingGuard;
import ferngrade.lease.RecurringSchedule;
import ferngrade.lease.Shard;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Members in virtual time with faults drawn from a seed: crashes that lose unsynced data, pauses,
 * cuts in one direction or both, loss, late and duplicated messages, clocks that drift and jump,
 * full and lost disks, and members that leave. Invariants are checked while a run proceeds; at the
 * end all faults are over, and every shard must have an owner.
 */
public final class VirtualFleet {
  private static final double RECOVERY_MILLIS = 12_000;
  private static final double RESTART_RETRY_MILLIS = 300;
  private static final double FIRST_FAULT_MILLIS = 4_000;
  private static final double LAST_FAULT_MILLIS = 22_000;

  final VirtualTime time = new VirtualTime(0);
  final Mutant mutant;
  final double leaseDuration = 1500;
  final double heartbeat = 100;
  final double maxClockDrift = 0.02;
  final List<String> names = new ArrayList<>();
  final List<RecurringSchedule> jobs =
      List.of(
          new RecurringSchedule("sweep", 100, true, false),
          new RecurringSchedule("roll", 100, true, true),
          new RecurringSchedule("skip", 300, false, false));
  final List<Shard> shards = jobs.stream().map(RecurringSchedule::shard).toList();
  private final SplittableRandom random;
  private final Map<String, VirtualMember> members = new HashMap<>();
  private final Map<String, FaultInjectingStorage> disks = new HashMap<>();
  private final Map<String, Double> clockRates = new HashMap<>();
  private final Map<String, Long> clockJumps = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private final Set<String> lostDisks = new HashSet<>();
  private final Set<String> drained = new HashSet<>();
  private final Map<Integer, String> leaders = new HashMap<>();
  private final Map<Long, String> log = new HashMap<>();
  private final FencingGuard fencingGuard = new FencingGuard();
  private final Map<String, Long> executedEpochs = new TreeMap<>();
  private final Map<String, Double> lastExecutedAt = new HashMap<>();
  private final Set<String> effects = new HashSet<>();
  private final List<Violation> violations = new ArrayList<>();
  private double loss;
  private double meanDelayMillis;
  private long processes;
  private long rejected;

  /**
   * The violations of a run, and the number of effects executed, of effects rejected, and of events
   * in virtual time.
   */
  public record Result(List<Violation> violations, long effects, long rejected, long events) {}

  private VirtualFleet(int size, long seed, Mutant mutant) {
    this.mutant = mutant;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      String name = String.valueOf((char) ('a' + i));
      names.add(name);
      disks.put(name, new FaultInjectingStorage(random.nextLong(), 0));
      clockRates.put(name, 1 + maxClockDrift * (2 * random.nextDouble() - 1));
    }
  }

  /** Runs one fleet of {@code size} members. */
  public static Result run(int size, long seed, Mutant mutant) {
    VirtualFleet fleet = new VirtualFleet(size, seed, mutant);
    fleet.run();
    return new Result(
        fleet.violations, fleet.effects.size(), fleet.rejected, fleet.time.eventCount());
  }

  /**
   * Runs without faults, with message delays between 0.5 and 1.5 times {@code millis}, as on an
   * overloaded machine. Checks that the job of each shard is executed.
   */
  public static Result runWithDelays(int size, long seed, double millis) {
    VirtualFleet fleet = new VirtualFleet(size, seed, Mutant.NONE);
    fleet.meanDelayMillis = millis;
    fleet.names.forEach(fleet::start);
    fleet.time.run(RECOVERY_MILLIS);
    // At this delay, all runs of a job that skips missed due times are late, so this job is never
    // executed.
    fleet.checkOwned(
        fleet.jobs.stream()
            .filter(RecurringSchedule::runMissed)
            .map(RecurringSchedule::shard)
            .toList());
    return new Result(
        fleet.violations, fleet.effects.size(), fleet.rejected, fleet.time.eventCount());
  }

  private void run() {
    names.forEach(this::start);
    int faults = 3 + random.nextInt(6);
    for (int i = 0; i < faults; i++) {
      time.after(
          FIRST_FAULT_MILLIS + random.nextDouble() * (LAST_FAULT_MILLIS - FIRST_FAULT_MILLIS),
          this::injectFault);
    }
    time.after(50, this::checkLeaders);
    time.run(LAST_FAULT_MILLIS + 6_000);
    cuts.clear();
    clockJumps.clear();
    loss = 0;
    for (String name : names) {
      VirtualMember member = members.get(name);
      member.setPaused(false);
      disks.get(name).clearFaults();
      if (!member.alive() || drained.contains(name)) {
        member.kill();
        start(name);
      }
    }
    time.run(time.now() + RECOVERY_MILLIS);
    checkOwned(shards);
    for (VirtualMember member : members.values()) {
      if (member.alive() && !member.isAdmitted() && mutant != Mutant.FORGOTTEN_VOTES) {
        addViolation("taken in", member.name + " has lost its disk and was not admitted again");
      }
    }
  }

  private void checkOwned(List<Shard> checked) {
    long running = members.values().stream().filter(VirtualMember::alive).count();
    for (Shard shard : checked) {
      long owners =
          members.values().stream().filter(member -> member.epoch(shard).isPresent()).count();
      if (2 * running > names.size()
          && lastExecutedAt.getOrDefault(shard.toString(), 0.0)
              < time.now() - RECOVERY_MILLIS / 2) {
        addViolation(
            "acted for", shard + " was last executed at " + lastExecutedAt.get(shard.toString()));
      }
      if (2 * running > names.size() && owners != 1) {
        addViolation(
            "owned",
            shard + " has " + owners + " owners " + RECOVERY_MILLIS + " ms after the last fault");
      }
    }
  }

  // ---- Processes ----

  private void start(String name) {
    if (members.containsKey(name) && members.get(name).alive()) {
      // The process that is still running holds the lock of the data folder.
      return;
    }
    FaultInjectingStorage disk = disks.get(name);
    disk.restorePower();
    try {
      members.put(
          name,
          new VirtualMember(
              this,
              name,
              disk,
              clockRates.get(name),
              ++processes * 7919 + 13,
              lostDisks.contains(name) && mutant != Mutant.FORGOTTEN_VOTES));
    } catch (CorruptLogException damaged) {
      addViolation("disk", name + " cannot read data that it synced: " + damaged.getMessage());
    } catch (IOException full) {
      time.after(RESTART_RETRY_MILLIS, () -> start(name));
    }
  }

  private void crash(String name, double downtime) {
    members.get(name).kill();
    time.after(
        downtime,
        () -> {
          if (!members.get(name).alive()) {
            start(name);
          }
        });
  }

  private void injectFault() {
    String name = names.get(random.nextInt(names.size()));
    String other = names.get(random.nextInt(names.size()));
    double length = 200 + random.nextDouble() * 4_000;
    switch (random.nextInt(12)) {
      case 0, 1 -> crash(name, random.nextDouble() * 3_000);
      case 2, 3 -> {
        VirtualMember member = members.get(name);
        member.setPaused(true);
        time.after(length, () -> member.setPaused(false));
      }
      case 4 -> cut(List.of(name + other), length);
      case 5 -> cut(List.of(name + other, other + name), length);
      case 6 -> {
        List<String> all = new ArrayList<>();
        names.forEach(peer -> all.addAll(List.of(name + peer, peer + name)));
        cut(all, length);
      }
      case 7 -> {
        loss = 0.3;
        time.after(length, () -> loss = 0);
      }
      case 9 -> {
        // The leader crashes and restarts. It is then cut off from all voters except one, and this
        // voter crashes repeatedly. Both sides may request this voter's vote for the same term.
        String leader =
            members.values().stream()
                .map(member -> member.view().leader())
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(name);
        List<String> others = new ArrayList<>(names);
        others.remove(leader);
        String reachableVoter = others.remove(random.nextInt(others.size()));
        crash(leader, 300 + random.nextDouble() * 700);
        others.forEach(voter -> cut(List.of(voter + leader, leader + voter), 4_000));
        for (int i = 1; i <= 15; i++) {
          time.after(
              400 + i * (40 + random.nextDouble() * 60),
              () -> crash(reachableVoter, 5 + random.nextDouble() * 20));
        }
      }
      case 10 -> {
        // One member is cut off, so that its log falls behind, and then loses its disk. After that,
        // a randomly chosen member restarts.
        cut(List.of(other + name, name + other), length);
        time.after(length / 3, () -> loseDisk(name, 100));
        String third = names.get(random.nextInt(names.size()));
        time.after(length / 2, () -> crash(third, 800 + random.nextDouble() * 1_000));
      }
      // Only one member's clock jumps, and only while no member has drained, so that the clocks of
      // the other members still determine the median.
      case 8 ->
          clockJumps.merge(
              drained.isEmpty() ? names.get(0) : "none",
              random.nextBoolean() ? 3_600_000L : -3_600_000L,
              Long::sum);
      default -> injectRareFault(name, length);
    }
  }

  private void injectRareFault(String name, double length) {
    switch (random.nextInt(3)) {
      case 0 -> {
        failDisk(disks.get(name), (long) length % 2 == 0);
        time.after(length, () -> disks.get(name).clearFaults());
      }
      case 1 -> loseDisk(name, length);
      default -> {
        if (clockJumps.isEmpty()) {
          drained.add(name);
          members.get(name).drain();
        }
      }
    }
  }

  /** Makes a disk full, or makes its syncs and renames fail; {@code full} selects the fault. */
  private static void failDisk(FaultInjectingStorage disk, boolean full) {
    if (full) {
      disk.setFull(true);
      return;
    }
    for (FaultInjectingStorage.Operation operation :
        List.of(
            FaultInjectingStorage.Operation.SYNC,
            FaultInjectingStorage.Operation.RENAME,
            FaultInjectingStorage.Operation.SYNC_NAMES)) {
      disk.fail(operation, FaultInjectingStorage.Errno.EIO, 0, Long.MAX_VALUE);
    }
  }

  /**
   * Loses a member's disk. At most one disk is lost in a run, because the disks of a majority must
   * survive.
   */
  private void loseDisk(String name, double downtime) {
    if (lostDisks.isEmpty()) {
      lostDisks.add(name);
      members.get(name).kill();
      disks.put(name, new FaultInjectingStorage(random.nextLong(), 0));
      time.after(downtime, () -> start(name));
    }
  }

  private void cut(List<String> links, double length) {
    cuts.addAll(links);
    time.after(length, () -> links.forEach(cuts::remove));
  }

  // ---- Environment of a member ----

  /** Returns a member's wall clock, in Unix ms. */
  long wallClock(String name) {
    return 1_700_000_000_000L
        + (long) (time.now() * clockRates.get(name))
        + clockJumps.getOrDefault(name, 0L);
  }

  void send(String from, String to, byte[] message) {
    if (cuts.contains(from + to) || random.nextDouble() < loss) {
      return;
    }
    int copies = random.nextInt(200) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      double delay =
          meanDelayMillis > 0
              ? meanDelayMillis * (0.5 + random.nextDouble())
              : 0.2 + random.nextDouble() * 3;
      delay += random.nextInt(25) == 0 ? random.nextDouble() * 250 : 0;
      delay += random.nextInt(2_000) == 0 ? random.nextDouble() * 8_000 : 0;
      time.after(delay, () -> members.get(to).receive(from, message));
    }
  }

  /**
   * Delivers an effect to the job receiver after a delay. The receiver checks the epoch. If a job
   * that may be submitted more than once arrives again, the receiver drops the repeat.
   */
  void effect(String from, RecurringSchedule job, long epoch, long due, Consumer<String> result) {
    double delay =
        0.5 + random.nextDouble() * 5 + (random.nextInt(20) == 0 ? random.nextDouble() * 4_000 : 0);
    Shard shard = job.shard();
    time.after(
        delay,
        () -> {
          boolean admitted =
              fencingGuard.admits(shard.toString(), epoch) || mutant == Mutant.NO_EPOCH_CHECK;
          if (admitted) {
            lastExecutedAt.put(shard.toString(), time.now());
            long previous = executedEpochs.merge(shard.toString(), epoch, Math::max);
            if (previous > epoch) {
              addViolation(
                  "fenced",
                  "an effect of "
                      + from
                      + " on "
                      + shard
                      + " under "
                      + epoch
                      + " was executed after "
                      + previous);
            }
            if (!effects.add(shard + "@" + due) && !job.repeatable()) {
              addViolation("once", shard + " was executed twice for due time " + due);
            }
          } else {
            rejected++;
          }
          time.after(1, () -> result.accept(admitted ? "served" : "failed"));
        });
  }

  // ---- Checks ----

  private void addViolation(String rule, String description) {
    if (violations.size() < 20) {
      violations.add(new Violation(time.now(), rule, description));
    }
  }

  /** Records an unexpected failure of the program. */
  void processFailed(String name, Throwable failure) {
    addViolation("no fault", name + ": " + failure);
  }

  /** Checks that no two processes consider themselves the owner of the shard at the same time. */
  void checkSingleOwner(VirtualMember acting, Shard shard) {
    for (VirtualMember other : members.values()) {
      if (other != acting && acting.epoch(shard).isPresent() && other.epoch(shard).isPresent()) {
        addViolation("one owner", acting.name + " and " + other.name + " both own " + shard);
      }
    }
  }

  /** Checks that the entry at an index of the log is the same on all members. */
  void checkApplied(long index, Object command) {
    String previous = log.putIfAbsent(index, command.toString());
    if (previous != null && !previous.equals(command.toString())) {
      addViolation("one log", "index " + index + " holds " + previous + " and " + command);
    }
  }

  private void checkLeaders() {
    for (VirtualMember member : members.values()) {
      var view = member.view();
      if (member.alive() && member.name.equals(view.leader())) {
        String previous = leaders.putIfAbsent(view.term(), member.name);
        if (previous != null && !previous.equals(member.name)) {
          addViolation(
              "one leader", previous + " and " + member.name + " lead term " + view.term());
        }
      }
    }
    time.after(20, this::checkLeaders);
  }
}
