package ferngrade.lease;

import ferngrade.lease.LeaseTable.Session;
import ferngrade.lease.LeaseTable.Slot;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Maintains the session of one member and tracks the shards that the member holds under a lease.
 * The lease is measured by the member's own clock. It begins at a time before its renewal was
 * proposed, and is shortened by the maximum drift of that clock. The member proposes to expire
 * another session only after it has seen no renewal of that session for the lease time, extended by
 * the same drift. So no lease outlasts its session, whatever the message delays, as long as no
 * clock drifts by more than the bound.
 *
 * <p>All times are ms of the member's monotonic clock. This class reads no clock and starts no
 * thread or timer.
 */
public final class LeaseHolder {
  /** The number of renewal attempts within a lease. */
  private static final double RENEWALS_PER_LEASE = 4;

  private final String member;
  private final String nonce;
  private final List<Shard> shards;
  private final Timing timing;
  private final Proposer proposer;
  private final Map<Long, ObservedSession> observedSessions = new HashMap<>();
  private final Map<Shard, ReleasedShard> releasedShards = new HashMap<>();
  private long session;
  private int reopenCount;
  private double leaseExpiresAt = Double.NEGATIVE_INFINITY;
  private double nextRenewalAt = Double.NEGATIVE_INFINITY;
  private boolean draining;
  private boolean closed;

  /**
   * The timing of leases. A member that pauses for less than the lease time, minus the renewal
   * interval and the round-trip time of a renewal, loses no shard.
   *
   * @param leaseMillis how long a lease lasts without a renewal
   * @param maxClockDrift the maximum relative error of a clock
   */
  public record Timing(double leaseMillis, double maxClockDrift) {}

  /** Proposes a command to the log; its result is reported by {@link #commandAnswered}. */
  @FunctionalInterface
  public interface Proposer {
    /** Proposes a command. */
    void propose(Command command);
  }

  /**
   * Another member's session as it was observed last.
   *
   * @param renewals its number of renewals
   * @param unchangedSince when this number was observed first
   * @param expiryProposedAt when its expiry was proposed last
   */
  private record ObservedSession(long renewals, double unchangedSince, double expiryProposedAt) {}

  /**
   * A shard that was released under this epoch. The proposal may be lost and is repeated at {@code
   * retryAt}.
   */
  private record ReleasedShard(long epoch, double retryAt) {}

  /**
   * Creates a member that can own these shards; the nonce distinguishes this process from other
   * processes of the same member.
   */
  public LeaseHolder(
      String member, String nonce, List<Shard> shards, Timing timing, Proposer proposer) {
    this.member = member;
    this.nonce = nonce;
    this.shards = List.copyOf(shards);
    this.timing = timing;
    this.proposer = proposer;
  }

  /**
   * Returns the interval between two calls of {@link #tick}, ms. It is a fraction of the lease
   * time.
   */
  public double tickIntervalMillis() {
    return timing.leaseMillis() / RENEWALS_PER_LEASE / 4;
  }

  /** Proposes the commands that are due now; {@code wall} is the member's wall clock, Unix ms. */
  public void tick(double now, long wall, LeaseTable table) {
    if (closed) {
      return;
    }
    if (session != 0 && table.index() >= session && table.session(session) == null) {
      // Other members have expired this session, and its shards may have new owners: a new session
      // must be opened.
      session = 0;
      reopenCount++;
      leaseExpiresAt = Double.NEGATIVE_INFINITY;
      nextRenewalAt = now;
    }
    if (now >= nextRenewalAt) {
      nextRenewalAt =
          now + (draining ? tickIntervalMillis() : timing.leaseMillis() / RENEWALS_PER_LEASE);
      proposer.propose(
          session == 0
              ? new Command.Open(member, nonce + "-" + reopenCount, wall, shards)
              : new Command.Renew(session, wall));
      if (draining && session != 0) {
        proposer.propose(new Command.Drain(session));
      }
    }
    releaseShards(now, table);
    expireSessions(now, table);
  }

  private void releaseShards(double now, LeaseTable table) {
    boolean ownsShard = false;
    for (Slot slot : table.slots()) {
      if (session == 0 || slot.owner() != session) {
        continue;
      }
      ownsShard = true;
      ReleasedShard released = releasedShards.get(slot.shard());
      boolean alreadyReleased = released != null && released.epoch() == slot.epoch();
      if (alreadyReleased ? now >= released.retryAt() : slot.releasing()) {
        // The shard is not used under this epoch any more, whether or not the proposal succeeds.
        releasedShards.put(
            slot.shard(),
            new ReleasedShard(slot.epoch(), now + timing.leaseMillis() / RENEWALS_PER_LEASE));
        proposer.propose(new Command.Release(session, slot.shard(), slot.epoch()));
      }
    }
    Session own = table.session(session);
    if (draining && own != null && own.draining() && !ownsShard) {
      closed = true;
      proposer.propose(new Command.Close(session));
    }
  }

  /**
   * Proposes to expire sessions for which this member has seen no renewal for longer than any lease
   * lasts.
   */
  private void expireSessions(double now, LeaseTable table) {
    observedSessions.keySet().removeIf(id -> table.session(id) == null);
    for (Session other : table.sessions()) {
      if (other.id() == session) {
        continue;
      }
      ObservedSession last = observedSessions.get(other.id());
      if (last == null || last.renewals() != other.renewals()) {
        observedSessions.put(
            other.id(), new ObservedSession(other.renewals(), now, Double.NEGATIVE_INFINITY));
      } else if (now - last.unchangedSince() > timing.leaseMillis() * (1 + timing.maxClockDrift())
          && now - last.expiryProposedAt() > timing.leaseMillis() / RENEWALS_PER_LEASE) {
        observedSessions.put(
            other.id(), new ObservedSession(other.renewals(), last.unchangedSince(), now));
        proposer.propose(new Command.Expire(other.id(), other.renewals()));
      }
    }
  }

  /**
   * Handles the result of a command that was proposed at {@code proposedAt}. Not called for a
   * proposal whose outcome is unknown.
   */
  public void commandAnswered(double proposedAt, Command command, Object result) {
    if (command instanceof Command.Open
        && result instanceof Command.Opened answer
        && session == 0) {
      session = answer.session();
      extendLease(proposedAt);
    } else if (command instanceof Command.Renew renew
        && renew.session() == session
        && Boolean.TRUE.equals(result)) {
      extendLease(proposedAt);
    }
  }

  private void extendLease(double proposedAt) {
    leaseExpiresAt =
        Math.max(leaseExpiresAt, proposedAt + timing.leaseMillis() * (1 - timing.maxClockDrift()));
  }

  /**
   * Returns the epoch under which this member may act for a shard now, or empty if it does not hold
   * the shard.
   */
  public OptionalLong epoch(Shard shard, double now, LeaseTable table) {
    Slot slot = table.slot(shard);
    ReleasedShard released = releasedShards.get(shard);
    boolean owned =
        slot != null
            && session != 0
            && slot.owner() == session
            && !slot.releasing()
            && (released == null || released.epoch() != slot.epoch());
    return owned && now < leaseExpiresAt ? OptionalLong.of(slot.epoch()) : OptionalLong.empty();
  }

  /**
   * Returns whether the lease is valid: less than the lease time has passed since the last
   * successful renewal was proposed.
   */
  public boolean leaseValid(double now) {
    return now < leaseExpiresAt;
  }

  /**
   * Stops acquiring shards and releases the shards that are held; {@link #closed} returns true when
   * this is done.
   */
  public void drain() {
    draining = true;
    nextRenewalAt = Double.NEGATIVE_INFINITY;
  }

  /** Returns whether all shards were released and the close of the session was proposed. */
  public boolean closed() {
    return closed;
  }
}
