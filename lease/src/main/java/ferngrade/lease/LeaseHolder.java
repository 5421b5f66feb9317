package ferngrade.lease;

import ferngrade.lease.LeaseTable.Session;
import ferngrade.lease.LeaseTable.Slot;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * What one member believes it owns, and what it proposes to keep that true. It holds its shards for
 * a time counted by its own clock from before it asked, less a bound on what that clock may be
 * wrong by; it proposes the end of another's session only after it has seen that not renewed for
 * the time and the same bound more. So no hold outlasts a session, whatever the delays, if no clock
 * runs wrong by more than the bound.
 *
 * <p>All times are ms of the member's monotonic clock. It reads no clock and starts nothing by
 * itself.
 */
public final class LeaseHolder {
  /** Tries to renew within a hold. */
  private static final double RENEWALS = 4;

  private final String member;
  private final String nonce;
  private final List<Shard> shards;
  private final Terms terms;
  private final Proposer proposer;
  private final Map<Long, Seen> seen = new HashMap<>();
  private final Map<Shard, Back> released = new HashMap<>();
  private long session;
  private int opened;
  private double holdsUntil = Double.NEGATIVE_INFINITY;
  private double askAt = Double.NEGATIVE_INFINITY;
  private boolean draining;
  private boolean closed;

  /**
   * How long a hold lasts without a renewal, ms, and by what share of the time a clock may be wrong
   * at the most. A member that stands still for less than the hold less a renewal's period and way
   * loses nothing.
   */
  public record Terms(double hold, double drift) {}

  /** Proposes a command to the log; what comes of it is told by {@link #answered}. */
  @FunctionalInterface
  public interface Proposer {
    /** Proposes this. */
    void propose(Command command);
  }

  /** Another's session as it was seen last: how often renewed, and since when here. */
  private record Seen(long renewals, double since, double asked) {}

  /**
   * A shard given back under this epoch; what was proposed may be lost and is proposed again at
   * that time.
   */
  private record Back(long epoch, double again) {}

  /** A member that can own these shards; the nonce tells this process from others of its name. */
  public LeaseHolder(
      String member, String nonce, List<Shard> shards, Terms terms, Proposer proposer) {
    this.member = member;
    this.nonce = nonce;
    this.shards = List.copyOf(shards);
    this.terms = terms;
    this.proposer = proposer;
  }

  /** Ms between two calls of {@link #tick}, several times within a hold. */
  public double period() {
    return terms.hold() / RENEWALS / 4;
  }

  /** Looks what has to be proposed now; {@code wall} is the member's wall clock, Unix ms. */
  public void tick(double now, long wall, LeaseTable table) {
    if (closed) {
      return;
    }
    if (session != 0 && table.index() >= session && table.session(session) == null) {
      // Others have ended it: what it held is somebody else's by now. This process opens another.
      session = 0;
      opened++;
      holdsUntil = Double.NEGATIVE_INFINITY;
      askAt = now;
    }
    if (now >= askAt) {
      askAt = now + (draining ? period() : terms.hold() / RENEWALS);
      proposer.propose(
          session == 0
              ? new Command.Open(member, nonce + "-" + opened, wall, shards)
              : new Command.Renew(session, wall));
      if (draining && session != 0) {
        proposer.propose(new Command.Drain(session));
      }
    }
    giveBack(now, table);
    watch(now, table);
  }

  private void giveBack(double now, LeaseTable table) {
    boolean any = false;
    for (Slot slot : table.slots()) {
      if (session == 0 || slot.owner() != session) {
        continue;
      }
      any = true;
      Back back = released.get(slot.shard());
      boolean given = back != null && back.epoch() == slot.epoch();
      if (given ? now >= back.again() : slot.releasing()) {
        // From here on it is not acted for under this epoch, whatever becomes of the proposal.
        released.put(slot.shard(), new Back(slot.epoch(), now + terms.hold() / RENEWALS));
        proposer.propose(new Command.Release(session, slot.shard(), slot.epoch()));
      }
    }
    Session own = table.session(session);
    if (draining && own != null && own.draining() && !any) {
      closed = true;
      proposer.propose(new Command.Close(session));
    }
  }

  /**
   * Proposes the end of sessions that have not been renewed, seen from here, for longer than any
   * hold lasts.
   */
  private void watch(double now, LeaseTable table) {
    seen.keySet().removeIf(id -> table.session(id) == null);
    for (Session each : table.sessions()) {
      if (each.id() == session) {
        continue;
      }
      Seen last = seen.get(each.id());
      if (last == null || last.renewals() != each.renewals()) {
        seen.put(each.id(), new Seen(each.renewals(), now, Double.NEGATIVE_INFINITY));
      } else if (now - last.since() > terms.hold() * (1 + terms.drift())
          && now - last.asked() > terms.hold() / RENEWALS) {
        seen.put(each.id(), new Seen(each.renewals(), last.since(), now));
        proposer.propose(new Command.Expire(each.id(), each.renewals()));
      }
    }
  }

  /**
   * What a proposal made at {@code asked} came to; one whose outcome is unknown is told to nobody.
   */
  public void answered(double asked, Command command, Object result) {
    if (command instanceof Command.Open && result instanceof Command.Opened given && session == 0) {
      session = given.session();
      hold(asked);
    } else if (command instanceof Command.Renew renew
        && renew.session() == session
        && Boolean.TRUE.equals(result)) {
      hold(asked);
    }
  }

  private void hold(double asked) {
    holdsUntil = Math.max(holdsUntil, asked + terms.hold() * (1 - terms.drift()));
  }

  /** The epoch with which this member may act for a shard now; none if it does not hold it. */
  public OptionalLong epoch(Shard shard, double now, LeaseTable table) {
    Slot slot = table.slot(shard);
    Back back = released.get(shard);
    boolean mine =
        slot != null
            && session != 0
            && slot.owner() == session
            && !slot.releasing()
            && (back == null || back.epoch() != slot.epoch());
    return mine && now < holdsUntil ? OptionalLong.of(slot.epoch()) : OptionalLong.empty();
  }

  /**
   * True while this member's session counts: less than a hold has gone since it asked for its last
   * renewal.
   */
  public boolean holds(double now) {
    return now < holdsUntil;
  }

  /** Takes nothing new and gives back what is held; {@link #left} says when that is done. */
  public void drain() {
    draining = true;
    askAt = Double.NEGATIVE_INFINITY;
  }

  /** True once everything was given back and the session ended. */
  public boolean left() {
    return closed;
  }
}
