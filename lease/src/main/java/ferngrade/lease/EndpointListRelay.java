package ferngrade.lease;

import java.util.OptionalLong;

/**
 * The worker list asked for once on behalf of all: the owner of a shard watches it and feeds the
 * others each line, numbered under its epoch. Who has missed a line asks for the whole; who has
 * heard nothing of an owner for too long asks the list itself, until an owner is heard again. So no
 * member is without a list for longer than that, whoever owns what.
 *
 * <p>What is fed under an older epoch than was heard before is dropped: an owner that wakes up late
 * tells nobody its old list.
 *
 * <p>Reads no clock; belongs to the member's thread. Times are ms of its monotonic clock.
 */
public final class EndpointListRelay {
  /** The shard whose owner asks. */
  public static final Shard SHARD = new Shard("list", 0);

  /** Ms without a word of an owner after which a member asks for itself. */
  private static final double SILENT = 1_500;

  /** Ms between two signs of life of an owner to those whom it feeds. */
  private static final double SIGN = 300;

  private final Actions actions;
  private boolean asking;
  private boolean owns;
  private long epoch;
  private long line;
  private double fedAt;
  private double signedAt = Double.NEGATIVE_INFINITY;
  private double heardAt = Double.NEGATIVE_INFINITY;

  /** What the member does for it. */
  public interface Actions {
    /**
     * Opens a watch of the list and keeps it open; each line comes to {@link
     * EndpointListRelay#told}.
     */
    void ask();

    /** Ends that watch. */
    void stopAsking();

    /** A line for this member's own node: a change, or the whole list. */
    void pass(String line);

    /** The whole list as it was passed so far, null if there is none yet. */
    String whole();

    /** Sends this to all other members. */
    void feed(Fed fed);

    /** Asks the owner of this epoch, which is known by what it fed, for the whole list. */
    void askWhole(Whole asked);
  }

  /**
   * A line of the list as its owner had it, the so-many-th under this epoch; empty for a sign of
   * life, null for none.
   */
  public record Fed(long epoch, long number, String line, double age) {}

  /** A member has missed something under this epoch. */
  public record Whole(long epoch) {}

  /** The list of one member, which has just started. */
  public EndpointListRelay(double now, Actions actions) {
    this.actions = actions;
    this.fedAt = now;
  }

  /**
   * Looks what is to be done; {@code held} is the epoch under which this member owns the shard, if
   * it does.
   */
  public void look(double now, OptionalLong held) {
    if (held.isPresent() && (!owns || epoch != held.getAsLong())) {
      owns = true;
      epoch = held.getAsLong();
      line = 0;
      signedAt = Double.NEGATIVE_INFINITY;
    } else if (held.isEmpty() && owns) {
      // Nobody has fed it for as long as it owned this: it goes on for itself until another is
      // heard.
      owns = false;
    }
    boolean needed = owns || now - fedAt > SILENT;
    if (needed != asking && (needed || now - fedAt < SIGN)) {
      asking = needed;
      if (needed) {
        actions.ask();
      } else {
        actions.stopAsking();
      }
    }
    if (owns && now - signedAt >= SIGN) {
      signedAt = now;
      String whole = line == 0 ? actions.whole() : null;
      if (whole != null) {
        line = 1;
        actions.feed(new Fed(epoch, line, whole, age(now)));
      } else {
        actions.feed(new Fed(epoch, line, "", age(now)));
      }
    }
  }

  /** The list has told a line; an empty one is a sign of its life. */
  public void told(double now, String text) {
    if (!asking) {
      return;
    }
    heardAt = now;
    if (!text.isEmpty()) {
      actions.pass(text);
      if (owns) {
        actions.feed(new Fed(epoch, ++line, text, 0));
      }
    }
  }

  /** An owner has fed something. */
  public void fed(double now, Fed fed) {
    if (fed.epoch() < epoch || owns) {
      return;
    }
    if (fed.epoch() > epoch) {
      epoch = fed.epoch();
      line = 0;
    }
    fedAt = now;
    heardAt = Math.max(heardAt, now - Math.max(0, fed.age()));
    if (fed.line().isEmpty()) {
      if (fed.number() != line) {
        actions.askWhole(new Whole(epoch));
      }
    } else if (fed.number() == line + 1) {
      line = fed.number();
      actions.pass(fed.line());
    } else if (fed.number() > line) {
      actions.askWhole(new Whole(epoch));
    }
  }

  /**
   * A member that is fed has missed something: it is told the whole, which stands for all lines so
   * far.
   */
  public Fed whole(double now, Whole asked) {
    String all = owns && asked.epoch() == epoch && line > 0 ? actions.whole() : null;
    return all == null ? null : new Fed(epoch, line, all, age(now));
  }

  /** The whole list has come, which was asked for. */
  public void fedWhole(double now, Fed fed) {
    if (!owns && fed.epoch() == epoch && fed.number() >= line) {
      line = fed.number();
      fedAt = now;
      actions.pass(fed.line());
    }
  }

  /**
   * Ms since this list was known to be so, by its own asking or the owner's; infinite before the
   * first word.
   */
  public double age(double now) {
    return now - heardAt;
  }

  /** Whether this member watches the list itself. */
  public boolean asking() {
    return asking;
  }
}
