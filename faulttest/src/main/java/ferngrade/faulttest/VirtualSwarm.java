package ferngrade.faulttest;

import ferngrade.codec.Codec;
import ferngrade.emulator.VirtualTime;
import ferngrade.membership.MemberStatus;
import ferngrade.membership.MembershipUpdate;
import ferngrade.membership.Message;
import ferngrade.membership.Message.Envelope;
import ferngrade.membership.MessageAuthenticator;
import ferngrade.membership.Peer;
import ferngrade.membership.SwimProtocol;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Members in virtual time that run the program's own membership protocol, including the sealing of
 * datagrams. Injected faults: loss, one-way cuts, partitions, pauses, crashes, restarts under the
 * same name, leaves, late joins, and an intruder that replays or forges datagrams. Invariants are
 * checked while a run proceeds and at its end.
 */
public final class VirtualSwarm {
  private static final List<byte[]> KEYS =
      List.of("a key that all members share".getBytes(StandardCharsets.UTF_8));
  private static final double FIRST_FAULT_MILLIS = 5_000;
  private static final double LAST_FAULT_MILLIS = 20_000;
  private static final int MAX_RECORDED_DATAGRAMS = 200;

  private final VirtualTime time = new VirtualTime(0);
  private final SplittableRandom random;
  private final Mutant mutant;
  private final List<String> names = new ArrayList<>();
  private final Map<String, SimulatedMember> members = new TreeMap<>();
  private final Set<String> cuts = new HashSet<>();
  private final List<RecordedDatagram> recordedDatagrams = new ArrayList<>();
  private final List<Violation> violations = new ArrayList<>();
  private double loss;
  private boolean lossOnly;
  private long bytes;
  private long datagrams;
  private long suspicions;
  private long falseFailures;
  private long rejected;
  private int maxDatagramBytes;
  private long runs = 1;

  /** A datagram recorded for a replay. */
  private record RecordedDatagram(String from, String to, byte[] datagram) {}

  /**
   * The outcome of a run.
   *
   * @param bytes the number of sealed bytes sent
   * @param datagrams the number of datagrams sent
   * @param maxDatagramBytes the size of the largest datagram, bytes
   * @param suspicions how often a member suspected another member
   * @param falseFailures how often a member declared another member failed although the other
   *     member was running and not partitioned
   * @param rejected the number of replayed or forged datagrams that were rejected
   * @param detectionMillis the time until the last member detected the crash of the killed member,
   *     ms; NaN if no member was killed
   */
  public record Result(
      List<Violation> violations,
      long bytes,
      long datagrams,
      int maxDatagramBytes,
      long suspicions,
      long falseFailures,
      long rejected,
      double detectionMillis) {}

  private VirtualSwarm(int size, long seed, Mutant mutant) {
    this.random = new SplittableRandom(seed);
    this.mutant = mutant;
    for (int i = 0; i < size; i++) {
      names.add("m" + i);
    }
  }

  /**
   * Runs a fleet with faults drawn from the seed. At the end all running members must agree on the
   * membership.
   */
  public static Result run(int size, long seed, Mutant mutant) {
    VirtualSwarm swarm = new VirtualSwarm(size, seed, mutant);
    int initialSize = Math.max(2, size / 2);
    swarm.names.subList(0, initialSize).forEach(swarm::start);
    swarm
        .names
        .subList(initialSize, size)
        .forEach(
            name ->
                swarm.time.after(
                    2_000 + swarm.random.nextDouble() * 1_000, () -> swarm.start(name)));
    swarm.runFaults();
    return swarm.result(Double.NaN);
  }

  /**
   * Runs for {@code millis} with the share {@code loss} of the datagrams lost and no other fault.
   */
  public static Result runWithLoss(int size, long seed, double loss, double millis) {
    VirtualSwarm swarm = new VirtualSwarm(size, seed, Mutant.NONE);
    swarm.lossOnly = true;
    swarm.names.forEach(swarm::start);
    swarm.time.run(10_000);
    swarm.bytes = 0;
    swarm.datagrams = 0;
    swarm.loss = loss;
    swarm.time.run(10_000 + millis);
    return swarm.result(Double.NaN);
  }

  /** Crashes one member, and measures the time until all other members have detected the crash. */
  public static Result runWithCrash(int size, long seed) {
    VirtualSwarm swarm = new VirtualSwarm(size, seed, Mutant.NONE);
    swarm.names.forEach(swarm::start);
    swarm.time.run(10_000 + swarm.random.nextDouble() * 500);
    double killed = swarm.time.now();
    String victim = swarm.names.get(swarm.random.nextInt(size));
    swarm.kill(victim);
    while (swarm.time.now() < killed + 60_000
        && swarm.members.values().stream()
            .anyMatch(member -> member.process.alive() && member.swim.alive(victim))) {
      swarm.time.run(swarm.time.now() + 20);
    }
    return swarm.result(swarm.time.now() - killed);
  }

  private Result result(double detectionMillis) {
    return new Result(
        violations,
        bytes,
        datagrams,
        maxDatagramBytes,
        suspicions,
        falseFailures,
        rejected,
        detectionMillis);
  }

  // ---- Faults ----

  private void runFaults() {
    int count = 3 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      time.after(
          FIRST_FAULT_MILLIS + random.nextDouble() * (LAST_FAULT_MILLIS - FIRST_FAULT_MILLIS),
          this::injectFault);
    }
    for (int i = 0; i < 40; i++) {
      time.after(
          FIRST_FAULT_MILLIS + random.nextDouble() * (LAST_FAULT_MILLIS - FIRST_FAULT_MILLIS),
          this::injectForeignDatagram);
    }
    time.run(LAST_FAULT_MILLIS + 8_000);
    cuts.clear();
    loss = 0;
    members.values().forEach(member -> member.process.setPaused(false));
    double faultFreeMillis = 40_000 + 4 * names.size() * 500;
    time.run(time.now() + faultFreeMillis);
    for (SimulatedMember member : members.values()) {
      if (!member.process.alive()) {
        continue;
      }
      for (SimulatedMember other : members.values()) {
        MemberStatus status = member.statusOf(other.name);
        boolean correct =
            other == member
                || (other.process.alive()
                    ? status == MemberStatus.ALIVE
                    : status == null
                        || status == MemberStatus.FAILED
                        || status == MemberStatus.LEFT);
        if (!correct) {
          addViolation(
              "agreed",
              member.name
                  + " sees "
                  + other.name
                  + ", which is "
                  + (other.process.alive() ? "up" : "down")
                  + ", as "
                  + status
                  + " after "
                  + faultFreeMillis
                  + " ms without faults");
        }
        if (other.process.alive() && other != member && member.runOf(other.name) != other.run) {
          addViolation("agreed", member.name + " still lists an earlier process of " + other.name);
        }
      }
    }
    if (maxDatagramBytes
        > SwimProtocol.Settings.LOCAL.maxEnvelopeBytes() + MessageAuthenticator.OVERHEAD_BYTES) {
      addViolation("bounded", "a datagram of " + maxDatagramBytes + " bytes");
    }
  }

  private void injectFault() {
    String name = names.get(random.nextInt(names.size()));
    String other = names.get(random.nextInt(names.size()));
    double length = 300 + random.nextDouble() * 6_000;
    SimulatedMember member = members.get(name);
    if (member == null) {
      return;
    }
    switch (random.nextInt(7)) {
      case 0 -> {
        kill(name);
        time.after(length, () -> start(name));
      }
      case 1 -> {
        kill(name);
        time.after(20 + random.nextDouble() * 200, () -> start(name));
      }
      case 2 -> {
        member.process.setPaused(true);
        time.after(length, () -> member.process.setPaused(false));
      }
      case 3 -> cut(List.of(name + ">" + other), length);
      case 4 -> {
        List<String> links = new ArrayList<>();
        int split = 1 + random.nextInt(names.size());
        for (String memberA : names.subList(0, split)) {
          for (String memberB : names.subList(split, names.size())) {
            links.add(memberA + ">" + memberB);
            links.add(memberB + ">" + memberA);
          }
        }
        cut(links, length * 2);
      }
      case 5 -> {
        loss = 0.25;
        time.after(length, () -> loss = 0);
      }
      default -> {
        if (member.process.alive()) {
          member.process.execute(() -> member.swim.leave(time.now()));
          member.process.kill();
          if (random.nextBoolean()) {
            time.after(length, () -> start(name));
          }
        }
      }
    }
  }

  private void cut(List<String> links, double length) {
    cuts.addAll(links);
    time.after(length, () -> links.forEach(cuts::remove));
  }

  /** Replays a recorded datagram, or sends it with one bit flipped. */
  private void injectForeignDatagram() {
    if (recordedDatagrams.isEmpty()) {
      return;
    }
    RecordedDatagram old = recordedDatagrams.get(random.nextInt(recordedDatagrams.size()));
    SimulatedMember to = members.get(old.to());
    byte[] replayed = old.datagram().clone();
    boolean forged = random.nextBoolean();
    if (forged) {
      replayed[random.nextInt(replayed.length)] ^= (byte) (1 << random.nextInt(8));
    }
    to.process.execute(
        () -> {
          MessageAuthenticator.UnsealResult unsealed =
              to.authenticator.unseal("intruder", replayed);
          if (unsealed.verdict() == MessageAuthenticator.Verdict.TAKEN) {
            addViolation(
                forged ? "forged" : "replayed",
                to.name + " accepted a datagram of " + old.from() + " that was replayed or forged");
            to.accept("intruder", unsealed.content());
          } else {
            rejected++;
          }
        });
  }

  private void kill(String name) {
    members.get(name).process.kill();
  }

  private void start(String name) {
    if (!members.containsKey(name) || !members.get(name).process.alive()) {
      members.put(name, new SimulatedMember(name));
    }
  }

  private void addViolation(String rule, String description) {
    if (violations.size() < 20) {
      violations.add(new Violation(time.now(), rule, description));
    }
  }

  // ---- Members ----

  /** One process of a member. */
  private final class SimulatedMember implements SwimProtocol.Callbacks {
    final String name;
    final long run = ++runs * 0x9E3779B97F4A7C15L | 1;
    final double startedAt = time.now();
    final MessageAuthenticator authenticator;
    final SwimProtocol swim;
    final Codec codec = new Codec(Message.CLASSES);
    final SimulatedProcess process = new SimulatedProcess();

    SimulatedMember(String name) {
      this.name = name;
      this.authenticator = new MessageAuthenticator("swarm", KEYS, run);
      this.swim =
          new SwimProtocol(
              name,
              name,
              run,
              names.subList(0, Math.min(3, names.size())),
              SwimProtocol.Settings.LOCAL,
              new SplittableRandom(random.nextLong()),
              this);
      swim.start(0);
      tick();
    }

    private double now() {
      return time.now() - startedAt;
    }

    private void tick() {
      swim.runDueTasks(now());
      time.after(Math.max(0.01, swim.nextTaskAt() - now()), () -> process.execute(this::tick));
    }

    MemberStatus statusOf(String other) {
      return swim.peers().stream()
          .filter(peer -> peer.name().equals(other))
          .map(Peer::status)
          .findFirst()
          .orElse(null);
    }

    long runOf(String other) {
      return swim.peers().stream()
          .filter(peer -> peer.name().equals(other))
          .map(peer -> peer.update().run())
          .findFirst()
          .orElse(0L);
    }

    @Override
    public void send(String to, String address, Envelope envelope) {
      transmit(
          to == null ? address : to,
          authenticator.seal(to == null ? address : to, codec.write(envelope)));
    }

    private void transmit(String to, byte[] datagram) {
      bytes += datagram.length;
      datagrams++;
      maxDatagramBytes = Math.max(maxDatagramBytes, datagram.length);
      if (cuts.contains(name + ">" + to) || random.nextDouble() < loss) {
        return;
      }
      double delay =
          0.2
              + random.nextDouble() * 3
              + (random.nextInt(100) == 0 ? random.nextDouble() * 200 : 0);
      time.after(
          delay,
          () -> {
            SimulatedMember receiver = members.get(to);
            if (receiver != null) {
              receiver.process.execute(
                  () -> {
                    if (recordedDatagrams.size() < MAX_RECORDED_DATAGRAMS
                        && random.nextInt(20) == 0) {
                      recordedDatagrams.add(new RecordedDatagram(name, to, datagram));
                    }
                    receiver.handle(name, datagram);
                  });
            }
          });
    }

    private void handle(String from, byte[] datagram) {
      MessageAuthenticator.UnsealResult unsealed = authenticator.unseal(from, datagram);
      if (unsealed.answer() != null) {
        transmit(from, unsealed.answer());
      }
      if (unsealed.verdict() == MessageAuthenticator.Verdict.TAKEN) {
        accept(from, unsealed.content());
      }
    }

    void accept(String from, byte[] content) {
      try {
        if (codec.read(content, 0, content.length) instanceof Envelope envelope) {
          if (mutant == Mutant.NO_DENIAL) {
            envelope =
                new Envelope(
                    envelope.self(),
                    envelope.message() instanceof Message.Sync sync
                        ? new Message.Sync(others(sync.all()), sync.asks())
                        : envelope.message(),
                    others(envelope.news()));
          }
          swim.received(now(), from, envelope);
        }
      } catch (IOException malformed) {
        addViolation(
            "no fault",
            name + " cannot decode a datagram of " + from + ": " + malformed.getMessage());
      }
    }

    private List<MembershipUpdate> others(List<MembershipUpdate> all) {
      return all.stream().filter(update -> !update.name().equals(name)).toList();
    }

    @Override
    public void statusChanged(Peer before, Peer after) {
      SimulatedMember other = members.get(after.name());
      suspicions += after.status() == MemberStatus.SUSPECT ? 1 : 0;
      if (after.status() == MemberStatus.FAILED
          && other != null
          && other.process.alive()
          && !other.process.paused()
          && !process.paused()
          && cuts.isEmpty()
          && after.update().run() == other.run) {
        falseFailures++;
        if (lossOnly) {
          addViolation("no false end", name + " declared " + after.name() + " failed, which is up");
        }
      }
      if (before != null
          && before.status() == MemberStatus.LEFT
          && after.status() == MemberStatus.FAILED
          && before.update().run() == after.update().run()) {
        addViolation("left", after.name() + " has left and is declared failed");
      }
    }

    @Override
    public void nameConflict(MembershipUpdate other) {
      if (members.get(name) == this) {
        addViolation(
            "one process",
            name + " was notified of another process with its name, which does not exist");
      }
    }
  }
}
