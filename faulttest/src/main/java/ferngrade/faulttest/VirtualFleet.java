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
 * A few members in virtual time, with faults drawn from a seed: crashes that lose what was not
 * synced, pauses, cuts in one direction or both, loss, late and repeated messages, clocks that run
 * at their own rates and jump, full and lost disks, leaves. What must hold is judged as it happens;
 * at the end all faults are over, and every shard must have an owner.
 */
public final class VirtualFleet {
  private static final double QUIET = 12_000;
  private static final double AGAIN = 300;
  private static final double FAULTS_FROM = 4_000;
  private static final double FAULTS_UNTIL = 22_000;

  final VirtualTime time = new VirtualTime(0);
  final Mutant mutant;
  final double hold = 1500;
  final double heartbeat = 100;
  final double drift = 0.02;
  final List<String> names = new ArrayList<>();
  final List<RecurringSchedule> jobs =
      List.of(
          new RecurringSchedule("sweep", 100, true, false),
          new RecurringSchedule("roll", 100, true, true),
          new RecurringSchedule("skip", 300, false, false));
  final List<Shard> shards = jobs.stream().map(RecurringSchedule::shard).toList();
  private final SplittableRandom chance;
  private final Map<String, VirtualMember> members = new HashMap<>();
  private final Map<String, FaultInjectingStorage> disks = new HashMap<>();
  private final Map<String, Double> rates = new HashMap<>();
  private final Map<String, Long> jumps = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private final Set<String> lost = new HashSet<>();
  private final Set<String> drained = new HashSet<>();
  private final Map<Integer, String> leaders = new HashMap<>();
  private final Map<Long, String> log = new HashMap<>();
  private final FencingGuard fence = new FencingGuard();
  private final Map<String, Long> landed = new TreeMap<>();
  private final Map<String, Double> acted = new HashMap<>();
  private final Set<String> effects = new HashSet<>();
  private final List<Violation> breaches = new ArrayList<>();
  private double loss;
  private double slowness;
  private long processes;
  private long refused;

  /** What a run came to. */
  public record Result(List<Violation> breaches, long effects, long refused, long events) {}

  private VirtualFleet(int size, long seed, Mutant mutant) {
    this.mutant = mutant;
    this.chance = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      String name = String.valueOf((char) ('a' + i));
      names.add(name);
      disks.put(name, new FaultInjectingStorage(chance.nextLong(), 0));
      rates.put(name, 1 + drift * (2 * chance.nextDouble() - 1));
    }
  }

  /** Plays one run of so many members. */
  public static Result play(int size, long seed, Mutant mutant) {
    VirtualFleet fleet = new VirtualFleet(size, seed, mutant);
    fleet.run();
    return new Result(fleet.breaches, fleet.effects.size(), fleet.refused, fleet.time.ran());
  }

  /**
   * Plays a run without faults in which each message takes from half of {@code millis} to once and
   * a half of it, as on a machine that is far too busy; judged is that each shard is acted for.
   */
  public static Result playSlow(int size, long seed, double millis) {
    VirtualFleet fleet = new VirtualFleet(size, seed, Mutant.NONE);
    fleet.slowness = millis;
    fleet.names.forEach(fleet::start);
    fleet.time.run(QUIET);
    // One that is left out when it is late is always late here.
    fleet.judgeOwned(
        fleet.jobs.stream()
            .filter(RecurringSchedule::missed)
            .map(RecurringSchedule::shard)
            .toList());
    return new Result(fleet.breaches, fleet.effects.size(), fleet.refused, fleet.time.ran());
  }

  private void run() {
    names.forEach(this::start);
    int faults = 3 + chance.nextInt(6);
    for (int i = 0; i < faults; i++) {
      time.after(FAULTS_FROM + chance.nextDouble() * (FAULTS_UNTIL - FAULTS_FROM), this::fault);
    }
    time.after(50, this::lookAtLeaders);
    time.run(FAULTS_UNTIL + 6_000);
    cuts.clear();
    jumps.clear();
    loss = 0;
    for (String name : names) {
      VirtualMember member = members.get(name);
      member.pause(false);
      disks.get(name).heal();
      if (!member.alive() || drained.contains(name)) {
        member.die();
        start(name);
      }
    }
    time.run(time.now() + QUIET);
    judgeOwned(shards);
    for (VirtualMember member : members.values()) {
      if (member.alive() && !member.takenIn() && mutant != Mutant.FORGOTTEN_VOTES) {
        breach("taken in", member.name + " has lost its disk and is not taken in again");
      }
    }
  }

  private void judgeOwned(List<Shard> judged) {
    long up = members.values().stream().filter(VirtualMember::alive).count();
    for (Shard shard : judged) {
      long owners = members.values().stream().filter(each -> each.epoch(shard).isPresent()).count();
      if (2 * up > names.size()
          && acted.getOrDefault(shard.toString(), 0.0) < time.now() - QUIET / 2) {
        breach("acted for", shard + " was last acted for at " + acted.get(shard.toString()));
      }
      if (2 * up > names.size() && owners != 1) {
        breach("owned", shard + " has " + owners + " owners " + QUIET + " ms after the last fault");
      }
    }
  }

  // ---- Processes ----

  private void start(String name) {
    if (members.containsKey(name) && members.get(name).alive()) {
      // Its folder is locked.
      return;
    }
    FaultInjectingStorage disk = disks.get(name);
    disk.powerUp();
    try {
      members.put(
          name,
          new VirtualMember(
              this,
              name,
              disk,
              rates.get(name),
              ++processes * 7919 + 13,
              lost.contains(name) && mutant != Mutant.FORGOTTEN_VOTES));
    } catch (CorruptLogException damaged) {
      breach("disk", name + " cannot read what it synced: " + damaged.getMessage());
    } catch (IOException full) {
      time.after(AGAIN, () -> start(name));
    }
  }

  private void crash(String name, double down) {
    members.get(name).die();
    time.after(
        down,
        () -> {
          if (!members.get(name).alive()) {
            start(name);
          }
        });
  }

  private void fault() {
    String one = names.get(chance.nextInt(names.size()));
    String other = names.get(chance.nextInt(names.size()));
    double length = 200 + chance.nextDouble() * 4_000;
    switch (chance.nextInt(12)) {
      case 0, 1 -> crash(one, chance.nextDouble() * 3_000);
      case 2, 3 -> {
        VirtualMember member = members.get(one);
        member.pause(true);
        time.after(length, () -> member.pause(false));
      }
      case 4 -> cut(List.of(one + other), length);
      case 5 -> cut(List.of(one + other, other + one), length);
      case 6 -> {
        List<String> all = new ArrayList<>();
        names.forEach(each -> all.addAll(List.of(one + each, each + one)));
        cut(all, length);
      }
      case 7 -> {
        loss = 0.3;
        time.after(length, () -> loss = 0);
      }
      case 9 -> {
        // The leader dies for a moment and comes back unheard by one voter, while the voter between
        // them dies
        // again and again: both may ask it for the same vote.
        String leader =
            members.values().stream()
                .map(each -> each.view().leader())
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(one);
        List<String> others = new ArrayList<>(names);
        others.remove(leader);
        String between = others.remove(chance.nextInt(others.size()));
        crash(leader, 300 + chance.nextDouble() * 700);
        others.forEach(far -> cut(List.of(far + leader, leader + far), 4_000));
        for (int i = 1; i <= 15; i++) {
          time.after(
              400 + i * (40 + chance.nextDouble() * 60),
              () -> crash(between, 5 + chance.nextDouble() * 20));
        }
      }
      case 10 -> {
        // One falls behind, the next loses its disk, and then the third is away for a moment.
        cut(List.of(other + one, one + other), length);
        time.after(length / 3, () -> lose(one, 100));
        String third = names.get(chance.nextInt(names.size()));
        time.after(length / 2, () -> crash(third, 800 + chance.nextDouble() * 1_000));
      }
      // Of one member alone, and of none once one has left: the others' clocks are to count.
      case 8 ->
          jumps.merge(
              drained.isEmpty() ? names.get(0) : "none",
              chance.nextBoolean() ? 3_600_000L : -3_600_000L,
              Long::sum);
      default -> rarer(one, length);
    }
  }

  private void rarer(String one, double length) {
    switch (chance.nextInt(3)) {
      case 0 -> {
        failDisk(disks.get(one), (long) length % 2 == 0);
        time.after(length, () -> disks.get(one).heal());
      }
      case 1 -> lose(one, length);
      default -> {
        if (jumps.isEmpty()) {
          drained.add(one);
          members.get(one).drain();
        }
      }
    }
  }

  /** Has a disk be full, or fail in its syncs and changes of names. */
  private static void failDisk(FaultInjectingStorage disk, boolean full) {
    if (full) {
      disk.fill(true);
      return;
    }
    for (FaultInjectingStorage.Operation each :
        List.of(
            FaultInjectingStorage.Operation.SYNC,
            FaultInjectingStorage.Operation.RENAME,
            FaultInjectingStorage.Operation.SYNC_NAMES)) {
      disk.fail(each, FaultInjectingStorage.Errno.EIO, 0, Long.MAX_VALUE);
    }
  }

  /** At most one disk is lost in a run: more are more than a majority's disks can make up for. */
  private void lose(String one, double down) {
    if (lost.isEmpty()) {
      lost.add(one);
      members.get(one).die();
      disks.put(one, new FaultInjectingStorage(chance.nextLong(), 0));
      time.after(down, () -> start(one));
    }
  }

  private void cut(List<String> links, double length) {
    cuts.addAll(links);
    time.after(length, () -> links.forEach(cuts::remove));
  }

  // ---- What surrounds a member ----

  /** A member's wall clock, Unix ms. */
  long wall(String name) {
    return 1_700_000_000_000L
        + (long) (time.now() * rates.get(name))
        + jumps.getOrDefault(name, 0L);
  }

  void send(String from, String to, byte[] message) {
    if (cuts.contains(from + to) || chance.nextDouble() < loss) {
      return;
    }
    int copies = chance.nextInt(200) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      double delay =
          slowness > 0 ? slowness * (0.5 + chance.nextDouble()) : 0.2 + chance.nextDouble() * 3;
      delay += chance.nextInt(25) == 0 ? chance.nextDouble() * 250 : 0;
      delay += chance.nextInt(2_000) == 0 ? chance.nextDouble() * 8_000 : 0;
      time.after(delay, () -> members.get(to).receive(from, message));
    }
  }

  /**
   * An effect is on its way to whoever takes it, which looks at its epoch, and drops a repeat of a
   * job that may be put in again.
   */
  void effect(String from, RecurringSchedule job, long epoch, long due, Consumer<String> result) {
    double delay =
        0.5 + chance.nextDouble() * 5 + (chance.nextInt(20) == 0 ? chance.nextDouble() * 4_000 : 0);
    Shard shard = job.shard();
    time.after(
        delay,
        () -> {
          boolean admitted =
              fence.admits(shard.toString(), epoch) || mutant == Mutant.NO_EPOCH_CHECK;
          if (admitted) {
            acted.put(shard.toString(), time.now());
            long before = landed.merge(shard.toString(), epoch, Math::max);
            if (before > epoch) {
              breach(
                  "fenced",
                  "an effect of "
                      + from
                      + " on "
                      + shard
                      + " under "
                      + epoch
                      + " landed after "
                      + before);
            }
            if (!effects.add(shard + "@" + due) && !job.repeat()) {
              breach("once", shard + " was acted for twice at " + due);
            }
          } else {
            refused++;
          }
          time.after(1, () -> result.accept(admitted ? "served" : "failed"));
        });
  }

  // ---- Judges ----

  private void breach(String rule, String seen) {
    if (breaches.size() < 20) {
      breaches.add(new Violation(time.now(), rule, seen));
    }
  }

  /** The program failed in a way that nothing explains. */
  void fault(String name, Throwable fault) {
    breach("no fault", name + ": " + fault);
  }

  /** No two processes may believe at one moment that they hold the same shard. */
  void judgeHold(VirtualMember acts, Shard shard) {
    for (VirtualMember other : members.values()) {
      if (other != acts && acts.epoch(shard).isPresent() && other.epoch(shard).isPresent()) {
        breach("one owner", acts.name + " and " + other.name + " both hold " + shard);
      }
    }
  }

  /** What stands at an index of the log is the same for all. */
  void applied(long index, Object command) {
    String before = log.putIfAbsent(index, command.toString());
    if (before != null && !before.equals(command.toString())) {
      breach("one log", "at " + index + " stand " + before + " and " + command);
    }
  }

  private void lookAtLeaders() {
    for (VirtualMember member : members.values()) {
      var view = member.view();
      if (member.alive() && member.name.equals(view.leader())) {
        String before = leaders.putIfAbsent(view.term(), member.name);
        if (before != null && !before.equals(member.name)) {
          breach("one leader", before + " and " + member.name + " lead term " + view.term());
        }
      }
    }
    time.after(20, this::lookAtLeaders);
  }
}
