package ferngrade.lease;

import java.util.List;

/**
 * A command that members propose to the replicated log to manage sessions, shards and due times.
 * Times are Unix ms of a member's wall clock.
 */
public sealed interface Command {
  /** The classes of commands, results and snapshots. Their order defines the stored format. */
  List<Class<?>> CLASSES =
      List.of(
          Shard.class,
          Open.class,
          Renew.class,
          Expire.class,
          Close.class,
          Release.class,
          Drain.class,
          Transfer.class,
          Begin.class,
          Finish.class,
          Opened.class,
          Begun.class,
          Verdict.class,
          LeaseTable.Session.class,
          LeaseTable.Slot.class,
          LeaseTable.Snapshot.class,
          LeaseTable.WallClock.class);

  /**
   * Opens a session, in which a process of this member can own shards. The nonce distinguishes the
   * process from other processes of the same member.
   */
  record Open(String member, String nonce, long wall, List<Shard> shards) implements Command {}

  /** Renews a session and reports the wall clock of its member. */
  record Renew(long session, long wall) implements Command {}

  /** Ends another member's session if its number of renewals is still {@code renewals}. */
  record Expire(long session, long renewals) implements Command {}

  /** Ends the proposer's own session, which owns no shards any more. */
  record Close(long session) implements Command {}

  /** Releases a shard, for which its owner has stopped acting. */
  record Release(long session, Shard shard, long epoch) implements Command {}

  /** Stops the assignment of shards to a session and asks it to release the shards that it owns. */
  record Drain(long session) implements Command {}

  /**
   * Sets the member that operators choose as the owner of a shard; an empty name lets the table
   * choose again.
   */
  record Transfer(Shard shard, String member) implements Command {}

  /** Requests permission to act on a due time; proposed by the owner of the shard. */
  record Begin(Shard shard, long epoch, long due) implements Command {}

  /**
   * Records the result of a due time that was begun. A later owner also records it for a due time
   * that an earlier owner has begun.
   */
  record Finish(Shard shard, long epoch, long due, String result) implements Command {}

  /** The result of {@link Open}: the session that was opened. */
  record Opened(long session) {}

  /** The result of {@link Begin}. */
  record Begun(Verdict verdict) {}

  /** Whether an owner may act on a due time. */
  enum Verdict {
    /** The owner may act once. */
    ACCEPTED,
    /** The epoch is outdated: the shard has another owner or none. */
    STALE,
    /** This due time or a later one was begun before. */
    REPEATED,
    /** The due time is ahead of most members' clocks. */
    EARLY,
    /** The due time that was begun last has no result yet. */
    OPEN
  }
}
