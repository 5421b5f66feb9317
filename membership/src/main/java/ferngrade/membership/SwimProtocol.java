package ferngrade.membership;

import ferngrade.membership.Message.Ack;
import ferngrade.membership.Message.Digest;
import ferngrade.membership.Message.Envelope;
import ferngrade.membership.Message.Nack;
import ferngrade.membership.Message.Ping;
import ferngrade.membership.Message.PingRequest;
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
 * Tracks which members of the fleet are reachable: the SWIM protocol with suspicion, and with the
 * local health score of Lifeguard. In each period the member pings one other member. If the target
 * does not answer, the member asks others to ping it. A target that answers none of them is
 * suspected, and is marked as failed unless it refutes the suspicion in time. Updates are
 * piggybacked on these messages. In addition, members periodically compare digests of their full
 * state, also with members that seem to have failed, so that a healed partition is detected from
 * both sides.
 *
 * <p>The result is fast but sometimes wrong. It must not be used to decide anything that has to
 * happen exactly once.
 *
 * <p>Reads no clock and sends nothing by itself: {@link #runDueTasks} performs the tasks that are
 * due, {@link #nextTaskAt} returns the time of the next one. Times are ms of the member's monotonic
 * clock. Confined to one thread.
 */
public final class SwimProtocol {
  private static final int MAX_HELPERS = 4;

  /**
   * The number of pings within the timeout of a probe, so that one or two lost datagrams do not
   * cause a suspicion.
   */
  private static final int PINGS_PER_PROBE = 3;

  /**
   * The fraction of the probe timeout after which a helper reports that the target has not answered
   * yet.
   */
  private static final double NACK_TIMEOUT_FRACTION = 0.8;

  private static final double MIN_SUSPICION_PERIODS = 3;
  private static final double MAX_SUSPICION_FACTOR = 5;
  private static final int MAX_HEALTH_SCORE = 8;
  private static final int MAX_PEERS = 10_000;
  private static final int ENVELOPE_OVERHEAD_BYTES = 64;
  private static final int LEAVE_FANOUT_FACTOR = 4;

  private final Settings settings;
  private final Callbacks callbacks;
  private final RandomGenerator random;
  private final List<String> seeds;
  private final Gossip gossip = new Gossip();
  private final TreeMap<String, Peer> peers = new TreeMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, RelayedPing> relayedPings = new HashMap<>();
  private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
  private List<String> probeOrder = new ArrayList<>();
  private MembershipUpdate self;
  private double now;
  private long lastPingNumber;
  private long nextTaskSequence;
  private int health;
  private boolean left;

  /**
   * The timing and the message size of the protocol.
   *
   * @param probePeriod the interval between two probes, ms
   * @param ackTimeout the timeout for an answer, ms
   * @param digestPeriod the mean interval between two digests sent to reachable members, ms
   * @param retryPeriod the mean interval between two attempts to reach a failed member or an
   *     unknown seed, ms
   * @param maxEnvelopeBytes the maximum size of an envelope, bytes
   */
  public record Settings(
      double probePeriod,
      double ackTimeout,
      double digestPeriod,
      double retryPeriod,
      int maxEnvelopeBytes) {
    /**
     * The timing for a fleet on a local network; datagrams are small enough to avoid fragmentation.
     */
    public static final Settings LOCAL = new Settings(500, 200, 5_000, 2_000, 1_100);
  }

  /** The operations that the member performs for the protocol. */
  public interface Callbacks {
    /**
     * Sends an envelope to an address, without a guarantee of delivery; {@code name} is the name of
     * the member there, null if it is unknown.
     */
    void send(String name, String address, Envelope envelope);

    /**
     * Reports that another member's status has changed; {@code before} is null for a new member.
     */
    void statusChanged(Peer before, Peer after);

    /** Reports that another process uses this member's name. */
    void nameConflict(MembershipUpdate other);
  }

  private record ScheduledTask(double at, long sequence, Runnable task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /**
   * The state of a probe: its target, the number of helpers that were asked to ping the target, and
   * the number of helpers that have sent a negative acknowledgement.
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

  /** A ping that this member sends on behalf of another member. */
  private record RelayedPing(MembershipUpdate requester, long number) {}

  /**
   * Creates a member of this name and address; {@code run} identifies its process, and {@code
   * seeds} are addresses of other members.
   */
  public SwimProtocol(
      String name,
      String address,
      long run,
      List<String> seeds,
      Settings settings,
      RandomGenerator random,
      Callbacks callbacks) {
    this.self = new MembershipUpdate(name, address, run, 0, MemberStatus.ALIVE, name);
    this.seeds = seeds.stream().filter(seed -> !seed.equals(address)).toList();
    this.settings = settings;
    this.random = random;
    this.callbacks = callbacks;
  }

  /** Joins the fleet: contacts the seeds and schedules the periodic tasks. */
  public void start(double at) {
    now = at;
    gossip.add(self);
    seeds.forEach(this::sendDigest);
    schedule(settings.probePeriod() * random.nextDouble(), this::probe);
    schedule(settings.digestPeriod() * random.nextDouble(), this::compareDigests);
    schedule(settings.retryPeriod() * (0.5 + random.nextDouble()), this::retryUnreachable);
  }

  /** Performs all tasks that are due at this time. */
  public void runDueTasks(double at) {
    now = Math.max(now, at);
    while (!tasks.isEmpty() && tasks.peek().at() <= now) {
      tasks.poll().task().run();
    }
  }

  /** Returns the time of the next task, or infinity if there is none. */
  public double nextTaskAt() {
    return tasks.isEmpty() ? Double.POSITIVE_INFINITY : tasks.peek().at();
  }

  /** Returns all other known members, ordered by name. */
  public Collection<Peer> peers() {
    return Collections.unmodifiableCollection(peers.values());
  }

  /** Returns the update that this member sends about itself. */
  public MembershipUpdate self() {
    return self;
  }

  /**
   * Returns the local health score: 0 if this member is healthy. The score increases with the
   * evidence that this member itself is slow.
   */
  public int health() {
    return health;
  }

  /** Returns whether a member is alive or suspected; false for an unknown member. */
  public boolean alive(String name) {
    Peer peer = peers.get(name);
    return name.equals(self.name()) ? !left : peer != null && peer.present();
  }

  /** Announces that this member leaves, and stops the protocol. */
  public void leave(double at) {
    now = Math.max(now, at);
    if (!left) {
      left = true;
      self = self.withStatus(MemberStatus.LEFT, self.name());
      List<Peer> presentPeers = presentPeers(null);
      Collections.shuffle(presentPeers, new Random(random.nextLong()));
      int recipients =
          (int) Math.ceil(LEAVE_FANOUT_FACTOR * Math.log10(presentPeers.size() + 10.0));
      presentPeers.stream()
          .limit(recipients)
          .forEach(peer -> send(peer.update(), new Sync(List.of(self), false)));
      tasks.clear();
    }
  }

  private void schedule(double millis, Runnable task) {
    tasks.add(new ScheduledTask(now + millis, nextTaskSequence++, task));
  }

  private List<Peer> presentPeers(String excludedName) {
    List<Peer> presentPeers = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.present() && !peer.name().equals(excludedName)) {
        presentPeers.add(peer);
      }
    }
    return presentPeers;
  }

  private int presentCount() {
    int count = 1;
    for (Peer peer : peers.values()) {
      count += peer.present() ? 1 : 0;
    }
    return count;
  }

  // ---- Sending ----

  private void send(MembershipUpdate to, Message message) {
    sendTo(to.address(), to.name(), message);
  }

  private void sendTo(String address, String name, Message message) {
    List<MembershipUpdate> updates = new ArrayList<>();
    int remainingBytes =
        settings.maxEnvelopeBytes() - ENVELOPE_OVERHEAD_BYTES - self.maxEncodedBytes();
    if (message instanceof Sync sync) {
      remainingBytes -= sync.all().stream().mapToInt(MembershipUpdate::maxEncodedBytes).sum();
    }
    // An update that marks the receiver as suspected or failed is sent first, so that the receiver
    // can refute it.
    Peer receiver = name == null ? null : peers.get(name);
    if (receiver != null
        && receiver.status() != MemberStatus.ALIVE
        && receiver.update().maxEncodedBytes() <= remainingBytes) {
      updates.add(receiver.update());
      remainingBytes -= receiver.update().maxEncodedBytes();
    }
    updates.addAll(gossip.take(remainingBytes, presentCount()));
    callbacks.send(name, address, new Envelope(self, message, updates));
  }

  private void sendDigest(String address) {
    sendTo(address, null, new Digest(digest()));
  }

  // ---- Probing ----

  private void probe() {
    double healthFactor = 1 + health;
    schedule(settings.probePeriod() * healthFactor, this::probe);
    MembershipUpdate target = nextProbeTarget();
    if (target == null) {
      return;
    }
    Probe probe = new Probe(target);
    long pingNumber = ++lastPingNumber;
    probes.put(pingNumber, probe);
    double timeout = settings.ackTimeout() * healthFactor;
    for (int i = 0; i < PINGS_PER_PROBE; i++) {
      schedule(
          timeout * i / PINGS_PER_PROBE,
          () -> {
            if (!probe.answered) {
              send(target, new Ping(pingNumber));
            }
          });
    }
    schedule(timeout, () -> askHelpers(probe, pingNumber));
    schedule(settings.probePeriod() * healthFactor - 1e-3, () -> finishProbe(probe, pingNumber));
  }

  private MembershipUpdate nextProbeTarget() {
    while (true) {
      if (probeOrder.isEmpty()) {
        presentPeers(null).forEach(peer -> probeOrder.add(peer.name()));
        Collections.shuffle(probeOrder, new Random(random.nextLong()));
        if (probeOrder.isEmpty()) {
          return null;
        }
      }
      Peer peer = peers.get(probeOrder.remove(probeOrder.size() - 1));
      if (peer != null && peer.present()) {
        return peer.update();
      }
    }
  }

  private void askHelpers(Probe probe, long pingNumber) {
    if (probe.answered) {
      return;
    }
    List<Peer> candidates = presentPeers(probe.target.name());
    for (int i = 0; i < MAX_HELPERS && !candidates.isEmpty(); i++) {
      Peer helper = candidates.remove(random.nextInt(candidates.size()));
      if (helper.status() == MemberStatus.ALIVE) {
        probe.helpers++;
        send(
            helper.update(),
            new PingRequest(pingNumber, probe.target.name(), probe.target.address()));
      }
    }
  }

  private void finishProbe(Probe probe, long pingNumber) {
    probes.remove(pingNumber);
    if (probe.answered) {
      adjustHealth(-1);
      return;
    }
    // If a helper does not even send a negative acknowledgement, this is evidence that this member
    // itself does not receive messages.
    adjustHealth(probe.helpers == 0 ? 1 : probe.helpers - probe.nacks);
    Peer peer = peers.get(probe.target.name());
    if (peer != null && peer.present()) {
      applyUpdate(peer.update().withStatus(MemberStatus.SUSPECT, self.name()));
    }
  }

  private void adjustHealth(int change) {
    health = Math.max(0, Math.min(MAX_HEALTH_SCORE, health + change));
  }

  private void relayPing(MembershipUpdate from, PingRequest request) {
    long pingNumber = ++lastPingNumber;
    relayedPings.put(pingNumber, new RelayedPing(from, request.number()));
    double timeout = settings.ackTimeout();
    sendTo(request.address(), request.name(), new Ping(pingNumber));
    schedule(
        timeout / 2,
        () -> {
          if (relayedPings.containsKey(pingNumber)) {
            sendTo(request.address(), request.name(), new Ping(pingNumber));
          }
        });
    schedule(
        NACK_TIMEOUT_FRACTION * timeout,
        () -> {
          if (relayedPings.containsKey(pingNumber)) {
            send(from, new Nack(request.number()));
          }
        });
    schedule(2 * timeout, () -> relayedPings.remove(pingNumber));
  }

  // ---- Receiving ----

  /** Handles an envelope that has arrived from this address. */
  public void received(double at, String address, Envelope envelope) {
    runDueTasks(at);
    if (left || !envelope.isValid()) {
      return;
    }
    MembershipUpdate from = envelope.self();
    if (from.name().equals(self.name())) {
      if (from.run() != self.run()) {
        callbacks.nameConflict(from);
      }
      return;
    }
    applyUpdate(from);
    envelope.news().forEach(this::applyUpdate);
    Message message = envelope.message();
    if (message instanceof Ping ping) {
      sendTo(address, from.name(), new Ack(ping.number()));
    } else if (message instanceof Ack ack) {
      handleAck(ack.number());
    } else if (message instanceof PingRequest request) {
      relayPing(from, request);
    } else if (message instanceof Nack nack) {
      Probe probe = probes.get(nack.number());
      if (probe != null) {
        probe.nacks = Math.min(probe.helpers, probe.nacks + 1);
      }
    } else if (message instanceof Digest digest) {
      if (digest.hash() != digest()) {
        sendFullState(address, from.name(), true);
      }
    } else if (message instanceof Sync sync) {
      sync.all().forEach(this::applyUpdate);
      if (sync.asks()) {
        sendFullState(address, from.name(), false);
      }
    }
  }

  private void handleAck(long pingNumber) {
    Probe probe = probes.get(pingNumber);
    if (probe != null) {
      probe.answered = true;
    }
    RelayedPing forwarded = relayedPings.remove(pingNumber);
    if (forwarded != null) {
      send(forwarded.requester(), new Ack(forwarded.number()));
    }
  }

  private void applyUpdate(MembershipUpdate update) {
    if (update.name().equals(self.name())) {
      refute(update);
      return;
    }
    Peer known = peers.get(update.name());
    Suspicion suspicion = suspicions.get(update.name());
    if (known != null
        && suspicion != null
        && update.standing() == MemberStatus.SUSPECT
        && update.incarnation() == known.update().incarnation()) {
      if (suspicion.confirm(update.by())) {
        gossip.add(update);
        scheduleFailure(update, suspicion);
      }
      return;
    }
    if (known == null ? peers.size() >= MAX_PEERS : !update.supersedes(known.update())) {
      return;
    }
    Peer updated = new Peer(update, now);
    peers.put(update.name(), updated);
    suspicions.remove(update.name());
    if (update.standing() == MemberStatus.SUSPECT) {
      double minSuspicion =
          MIN_SUSPICION_PERIODS * settings.probePeriod() * Math.max(1, Math.log10(presentCount()));
      Suspicion suspected =
          new Suspicion(
              now, minSuspicion, MAX_SUSPICION_FACTOR * minSuspicion, presentCount(), update.by());
      suspicions.put(update.name(), suspected);
      scheduleFailure(update, suspected);
    }
    gossip.add(update);
    callbacks.statusChanged(known, updated);
  }

  /**
   * Marks the suspected member as failed when the suspicion times out. Confirmations shorten the
   * timeout; a refutation cancels the suspicion.
   */
  private void scheduleFailure(MembershipUpdate update, Suspicion suspicion) {
    schedule(
        suspicion.endsAt() - now,
        () -> {
          if (suspicions.get(update.name()) == suspicion && suspicion.endsAt() <= now) {
            applyUpdate(
                peers.get(update.name()).update().withStatus(MemberStatus.FAILED, self.name()));
          }
        });
  }

  /** Refutes a wrong update about this member with a higher incarnation. */
  private void refute(MembershipUpdate update) {
    boolean correct = update.standing() == MemberStatus.ALIVE && update.run() == self.run();
    if (correct || update.incarnation() < self.incarnation()) {
      return;
    }
    self =
        new MembershipUpdate(
            self.name(),
            self.address(),
            self.run(),
            update.incarnation() + 1,
            MemberStatus.ALIVE,
            self.name());
    gossip.add(self);
    if (update.run() == self.run()) {
      // This member was suspected although it is running, so it may be slow.
      adjustHealth(1);
    }
  }

  // ---- Anti-entropy ----

  /**
   * Returns a hash that is equal on two members with the same state. A suspected member contributes
   * the same value as an alive one, because suspicions are short.
   */
  private long digest() {
    long hash = hash(self);
    for (Peer peer : peers.values()) {
      hash ^= hash(peer.update());
    }
    return hash;
  }

  private static long hash(MembershipUpdate update) {
    boolean present =
        update.standing() == MemberStatus.ALIVE || update.standing() == MemberStatus.SUSPECT;
    String text =
        update.name()
            + " "
            + update.run()
            + " "
            + update.incarnation()
            + " "
            + (present ? "" : update.standing());
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  private void compareDigests() {
    schedule(settings.digestPeriod() * (0.5 + random.nextDouble()), this::compareDigests);
    List<Peer> presentPeers = presentPeers(null);
    if (!presentPeers.isEmpty()) {
      send(presentPeers.get(random.nextInt(presentPeers.size())).update(), new Digest(digest()));
    }
  }

  /**
   * Contacts a member that is marked as failed, or a seed that is not a known member, in case a
   * partition has healed.
   */
  private void retryUnreachable() {
    schedule(settings.retryPeriod() * (0.5 + random.nextDouble()), this::retryUnreachable);
    List<String> addresses = new ArrayList<>(seeds);
    for (Peer peer : peers.values()) {
      addresses.remove(peer.update().address());
      if (peer.status() == MemberStatus.FAILED) {
        addresses.add(peer.update().address());
      }
    }
    if (!addresses.isEmpty()) {
      sendDigest(addresses.get(random.nextInt(addresses.size())));
    }
  }

  private void sendFullState(String address, String name, boolean requestReply) {
    List<MembershipUpdate> chunk = new ArrayList<>();
    int remainingBytes =
        settings.maxEnvelopeBytes() - ENVELOPE_OVERHEAD_BYTES - self.maxEncodedBytes();
    for (Peer peer : peers.values()) {
      MembershipUpdate update = peer.update();
      if (update.maxEncodedBytes() > remainingBytes) {
        sendTo(address, name, new Sync(List.copyOf(chunk), false));
        chunk.clear();
        remainingBytes =
            settings.maxEnvelopeBytes() - ENVELOPE_OVERHEAD_BYTES - self.maxEncodedBytes();
      }
      chunk.add(update);
      remainingBytes -= update.maxEncodedBytes();
    }
    sendTo(address, name, new Sync(List.copyOf(chunk), requestReply));
  }
}
