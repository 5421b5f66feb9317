package ferngrade.lease;

import java.util.List;

/**
 * What members propose to the log on the fleet's duties. Times are Unix ms of a member's wall
 * clock.
 */
public sealed interface Command {
  /** The classes of commands, results and snapshots, in the order of the format. */
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
          LeaseTable.Image.class,
          LeaseTable.Wall.class);

  /**
   * A process of this member takes duties from here on; the nonce tells it from others under that
   * name.
   */
  record Open(String member, String nonce, long wall, List<Shard> shards) implements Command {}

  /** The session goes on. */
  record Renew(long session, long wall) implements Command {}

  /** Ends another's session, if it was not renewed since it had been renewed so often. */
  record Expire(long session, long renewals) implements Command {}

  /** Ends one's own session, which holds nothing any more. */
  record Close(long session) implements Command {}

  /** Gives a shard back, which its owner no longer acts for. */
  record Release(long session, Shard shard, long epoch) implements Command {}

  /** The session takes no new shards and is to give back those it has. */
  record Drain(long session) implements Command {}

  /**
   * Operators want this member to own a shard; an empty name leaves the choice to the table again.
   */
  record Transfer(Shard shard, String member) implements Command {}

  /** The owner is about to act on what is due at this time. */
  record Begin(Shard shard, long epoch, long due) implements Command {}

  /** What became of what was due; a later owner says it of what an earlier one had begun. */
  record Finish(Shard shard, long epoch, long due, String result) implements Command {}

  /** The session that was opened. */
  record Opened(long session) {}

  /** Whether the owner may act. */
  record Begun(Verdict verdict) {}

  /** What the log says to an owner that wants to act. */
  enum Verdict {
    /** It may, once. */
    ACCEPTED,
    /** Its epoch is over: another owns the shard, or nobody. */
    STALE,
    /** This or something later was begun before. */
    REPEATED,
    /** It lies ahead of most members' clocks. */
    EARLY,
    /** What was begun last is not settled yet. */
    OPEN
  }
}
