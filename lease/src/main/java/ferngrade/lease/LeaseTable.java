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
 * Who owns which duty, made of the log alone: the same at every member. A member has a session,
 * which it renews; its shards change hands when it gives them back, or when another proposes the
 * end of the session with the number of renewals that it has seen for longer than any hold lasts.
 * Each grant has an epoch above all before it.
 *
 * <p>No clock is read here. Members' wall clocks come with their renewals, and stop only what lies
 * ahead of most of them.
 */
public final class LeaseTable implements ReplicatedStateMachine {
  /**
   * How far ahead of the middle of the members' clocks a due time may lie: they are as old as their
   * renewals.
   */
  private static final long AHEAD = 5_000;

  /** One process of a member that takes duties. */
  public record Session(
      long id, String member, String nonce, long renewals, boolean draining, long wall) {
    private Session renewed(long now) {
      return new Session(id, member, nonce, renewals + 1, draining, now);
    }
  }

  /**
   * One shard: its owner's session, 0 for none; the epoch of that; whether the owner is asked to
   * give it back; the member that operators want, empty for none; what is due and was begun last,
   * whether that is still open, the epoch that began it, and what became of it; the index at which
   * the owner got it, and why.
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

    private Slot owned(long by, long with, long from, String because) {
      return new Slot(shard, by, with, false, wanted, due, open, begunBy, result, from, because);
    }

    private Slot asked(boolean back) {
      return new Slot(shard, owner, epoch, back, wanted, due, open, begunBy, result, since, why);
    }

    private Slot wanting(String member) {
      return new Slot(
          shard, owner, epoch, releasing, member, due, open, begunBy, result, since, why);
    }

    private Slot at(long time, boolean still, long by, String became) {
      return new Slot(shard, owner, epoch, releasing, wanted, time, still, by, became, since, why);
    }
  }

  /** All of the table, as a snapshot holds it. */
  record Image(
      long index, long lastEpoch, List<Session> sessions, List<Slot> slots, List<Wall> walls) {}

  /** The wall clock that a member told last. */
  record Wall(String member, long time) {}

  private final TreeMap<Long, Session> sessions = new TreeMap<>();
  private final TreeMap<Shard, Slot> slots = new TreeMap<>();
  private final TreeMap<String, Long> walls = new TreeMap<>();
  private long lastEpoch;
  private long index;

  /** The index of the last command applied. */
  public long index() {
    return index;
  }

  /** The sessions that are open. */
  public Collection<Session> sessions() {
    return sessions.values();
  }

  /** A session, null if it is over or was never opened. */
  public Session session(long id) {
    return sessions.get(id);
  }

  /** All shards. */
  public Collection<Slot> slots() {
    return slots.values();
  }

  /** A shard, null if nobody has brought it. */
  public Slot slot(Shard shard) {
    return slots.get(shard);
  }

  /** The member that owns a shard, null for none. */
  public String owner(Slot slot) {
    Session session = sessions.get(slot.owner());
    return session == null ? null : session.member();
  }

  @Override
  public Object apply(long at, Object proposed) {
    index = at;
    if (!(proposed instanceof Command command)) {
      throw new IllegalArgumentException("no command on duties: " + proposed);
    }
    if (command instanceof Command.Open open) {
      return open(open);
    } else if (command instanceof Command.Renew renew) {
      Session renewed =
          sessions.computeIfPresent(
              renew.session(), (id, session) -> session.renewed(renew.wall()));
      if (renewed != null) {
        walls.put(renewed.member(), renew.wall());
      }
      return renewed != null;
    } else if (command instanceof Command.Expire expire) {
      Session session = sessions.get(expire.session());
      return session != null && session.renewals() == expire.renewals() && end(session, "silent");
    } else if (command instanceof Command.Close close) {
      Session session = sessions.get(close.session());
      if (session != null) {
        walls.remove(session.member());
      }
      return session != null && end(session, "left");
    } else if (command instanceof Command.Release release) {
      Slot slot = slots.get(release.shard());
      return slot != null
          && slot.owner() == release.session()
          && slot.epoch() == release.epoch()
          && give(free(slot), "handed over by " + owner(slot));
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
    walls.put(open.member(), open.wall());
    for (Session session : sessions.values()) {
      if (session.member().equals(open.member()) && session.nonce().equals(open.nonce())) {
        // Asked for again: a hold may be counted from this asking, so it is a renewal too.
        sessions.put(session.id(), session.renewed(open.wall()));
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

  private boolean end(Session session, String why) {
    sessions.remove(session.id());
    for (Slot slot : List.copyOf(slots.values())) {
      if (slot.owner() == session.id()) {
        give(free(slot), session.member() + " " + why);
      }
    }
    return true;
  }

  private boolean transfer(Command.Transfer transfer) {
    Slot slot = slots.get(transfer.shard());
    boolean known =
        transfer.member().isEmpty()
            || sessions.values().stream().anyMatch(each -> each.member().equals(transfer.member()));
    if (slot == null || !known) {
      return false;
    }
    slots.put(slot.shard(), slot.wanting(transfer.member()));
    rebalance();
    return true;
  }

  // ---- Who should own what ----

  private static Slot free(Slot slot) {
    return slot.owned(0, slot.epoch(), slot.since(), slot.why());
  }

  /**
   * Gives a shard that nobody owns to the member that should have it; it stays free where there is
   * none.
   */
  private boolean give(Slot slot, String why) {
    Session best = best(slot);
    slots.put(slot.shard(), best == null ? slot : slot.owned(best.id(), ++lastEpoch, index, why));
    return true;
  }

  /**
   * The session that should have a shard, null for none: that of the member whom operators want,
   * else the highest of the members' hashes with the shard (rendezvous), so that a change of one
   * member moves its own shards alone.
   */
  private Session best(Slot slot) {
    Map<String, Session> newest = newest();
    newest.values().removeIf(Session::draining);
    Session wanted = newest.get(slot.wanted());
    if (wanted != null) {
      return wanted;
    }
    Session best = null;
    int highest = 0;
    for (Session session : newest.values()) {
      int hash =
          MurmurHash3.hash32x86(
              (session.member() + " " + slot.shard()).getBytes(StandardCharsets.UTF_8));
      if (best == null || hash > highest) {
        best = session;
        highest = hash;
      }
    }
    return best;
  }

  /** The last session of each member: a process before it may not have been seen to be over. */
  private Map<String, Session> newest() {
    Map<String, Session> newest = new TreeMap<>();
    sessions.values().forEach(session -> newest.put(session.member(), session));
    return newest;
  }

  /** Asks owners to give back what another should have, and gives away what is free. */
  private void rebalance() {
    for (Slot slot : List.copyOf(slots.values())) {
      if (slot.owner() == 0) {
        give(slot, slot.why());
        continue;
      }
      Session best = best(slot);
      Session owner = sessions.get(slot.owner());
      boolean releasing =
          (best != null && best.id() != slot.owner()) || (best == null && owner.draining());
      if (releasing != slot.releasing()) {
        slots.put(slot.shard(), slot.asked(releasing));
      }
    }
  }

  // ---- Effects ----

  /**
   * The guard where an effect lands: an older epoch, a repeat and a clock that is far ahead are
   * refused.
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
    if (begin.due() > middle() + AHEAD) {
      return Verdict.EARLY;
    }
    slots.put(slot.shard(), slot.at(begin.due(), true, begin.epoch(), ""));
    return Verdict.ACCEPTED;
  }

  /**
   * The lower middle of the wall clocks of all members that have not left: where two differ, the
   * one that is behind counts. One that is silent counts with what it told last, so that it cannot
   * lend its place to one that is wrong.
   */
  private long middle() {
    List<Long> sorted = walls.values().stream().sorted().toList();
    return sorted.isEmpty() ? 0 : sorted.get((sorted.size() - 1) / 2);
  }

  /**
   * The time, Unix ms, by which a member goes whose wall clock says this: its own, unless that is
   * far from the middle of the members' clocks, which is as old as their renewals.
   */
  public long wall(long own) {
    return Math.abs(own - middle()) > AHEAD ? middle() : own;
  }

  private boolean finish(Command.Finish finish) {
    Slot slot = slots.get(finish.shard());
    if (slot == null
        || slot.epoch() != finish.epoch()
        || slot.due() != finish.due()
        || !slot.open()) {
      return false;
    }
    slots.put(slot.shard(), slot.at(slot.due(), false, slot.begunBy(), finish.result()));
    return true;
  }

  @Override
  public Object snapshot() {
    return new Image(
        index,
        lastEpoch,
        new ArrayList<>(sessions.values()),
        new ArrayList<>(slots.values()),
        new ArrayList<>(
            walls.entrySet().stream()
                .map(each -> new Wall(each.getKey(), each.getValue()))
                .toList()));
  }

  @Override
  public void restore(long at, Object snapshot) {
    Image image = (Image) snapshot;
    index = Math.max(at, image.index());
    lastEpoch = image.lastEpoch();
    sessions.clear();
    image.sessions().forEach(session -> sessions.put(session.id(), session));
    slots.clear();
    image.slots().forEach(slot -> slots.put(slot.shard(), slot));
    walls.clear();
    image.walls().forEach(each -> walls.put(each.member(), each.time()));
  }
}
