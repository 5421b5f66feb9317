package ferngrade.membership;

import ferngrade.membership.Message.Ack;
import ferngrade.membership.Message.Digest;
import ferngrade.membership.Message.Letter;
import ferngrade.membership.Message.Nack;
import ferngrade.membership.Message.Ping;
import ferngrade.membership.Message.PingFor;
import ferngrade.membership.Message.Sync;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Who seems to live, as one member sees it: SWIM with suspicion and Lifeguard's local health. Each
 * period it pings one member, asks others to ping one that does not answer, suspects one that
 * answers nobody, and takes it for failed once it has not denied that in time. News goes along with
 * these messages; digests of all that is known are compared now and then, and with members that
 * seem failed too, so that a healed cut is found from both sides.
 *
 * <p>It says who seems to live, quickly and sometimes wrongly. It decides nothing that must happen
 * once.
 *
 * <p>Reads no clock and sends nothing by itself: {@link #run} does what is due, {@link #next} says
 * when. Times are ms of the member's monotonic clock. Belongs to one thread.
 */
public final class SwimProtocol {
  private static final int HELPERS = 4;

  /** Pings within the time for an answer: a lost datagram or two is no silence. */
  private static final int TRIES = 3;

  /** Share of the time for an answer after which a helper says that it has heard nothing. */
  private static final double NACK = 0.8;

  private static final double SHORTEST_PERIODS = 3;
  private static final double LONGEST = 5;
  private static final int MOST_HEALTH = 8;
  private static final int MOST_PEERS = 10_000;
  private static final int LETTER_BYTES = 64;
  private static final int FAREWELLS = 4;

  private final Terms terms;
  private final Out out;
  private final RandomGenerator chance;
  private final List<String> seeds;
  private final Gossip gossip = new Gossip();
  private final TreeMap<String, Peer> peers = new TreeMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, Relayed> relayed = new HashMap<>();
  private final PriorityQueue<Due> agenda = new PriorityQueue<>();
  private List<String> round = new ArrayList<>();
  private MembershipUpdate self;
  private double now;
  private long number;
  private long order;
  private int health;
  private boolean left;

  /**
   * The pace.
   *
   * @param period ms between two probes
   * @param patience ms for an answer
   * @param compare ms between two digests sent to one that seems to live
   * @param again ms between two tries to reach one that does not
   * @param bytes the most that a letter takes
   */
  public record Terms(double period, double patience, double compare, double again, int bytes) {
    /** For a fleet on a local network, in datagrams that no network splits. */
    public static final Terms LOCAL = new Terms(500, 200, 5_000, 2_000, 1_100);
  }

  /** What the member does for it. */
  public interface Out {
    /** Sends this to the member of a name, null if none is known, at an address: soon or never. */
    void send(String name, String address, Letter letter);

    /** Another member seems to be otherwise than before; {@code before} is null for a new one. */
    void changed(Peer before, Peer after);

    /** Another process says that it is this member. */
    void clash(MembershipUpdate other);
  }

  private record Due(double at, long order, Runnable task) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /**
   * A member that was pinged, how many others were asked to, and how many of these said that they
   * are there.
   */
  private static final class Probe {
    final MembershipUpdate target;
    boolean answered;
    int helpers;
    int nacks;

    Probe(MembershipUpdate target) {
      this.target = target;
    }
  }

  /** A ping for somebody else. */
  private record Relayed(MembershipUpdate by, long number) {}

  /**
   * A member of this name and address, whose process is {@code run}; {@code seeds} are addresses of
   * others.
   */
  public SwimProtocol(
      String name,
      String address,
      long run,
      List<String> seeds,
      Terms terms,
      RandomGenerator chance,
      Out out) {
    this.self = new MembershipUpdate(name, address, run, 0, MemberStatus.ALIVE, name);
    this.seeds = seeds.stream().filter(each -> !each.equals(address)).toList();
    this.terms = terms;
    this.chance = chance;
    this.out = out;
  }

  /** Begins to take part. */
  public void start(double at) {
    now = at;
    gossip.add(self);
    seeds.forEach(this::greet);
    after(terms.period() * chance.nextDouble(), this::probe);
    after(terms.compare() * chance.nextDouble(), this::compare);
    after(terms.again() * (0.5 + chance.nextDouble()), this::again);
  }

  /** Does all that is due at this time. */
  public void run(double at) {
    now = Math.max(now, at);
    while (!agenda.isEmpty() && agenda.peek().at() <= now) {
      agenda.poll().task().run();
    }
  }

  /** When something is due next. */
  public double next() {
    return agenda.isEmpty() ? Double.POSITIVE_INFINITY : agenda.peek().at();
  }

  /** All others that are known, in the order of their names. */
  public Collection<Peer> peers() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** What this member says of itself. */
  public MembershipUpdate self() {
    return self;
  }

  /**
   * Local health: 0 while all is well, more the more signs there are that this member itself is
   * slow.
   */
  public int health() {
    return health;
  }

  /** Whether a member seems to live; one that is not known does not. */
  public boolean alive(String name) {
    Peer peer = peers.get(name);
    return name.equals(self.name()) ? !left : peer != null && peer.present();
  }

  /** Says good-bye and takes no part any more. */
  public void leave(double at) {
    now = Math.max(now, at);
    if (!left) {
      left = true;
      self = self.as(MemberStatus.LEFT, self.name());
      List<Peer> some = present(null);
      Collections.shuffle(some, new Random(chance.nextLong()));
      int tell = (int) Math.ceil(FAREWELLS * Math.log10(some.size() + 10.0));
      some.stream().limit(tell).forEach(each -> send(each.news(), new Sync(List.of(self), false)));
      agenda.clear();
    }
  }

  private void after(double millis, Runnable task) {
    agenda.add(new Due(now + millis, order++, task));
  }

  private List<Peer> present(String but) {
    List<Peer> some = new ArrayList<>();
    for (Peer each : peers.values()) {
      if (each.present() && !each.name().equals(but)) {
        some.add(each);
      }
    }
    return some;
  }

  private int size() {
    int count = 1;
    for (Peer each : peers.values()) {
      count += each.present() ? 1 : 0;
    }
    return count;
  }

  // ---- Sending ----

  private void send(MembershipUpdate to, Message message) {
    post(to.address(), to.name(), message);
  }

  private void post(String address, String name, Message message) {
    List<MembershipUpdate> news = new ArrayList<>();
    int room = terms.bytes() - LETTER_BYTES - self.bytes();
    if (message instanceof Sync sync) {
      room -= sync.all().stream().mapToInt(MembershipUpdate::bytes).sum();
    }
    // What is held against the one that reads this goes first, so that it can deny it.
    Peer held = name == null ? null : peers.get(name);
    if (held != null && held.standing() != MemberStatus.ALIVE && held.news().bytes() <= room) {
      news.add(held.news());
      room -= held.news().bytes();
    }
    news.addAll(gossip.take(room, size()));
    out.send(name, address, new Letter(self, message, news));
  }

  private void greet(String address) {
    post(address, null, new Digest(digest()));
  }

  // ---- Probing ----

  private void probe() {
    double scale = 1 + health;
    after(terms.period() * scale, this::probe);
    MembershipUpdate target = nextTarget();
    if (target == null) {
      return;
    }
    Probe probe = new Probe(target);
    long sent = ++number;
    probes.put(sent, probe);
    double patience = terms.patience() * scale;
    for (int i = 0; i < TRIES; i++) {
      after(
          patience * i / TRIES,
          () -> {
            if (!probe.answered) {
              send(target, new Ping(sent));
            }
          });
    }
    after(patience, () -> askHelpers(probe, sent));
    after(terms.period() * scale - 1e-3, () -> judge(probe, sent));
  }

  private MembershipUpdate nextTarget() {
    while (true) {
      if (round.isEmpty()) {
        present(null).forEach(each -> round.add(each.name()));
        Collections.shuffle(round, new Random(chance.nextLong()));
        if (round.isEmpty()) {
          return null;
        }
      }
      Peer peer = peers.get(round.remove(round.size() - 1));
      if (peer != null && peer.present()) {
        return peer.news();
      }
    }
  }

  private void askHelpers(Probe probe, long sent) {
    if (probe.answered) {
      return;
    }
    List<Peer> others = present(probe.target.name());
    for (int i = 0; i < HELPERS && !others.isEmpty(); i++) {
      Peer helper = others.remove(chance.nextInt(others.size()));
      if (helper.standing() == MemberStatus.ALIVE) {
        probe.helpers++;
        send(helper.news(), new PingFor(sent, probe.target.name(), probe.target.address()));
      }
    }
  }

  private void judge(Probe probe, long sent) {
    probes.remove(sent);
    if (probe.answered) {
      healthier(-1);
      return;
    }
    // Helpers that do not even say that they are there: it is this member that hears nothing.
    healthier(probe.helpers == 0 ? 1 : probe.helpers - probe.nacks);
    Peer peer = peers.get(probe.target.name());
    if (peer != null && peer.present()) {
      hear(peer.news().as(MemberStatus.SUSPECT, self.name()));
    }
  }

  private void healthier(int change) {
    health = Math.max(0, Math.min(MOST_HEALTH, health + change));
  }

  private void relay(MembershipUpdate from, PingFor asked) {
    long sent = ++number;
    relayed.put(sent, new Relayed(from, asked.number()));
    double patience = terms.patience();
    post(asked.address(), asked.name(), new Ping(sent));
    after(
        patience / 2,
        () -> {
          if (relayed.containsKey(sent)) {
            post(asked.address(), asked.name(), new Ping(sent));
          }
        });
    after(
        NACK * patience,
        () -> {
          if (relayed.containsKey(sent)) {
            send(from, new Nack(asked.number()));
          }
        });
    after(2 * patience, () -> relayed.remove(sent));
  }

  // ---- Hearing ----

  /** A letter has come from this address. */
  public void received(double at, String address, Letter letter) {
    run(at);
    if (left || !letter.usable()) {
      return;
    }
    MembershipUpdate from = letter.self();
    if (from.name().equals(self.name())) {
      if (from.run() != self.run()) {
        out.clash(from);
      }
      return;
    }
    hear(from);
    letter.news().forEach(this::hear);
    Message message = letter.message();
    if (message instanceof Ping ping) {
      post(address, from.name(), new Ack(ping.number()));
    } else if (message instanceof Ack ack) {
      acknowledged(ack.number());
    } else if (message instanceof PingFor asked) {
      relay(from, asked);
    } else if (message instanceof Nack nack) {
      Probe probe = probes.get(nack.number());
      if (probe != null) {
        probe.nacks = Math.min(probe.helpers, probe.nacks + 1);
      }
    } else if (message instanceof Digest digest) {
      if (digest.hash() != digest()) {
        tellAll(address, from.name(), true);
      }
    } else if (message instanceof Sync sync) {
      sync.all().forEach(this::hear);
      if (sync.asks()) {
        tellAll(address, from.name(), false);
      }
    }
  }

  private void acknowledged(long answered) {
    Probe probe = probes.get(answered);
    if (probe != null) {
      probe.answered = true;
    }
    Relayed asked = relayed.remove(answered);
    if (asked != null) {
      send(asked.by(), new Ack(asked.number()));
    }
  }

  private void hear(MembershipUpdate news) {
    if (news.name().equals(self.name())) {
      deny(news);
      return;
    }
    Peer known = peers.get(news.name());
    Suspicion suspicion = suspicions.get(news.name());
    if (known != null
        && suspicion != null
        && news.standing() == MemberStatus.SUSPECT
        && news.incarnation() == known.news().incarnation()) {
      if (suspicion.confirm(news.by())) {
        gossip.add(news);
        watch(news, suspicion);
      }
      return;
    }
    if (known == null ? peers.size() >= MOST_PEERS : !news.over(known.news())) {
      return;
    }
    Peer after = new Peer(news, now);
    peers.put(news.name(), after);
    suspicions.remove(news.name());
    if (news.standing() == MemberStatus.SUSPECT) {
      double shortest = SHORTEST_PERIODS * terms.period() * Math.max(1, Math.log10(size()));
      Suspicion begun = new Suspicion(now, shortest, LONGEST * shortest, size(), news.by());
      suspicions.put(news.name(), begun);
      watch(news, begun);
    }
    gossip.add(news);
    out.changed(known, after);
  }

  /**
   * Takes the suspected for failed once its time is up, unless it was confirmed, and so ends
   * sooner, or denied.
   */
  private void watch(MembershipUpdate news, Suspicion suspicion) {
    after(
        suspicion.until() - now,
        () -> {
          if (suspicions.get(news.name()) == suspicion && suspicion.until() <= now) {
            hear(peers.get(news.name()).news().as(MemberStatus.FAILED, self.name()));
          }
        });
  }

  /** What others say of this member and is not so, is denied under an incarnation above it. */
  private void deny(MembershipUpdate news) {
    boolean so = news.standing() == MemberStatus.ALIVE && news.run() == self.run();
    if (so || news.incarnation() < self.incarnation()) {
      return;
    }
    self =
        new MembershipUpdate(
            self.name(),
            self.address(),
            self.run(),
            news.incarnation() + 1,
            MemberStatus.ALIVE,
            self.name());
    gossip.add(self);
    if (news.run() == self.run()) {
      // Suspected though it lives: it may be slow itself.
      healthier(1);
    }
  }

  // ---- Comparing ----

  /** The same for two members that know the same; a suspicion makes no difference, it is short. */
  private long digest() {
    long hash = hash(self);
    for (Peer each : peers.values()) {
      hash ^= hash(each.news());
    }
    return hash;
  }

  private static long hash(MembershipUpdate news) {
    boolean here = news.standing() == MemberStatus.ALIVE || news.standing() == MemberStatus.SUSPECT;
    String text =
        news.name()
            + " "
            + news.run()
            + " "
            + news.incarnation()
            + " "
            + (here ? "" : news.standing());
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  private void compare() {
    after(terms.compare() * (0.5 + chance.nextDouble()), this::compare);
    List<Peer> some = present(null);
    if (!some.isEmpty()) {
      send(some.get(chance.nextInt(some.size())).news(), new Digest(digest()));
    }
  }

  /**
   * Tries one that does not seem to live, or a seed of which nothing is known: a cut may have
   * healed.
   */
  private void again() {
    after(terms.again() * (0.5 + chance.nextDouble()), this::again);
    List<String> addresses = new ArrayList<>(seeds);
    for (Peer each : peers.values()) {
      addresses.remove(each.news().address());
      if (each.standing() == MemberStatus.FAILED) {
        addresses.add(each.news().address());
      }
    }
    if (!addresses.isEmpty()) {
      greet(addresses.get(chance.nextInt(addresses.size())));
    }
  }

  private void tellAll(String address, String name, boolean ask) {
    List<MembershipUpdate> part = new ArrayList<>();
    int left = terms.bytes() - LETTER_BYTES - self.bytes();
    for (Peer each : peers.values()) {
      MembershipUpdate news = each.news();
      if (news.bytes() > left) {
        post(address, name, new Sync(List.copyOf(part), false));
        part.clear();
        left = terms.bytes() - LETTER_BYTES - self.bytes();
      }
      part.add(news);
      left -= news.bytes();
    }
    post(address, name, new Sync(List.copyOf(part), ask));
  }
}
