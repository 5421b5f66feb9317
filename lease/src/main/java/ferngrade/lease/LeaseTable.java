package ferngrade.lease;

import ferngrade.consensus.ReplicatedStateMachine;
import ferngrade.lease.Command.Begun;
import ferngrade.lease.Command.Opened;
import ferngrade.lease.Command.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns the shards of the fleet's duties to members. The state depends on the replicated log
 * alone, so it is the same on every member. A member has a session, which it renews. A shard
 * changes its owner when the owner releases it, or when another member proposes to expire the
 * owner's session. The proposal contains the session's number of renewals as observed by the
 * proposer. The proposer must have observed that this number did not change for longer than any
 * lease lasts. Each assignment has an epoch higher than all earlier ones.
 *
 * <p>The table reads no clock. Members report their wall clocks with their renewals; these clocks
 * are used only to reject due times that are ahead of most members' clocks.
 */
public final class LeaseTable implements ReplicatedStateMachine {
  /**
   * The maximum time in ms by which a due time may be ahead of the median of the members' clocks.
   * The margin is needed because members report their clocks only with their renewals, so that the
   * median lags behind.
   */
  private static final long MAX_AHEAD_MILLIS = 5_000;

  /** A session: one process of a member that can own shards. */
  public record Session(
      long id, String member, String nonce, long renewals, boolean draining, long wall) {
    private Session withRenewal(long memberWall) {
      return new Session(id, member, nonce, renewals + 1, draining, memberWall);
    }
  }

  /**
   * The state of one shard.
   *
   * @param shard the shard
   * @param owner the id of the owner's session, 0 if the shard has no owner
   * @param epoch the epoch of the last assignment
   * @param releasing whether the owner has to release the shard
   * @param wanted the member that operators have chosen as the owner, empty for none
   * @param due the due time that was begun last, Unix ms
   * @param open whether that due time has no result yet
   * @param begunBy the epoch under which that due time was begun
   * @param result the result of that due time, empty while it is open
   * @param since the log index at which the owner was assigned
   * @param why the reason for the assignment
   */
  public record Slot(
      Shard shard,
      long owner,
      long epoch,
      boolean releasing,
      String wanted,
      long due,
      boolean open,
      long begunBy,
      String result,
      long since,
      String why) {
    private static Slot first(Shard shard, long index) {
      return new Slot(shard, 0, 0, false, "", 0, false, 0, "", index, "new");
    }

    private Slot withOwner(long newOwner, long newEpoch, long assignedAt, String reason) {
      return new Slot(
          shard, newOwner, newEpoch, false, wanted, due, open, begunBy, result, assignedAt, reason);
    }

    private Slot withReleasing(boolean requested) {
      return new Slot(
          shard, owner, epoch, requested, wanted, due, open, begunBy, result, since, why);
    }

    private Slot withWantedMember(String member) {
      return new Slot(
          shard, owner, epoch, releasing, member, due, open, begunBy, result, since, why);
    }

    private Slot withDue(long time, boolean pending, long byEpoch, String outcome) {
      return new Slot(
          shard, owner, epoch, releasing, wanted, time, pending, byEpoch, outcome, since, why);
    }
  }

  /** The whole table as it is stored in a snapshot. */
  record Snapshot(
      long index,
      long lastEpoch,
      List<Session> sessions,
      List<Slot> slots,
      List<WallClock> walls) {}

  /** The wall clock that a member reported last, Unix ms. */
  record WallClock(String member, long time) {}

  private final TreeMap<Long, Session> sessions = new TreeMap<>();
  private final TreeMap<Shard, Slot> slots = new TreeMap<>();
  private final TreeMap<String, Long> wallClocks = new TreeMap<>();
  private long lastEpoch;
  private long index;

  /** Returns the log index of the last command that was applied. */
  public long index() {
    return index;
  }

  /** Returns the open sessions. */
  public Collection<Session> sessions() {
    return sessions.values();
  }

  /** Returns a session, or null if it has ended or was never opened. */
  public Session session(long id) {
    return sessions.get(id);
  }

  /** Returns all shards. */
  public Collection<Slot> slots() {
    return slots.values();
  }

  /** Returns a shard, or null if no member has declared it. */
  public Slot slot(Shard shard) {
    return slots.get(shard);
  }

  /** Returns the name of the member that owns a shard, or null if it has no owner. */
  public String owner(Slot slot) {
    Session session = sessions.get(slot.owner());
    return session == null ? null : session.member();
  }

  @Override
  public Object apply(long commandIndex, Object proposed) {
    index = commandIndex;
    if (!(proposed instanceof Command command)) {
      throw new IllegalArgumentException("not a lease command: " + proposed);
    }
    if (command instanceof Command.Open open) {
      return open(open);
    } else if (command instanceof Command.Renew renew) {
      Session renewed =
          sessions.computeIfPresent(
              renew.session(), (id, session) -> session.withRenewal(renew.wall()));
      if (renewed != null) {
        wallClocks.put(renewed.member(), renew.wall());
      }
      return renewed != null;
    } else if (command instanceof Command.Expire expire) {
      Session session = sessions.get(expire.session());
      return session != null
          && session.renewals() == expire.renewals()
          && endSession(session, "silent");
    } else if (command instanceof Command.Close close) {
      Session session = sessions.get(close.session());
      if (session != null) {
        wallClocks.remove(session.member());
      }
      return session != null && endSession(session, "left");
    } else if (command instanceof Command.Release release) {
      Slot slot = slots.get(release.shard());
      return slot != null
          && slot.owner() == release.session()
          && slot.epoch() == release.epoch()
          && assign(withoutOwner(slot), "handed over by " + owner(slot));
    } else if (command instanceof Command.Drain drain) {
      boolean known =
          sessions.computeIfPresent(
                  drain.session(),
                  (id, session) ->
                      new Session(
                          id,
                          session.member(),
                          session.nonce(),
                          session.renewals(),
                          true,
                          session.wall()))
              != null;
      rebalance();
      return known;
    } else if (command instanceof Command.Transfer transfer) {
      return transfer(transfer);
    } else if (command instanceof Command.Begin begin) {
      return new Begun(begin(begin));
    }
    return finish((Command.Finish) command);
  }

  private Opened open(Command.Open open) {
    wallClocks.put(open.member(), open.wall());
    for (Session session : sessions.values()) {
      if (session.member().equals(open.member()) && session.nonce().equals(open.nonce())) {
        // The member repeated its request and measures its lease from the repeated request, so the
        // request also counts as a renewal.
        sessions.put(session.id(), session.withRenewal(open.wall()));
        return new Opened(session.id());
      }
    }
    sessions.put(index, new Session(index, open.member(), open.nonce(), 0, false, open.wall()));
    for (Shard shard : open.shards()) {
      slots.computeIfAbsent(shard, key -> Slot.first(key, index));
    }
    rebalance();
    return new Opened(index);
  }

  private boolean endSession(Session session, String reason) {
    sessions.remove(session.id());
    for (Slot slot : List.copyOf(slots.values())) {
      if (slot.owner() == session.id()) {
        assign(withoutOwner(slot), session.member() + " " + reason);
      }
    }
    return true;
  }

  private boolean transfer(Command.Transfer transfer) {
    Slot slot = slots.get(transfer.shard());
    boolean memberKnown =
        transfer.member().isEmpty()
            || sessions.values().stream()
                .anyMatch(session -> session.member().equals(transfer.member()));
    if (slot == null || !memberKnown) {
      return false;
    }
    slots.put(slot.shard(), slot.withWantedMember(transfer.member()));
    rebalance();
    return true;
  }

  // ---- Assignment ----

  private static Slot withoutOwner(Slot slot) {
    return slot.withOwner(0, slot.epoch(), slot.since(), slot.why());
  }

  /**
   * Assigns a shard without an owner to its preferred session. The shard stays without an owner if
   * no session qualifies.
   */
  private boolean assign(Slot slot, String reason) {
    Session preferred = preferredSession(slot);
    slots.put(
        slot.shard(),
        preferred == null ? slot : slot.withOwner(preferred.id(), ++lastEpoch, index, reason));
    return true;
  }

  /**
   * Returns the session that should own a shard, or null if there is none: the session of the
   * member that operators have chosen, else the one with the highest hash of member and shard
   * (rendezvous hashing). If one member joins or leaves, only the shards of that member therefore
   * move.
   */
  private Session preferredSession(Slot slot) {
    Map<String, Session> sessionByMember = latestSessions();
    sessionByMember.values().removeIf(Session::draining);
    Session chosen = sessionByMember.get(slot.wanted());
    if (chosen != null) {
      return chosen;
    }
    Session preferred = null;
    int highestHash = 0;
    for (Session session : sessionByMember.values()) {
      int hash =
          MurmurHash3.hash32x86(
              (session.member() + " " + slot.shard()).getBytes(StandardCharsets.UTF_8));
      if (preferred == null || hash > highestHash) {
        preferred = session;
        highestHash = hash;
      }
    }
    return preferred;
  }

  /**
   * Returns the latest session of each member. The session of a predecessor process may still be
   * open.
   */
  private Map<String, Session> latestSessions() {
    Map<String, Session> sessionByMember = new TreeMap<>();
    sessions.values().forEach(session -> sessionByMember.put(session.member(), session));
    return sessionByMember;
  }

  /**
   * Asks owners to release the shards that another member should own, and assigns the shards
   * without an owner.
   */
  private void rebalance() {
    for (Slot slot : List.copyOf(slots.values())) {
      if (slot.owner() == 0) {
        assign(slot, slot.why());
        continue;
      }
      Session preferred = preferredSession(slot);
      Session owner = sessions.get(slot.owner());
      boolean releasing =
          (preferred != null && preferred.id() != slot.owner())
              || (preferred == null && owner.draining());
      if (releasing != slot.releasing()) {
        slots.put(slot.shard(), slot.withReleasing(releasing));
      }
    }
  }

  // ---- Due times ----

  /**
   * Decides whether an owner may act on a due time. Rejects an outdated epoch, a due time that was
   * begun before, and one that is far ahead of the clocks of most members.
   */
  private Verdict begin(Command.Begin begin) {
    Slot slot = slots.get(begin.shard());
    if (slot == null || slot.owner() == 0 || slot.epoch() != begin.epoch()) {
      return Verdict.STALE;
    }
    if (begin.due() <= slot.due()) {
      return Verdict.REPEATED;
    }
    if (slot.open()) {
      return Verdict.OPEN;
    }
    if (begin.due() > medianWallClock() + MAX_AHEAD_MILLIS) {
      return Verdict.EARLY;
    }
    slots.put(slot.shard(), slot.withDue(begin.due(), true, begin.epoch(), ""));
    return Verdict.ACCEPTED;
  }

  /**
   * Returns the lower median of the wall clocks of all members that have not left; with two
   * members, this is the earlier clock. For a member that no longer renews its session, the clock
   * that it reported last is used. Without that clock, a wrong clock could become the median.
   */
  private long medianWallClock() {
    List<Long> sorted = wallClocks.values().stream().sorted().toList();
    return sorted.isEmpty() ? 0 : sorted.get((sorted.size() - 1) / 2);
  }

  /**
   * Returns the time that a member uses, in Unix ms. {@code own} is the time of the member's own
   * wall clock. The method returns {@code own} unless this time differs from the median of the
   * members' wall clocks by more than {@code MAX_AHEAD_MILLIS}. In that case the method returns the
   * median. The median is as old as the members' last renewals.
   */
  public long correctedWallClock(long own) {
    return Math.abs(own - medianWallClock()) > MAX_AHEAD_MILLIS ? medianWallClock() : own;
  }

  private boolean finish(Command.Finish finish) {
    Slot slot = slots.get(finish.shard());
    if (slot == null
        || slot.epoch() != finish.epoch()
        || slot.due() != finish.due()
        || !slot.open()) {
      return false;
    }
    slots.put(slot.shard(), slot.withDue(slot.due(), false, slot.begunBy(), finish.result()));
    return true;
  }

  @Override
  public Object snapshot() {
    return new Snapshot(
        index,
        lastEpoch,
        new ArrayList<>(sessions.values()),
        new ArrayList<>(slots.values()),
        new ArrayList<>(
            wallClocks.entrySet().stream()
                .map(entry -> new WallClock(entry.getKey(), entry.getValue()))
                .toList()));
  }

  @Override
  public void restore(long snapshotIndex, Object snapshot) {
    Snapshot restored = (Snapshot) snapshot;
    index = Math.max(snapshotIndex, restored.index());
    lastEpoch = restored.lastEpoch();
    sessions.clear();
    restored.sessions().forEach(session -> sessions.put(session.id(), session));
    slots.clear();
    restored.slots().forEach(slot -> slots.put(slot.shard(), slot));
    wallClocks.clear();
    restored.walls().forEach(wall -> wallClocks.put(wall.member(), wall.time()));
  }
}
