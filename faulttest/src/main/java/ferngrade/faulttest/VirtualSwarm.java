package ferngrade.faulttest;

import ferngrade.codec.Codec;
import ferngrade.emulator.VirtualTime;
import ferngrade.membership.MemberStatus;
import ferngrade.membership.MembershipUpdate;
import ferngrade.membership.Message;
import ferngrade.membership.Message.Letter;
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
 * Members in virtual time that tell who seems to live, by the program's own classes, sealed bytes
 * included: loss, one-way cuts, a part cut off, pauses, kills, restarts under the same name,
 * leaves, late joiners, and somebody who sends again what was sent before, or forges. What must
 * hold is judged as it happens and at the end.
 */
public final class VirtualSwarm {
  private static final List<byte[]> KEYS =
      List.of("a key that all members share".getBytes(StandardCharsets.UTF_8));
  private static final double FAULTS_FROM = 5_000;
  private static final double FAULTS_UNTIL = 20_000;
  private static final int KEPT = 200;

  private final VirtualTime time = new VirtualTime(0);
  private final SplittableRandom chance;
  private final Mutant mutant;
  private final List<String> names = new ArrayList<>();
  private final Map<String, One> members = new TreeMap<>();
  private final Set<String> cuts = new HashSet<>();
  private final List<Sent> kept = new ArrayList<>();
  private final List<Violation> breaches = new ArrayList<>();
  private double loss;
  private boolean faultless;
  private long bytes;
  private long datagrams;
  private long suspicions;
  private long falseEnds;
  private long refused;
  private int widest;
  private long runs = 1;

  /** A datagram that somebody has kept. */
  private record Sent(String from, String to, byte[] datagram) {}

  /**
   * What a run came to.
   *
   * @param bytes sealed bytes that were sent, and in how many {@code datagrams}, the widest of
   *     {@code widest} bytes
   * @param suspicions how often somebody held another for suspect
   * @param falseEnds how often somebody held a member for failed that was up, running and not cut
   *     off
   * @param refused datagrams that were sent again or forged and were refused
   * @param lastFound when the last of all members noticed the end of the member that was killed,
   *     ms; not a number if none was
   */
  public record Result(
      List<Violation> breaches,
      long bytes,
      long datagrams,
      int widest,
      long suspicions,
      long falseEnds,
      long refused,
      double lastFound) {}

  private VirtualSwarm(int size, long seed, Mutant mutant) {
    this.chance = new SplittableRandom(seed);
    this.mutant = mutant;
    for (int i = 0; i < size; i++) {
      names.add("m" + i);
    }
  }

  /** Plays faults drawn from the seed; at the end all that are up must agree on who is. */
  public static Result play(int size, long seed, Mutant mutant) {
    VirtualSwarm swarm = new VirtualSwarm(size, seed, mutant);
    int atOnce = Math.max(2, size / 2);
    swarm.names.subList(0, atOnce).forEach(swarm::start);
    // The others join within a second.
    swarm
        .names
        .subList(atOnce, size)
        .forEach(
            name ->
                swarm.time.after(
                    2_000 + swarm.chance.nextDouble() * 1_000, () -> swarm.start(name)));
    swarm.faults();
    return swarm.result(Double.NaN);
  }

  /** Plays {@code millis} with nothing but this share of the datagrams lost. */
  public static Result playLoss(int size, long seed, double loss, double millis) {
    VirtualSwarm swarm = new VirtualSwarm(size, seed, Mutant.NONE);
    swarm.faultless = true;
    swarm.names.forEach(swarm::start);
    swarm.time.run(10_000);
    swarm.bytes = 0;
    swarm.datagrams = 0;
    swarm.loss = loss;
    swarm.time.run(10_000 + millis);
    return swarm.result(Double.NaN);
  }

  /** Plays the end of one member, and says when the last of the others noticed. */
  public static Result playKill(int size, long seed) {
    VirtualSwarm swarm = new VirtualSwarm(size, seed, Mutant.NONE);
    swarm.names.forEach(swarm::start);
    swarm.time.run(10_000 + swarm.chance.nextDouble() * 500);
    double killed = swarm.time.now();
    String victim = swarm.names.get(swarm.chance.nextInt(size));
    swarm.kill(victim);
    while (swarm.time.now() < killed + 60_000
        && swarm.members.values().stream()
            .anyMatch(each -> each.process.alive() && each.swim.alive(victim))) {
      swarm.time.run(swarm.time.now() + 20);
    }
    return swarm.result(swarm.time.now() - killed);
  }

  private Result result(double found) {
    return new Result(breaches, bytes, datagrams, widest, suspicions, falseEnds, refused, found);
  }

  // ---- Faults ----

  private void faults() {
    int count = 3 + chance.nextInt(5);
    for (int i = 0; i < count; i++) {
      time.after(FAULTS_FROM + chance.nextDouble() * (FAULTS_UNTIL - FAULTS_FROM), this::fault);
    }
    for (int i = 0; i < 40; i++) {
      time.after(FAULTS_FROM + chance.nextDouble() * (FAULTS_UNTIL - FAULTS_FROM), this::intrude);
    }
    time.run(FAULTS_UNTIL + 8_000);
    cuts.clear();
    loss = 0;
    members.values().forEach(each -> each.process.pause(false));
    double quiet = 40_000 + 4 * names.size() * 500;
    time.run(time.now() + quiet);
    for (One one : members.values()) {
      if (!one.process.alive()) {
        continue;
      }
      for (One other : members.values()) {
        MemberStatus seen = one.standing(other.name);
        boolean right =
            other == one
                || (other.process.alive()
                    ? seen == MemberStatus.ALIVE
                    : seen == null || seen == MemberStatus.FAILED || seen == MemberStatus.LEFT);
        if (!right) {
          breach(
              "agreed",
              one.name
                  + " holds "
                  + other.name
                  + ", which is "
                  + (other.process.alive() ? "up" : "gone")
                  + ", for "
                  + seen
                  + " after "
                  + quiet
                  + " ms of quiet");
        }
        if (other.process.alive() && other != one && one.run(other.name) != other.run) {
          breach("agreed", one.name + " knows an old process of " + other.name);
        }
      }
    }
    if (widest > SwimProtocol.Terms.LOCAL.bytes() + MessageAuthenticator.BYTES) {
      breach("bounded", "a datagram of " + widest + " bytes");
    }
  }

  private void fault() {
    String one = names.get(chance.nextInt(names.size()));
    String other = names.get(chance.nextInt(names.size()));
    double length = 300 + chance.nextDouble() * 6_000;
    One member = members.get(one);
    if (member == null) {
      return;
    }
    switch (chance.nextInt(7)) {
      case 0 -> {
        kill(one);
        time.after(length, () -> start(one));
      }
      case 1 -> {
        kill(one);
        time.after(20 + chance.nextDouble() * 200, () -> start(one));
      }
      case 2 -> {
        member.process.pause(true);
        time.after(length, () -> member.process.pause(false));
      }
      case 3 -> cut(List.of(one + ">" + other), length);
      case 4 -> {
        List<String> links = new ArrayList<>();
        int far = 1 + chance.nextInt(names.size());
        for (String a : names.subList(0, far)) {
          for (String b : names.subList(far, names.size())) {
            links.add(a + ">" + b);
            links.add(b + ">" + a);
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
          member.process.enter(() -> member.swim.leave(time.now()));
          member.process.die();
          if (chance.nextBoolean()) {
            time.after(length, () -> start(one));
          }
        }
      }
    }
  }

  private void cut(List<String> links, double length) {
    cuts.addAll(links);
    time.after(length, () -> links.forEach(cuts::remove));
  }

  /** Somebody sends again what was sent long ago, or changes a bit of it. */
  private void intrude() {
    if (kept.isEmpty()) {
      return;
    }
    Sent old = kept.get(chance.nextInt(kept.size()));
    One to = members.get(old.to());
    byte[] bad = old.datagram().clone();
    boolean forges = chance.nextBoolean();
    if (forges) {
      bad[chance.nextInt(bad.length)] ^= (byte) (1 << chance.nextInt(8));
    }
    to.process.enter(
        () -> {
          MessageAuthenticator.Opened opened = to.seal.open("intruder", bad);
          if (opened.verdict() == MessageAuthenticator.Verdict.TAKEN) {
            breach(
                forges ? "forged" : "replayed",
                to.name + " has taken what " + old.from() + " had not sent it so");
            to.take("intruder", opened.content());
          } else {
            refused++;
          }
        });
  }

  private void kill(String name) {
    members.get(name).process.die();
  }

  private void start(String name) {
    if (!members.containsKey(name) || !members.get(name).process.alive()) {
      members.put(name, new One(name));
    }
  }

  private void breach(String rule, String seen) {
    if (breaches.size() < 20) {
      breaches.add(new Violation(time.now(), rule, seen));
    }
  }

  // ---- Members ----

  /** One process of a member. */
  private final class One implements SwimProtocol.Out {
    final String name;
    final long run = ++runs * 0x9E3779B97F4A7C15L | 1;
    final double began = time.now();
    final MessageAuthenticator seal;
    final SwimProtocol swim;
    final Codec codec = new Codec(Message.CLASSES);
    final Standstill process = new Standstill();

    One(String name) {
      this.name = name;
      this.seal = new MessageAuthenticator("swarm", KEYS, run);
      this.swim =
          new SwimProtocol(
              name,
              name,
              run,
              names.subList(0, Math.min(3, names.size())),
              SwimProtocol.Terms.LOCAL,
              new SplittableRandom(chance.nextLong()),
              this);
      swim.start(0);
      tick();
    }

    private double now() {
      return time.now() - began;
    }

    private void tick() {
      swim.run(now());
      time.after(Math.max(0.01, swim.next() - now()), () -> process.enter(this::tick));
    }

    MemberStatus standing(String other) {
      return swim.peers().stream()
          .filter(each -> each.name().equals(other))
          .map(Peer::standing)
          .findFirst()
          .orElse(null);
    }

    long run(String other) {
      return swim.peers().stream()
          .filter(each -> each.name().equals(other))
          .map(each -> each.news().run())
          .findFirst()
          .orElse(0L);
    }

    @Override
    public void send(String to, String address, Letter letter) {
      post(to == null ? address : to, seal.close(to == null ? address : to, codec.write(letter)));
    }

    private void post(String to, byte[] datagram) {
      bytes += datagram.length;
      datagrams++;
      widest = Math.max(widest, datagram.length);
      if (cuts.contains(name + ">" + to) || chance.nextDouble() < loss) {
        return;
      }
      double delay =
          0.2
              + chance.nextDouble() * 3
              + (chance.nextInt(100) == 0 ? chance.nextDouble() * 200 : 0);
      time.after(
          delay,
          () -> {
            One there = members.get(to);
            if (there != null) {
              there.process.enter(
                  () -> {
                    if (kept.size() < KEPT && chance.nextInt(20) == 0) {
                      kept.add(new Sent(name, to, datagram));
                    }
                    there.come(name, datagram);
                  });
            }
          });
    }

    private void come(String from, byte[] datagram) {
      MessageAuthenticator.Opened opened = seal.open(from, datagram);
      if (opened.answer() != null) {
        post(from, opened.answer());
      }
      if (opened.verdict() == MessageAuthenticator.Verdict.TAKEN) {
        take(from, opened.content());
      }
    }

    void take(String from, byte[] content) {
      try {
        if (codec.read(content, 0, content.length) instanceof Letter letter) {
          if (mutant == Mutant.NO_DENIAL) {
            letter =
                new Letter(
                    letter.self(),
                    letter.message() instanceof Message.Sync sync
                        ? new Message.Sync(others(sync.all()), sync.asks())
                        : letter.message(),
                    others(letter.news()));
          }
          swim.received(now(), from, letter);
        }
      } catch (IOException malformed) {
        breach("no fault", name + " cannot read what " + from + " sent: " + malformed.getMessage());
      }
    }

    private List<MembershipUpdate> others(List<MembershipUpdate> all) {
      return all.stream().filter(each -> !each.name().equals(name)).toList();
    }

    @Override
    public void changed(Peer before, Peer after) {
      One other = members.get(after.name());
      suspicions += after.standing() == MemberStatus.SUSPECT ? 1 : 0;
      if (after.standing() == MemberStatus.FAILED
          && other != null
          && other.process.alive()
          && !other.process.paused()
          && !process.paused()
          && cuts.isEmpty()
          && after.news().run() == other.run) {
        falseEnds++;
        if (faultless) {
          breach("no false end", name + " holds " + after.name() + " for failed, which is up");
        }
      }
      if (before != null
          && before.standing() == MemberStatus.LEFT
          && after.standing() == MemberStatus.FAILED
          && before.news().run() == after.news().run()) {
        breach("left", after.name() + " has left and is called failed");
      }
    }

    @Override
    public void clash(MembershipUpdate other) {
      if (members.get(name) == this) {
        breach("one process", name + " hears of another process of its name that is none");
      }
    }
  }
}
