package ferngrade.lease;

import java.util.OptionalLong;

/**
 * Distributes the endpoint list of the workers from one member to all others, so that only one
 * member watches discovery. The owner of a shard watches discovery and sends each line to the other
 * members, numbered under its epoch. A member that has missed a line requests the whole list. A
 * member that receives nothing from an owner within the owner timeout watches discovery itself
 * until it receives lines from an owner again. So no member is without a current list for longer
 * than that timeout, regardless of who owns the shard.
 *
 * <p>Lines with an older epoch than the newest one received are dropped: an owner that resumes
 * after a long pause cannot spread its outdated list.
 *
 * <p>Reads no clock; confined to the member's thread. Times are ms of its monotonic clock.
 */
public final class EndpointListRelay {
  /** The shard whose owner watches discovery. */
  public static final Shard SHARD = new Shard("list", 0);

  /**
   * The owner timeout: a member that receives no message from an owner for this time, ms, watches
   * discovery itself.
   */
  private static final double OWNER_TIMEOUT_MILLIS = 1_500;

  /** The interval in ms between two heartbeats of an owner to the other members. */
  private static final double HEARTBEAT_INTERVAL_MILLIS = 300;

  private final Actions actions;
  private boolean watching;
  private boolean owner;
  private long epoch;
  private long lastNumber;
  private double lastRelayedAt;
  private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
  private double confirmedAt = Double.NEGATIVE_INFINITY;

  /** The operations that the member performs for the relay. */
  public interface Actions {
    /**
     * Opens a watch of the list and keeps it open; each line is passed to {@link
     * EndpointListRelay#discoveryLineReceived}.
     */
    void startWatch();

    /** Closes the watch. */
    void stopWatch();

    /** Delivers a line to this member's own node: a change, or the whole list. */
    void deliver(String line);

    /**
     * Returns the whole list, which includes all lines delivered so far; null before the first
     * list.
     */
    String fullList();

    /** Sends a line to all other members. */
    void broadcast(RelayedLine line);

    /**
     * Requests the whole list from the owner of this epoch, whose address is known from its
     * messages.
     */
    void requestFullList(FullListRequest request);
  }

  /**
   * A line of the list as its owner received it.
   *
   * @param epoch the epoch of the owner
   * @param number the number of the line under this epoch; for a heartbeat, of the last line sent
   * @param line the line, empty for a heartbeat
   * @param age the age of the owner's list, ms
   */
  public record RelayedLine(long epoch, long number, String line, double age) {}

  /** A request for the whole list from a member that has missed a line under this epoch. */
  public record FullListRequest(long epoch) {}

  /** Creates the relay of a member that has just started. */
  public EndpointListRelay(double now, Actions actions) {
    this.actions = actions;
    this.lastRelayedAt = now;
  }

  /**
   * Starts or stops watching discovery and sends due heartbeats; {@code heldEpoch} is the epoch
   * under which this member owns the shard, empty if it does not.
   */
  public void tick(double now, OptionalLong heldEpoch) {
    if (heldEpoch.isPresent() && (!owner || epoch != heldEpoch.getAsLong())) {
      owner = true;
      epoch = heldEpoch.getAsLong();
      lastNumber = 0;
      lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    } else if (heldEpoch.isEmpty() && owner) {
      // This member received nothing from another owner while it owned the shard itself. It
      // therefore keeps watching discovery until it receives a message from the next owner.
      owner = false;
    }
    boolean mustWatch = owner || now - lastRelayedAt > OWNER_TIMEOUT_MILLIS;
    if (mustWatch != watching && (mustWatch || now - lastRelayedAt < HEARTBEAT_INTERVAL_MILLIS)) {
      watching = mustWatch;
      if (mustWatch) {
        actions.startWatch();
      } else {
        actions.stopWatch();
      }
    }
    if (owner && now - lastHeartbeatAt >= HEARTBEAT_INTERVAL_MILLIS) {
      lastHeartbeatAt = now;
      String fullList = lastNumber == 0 ? actions.fullList() : null;
      if (fullList != null) {
        lastNumber = 1;
        actions.broadcast(new RelayedLine(epoch, lastNumber, fullList, ageMillis(now)));
      } else {
        actions.broadcast(new RelayedLine(epoch, lastNumber, "", ageMillis(now)));
      }
    }
  }

  /** Handles a line from discovery; an empty line is a heartbeat of discovery. */
  public void discoveryLineReceived(double now, String line) {
    if (!watching) {
      return;
    }
    confirmedAt = now;
    if (!line.isEmpty()) {
      actions.deliver(line);
      if (owner) {
        actions.broadcast(new RelayedLine(epoch, ++lastNumber, line, 0));
      }
    }
  }

  /** Handles a line or a heartbeat from an owner. */
  public void relayedLineReceived(double now, RelayedLine relayed) {
    if (relayed.epoch() < epoch || owner) {
      return;
    }
    if (relayed.epoch() > epoch) {
      epoch = relayed.epoch();
      lastNumber = 0;
    }
    lastRelayedAt = now;
    confirmedAt = Math.max(confirmedAt, now - Math.max(0, relayed.age()));
    if (relayed.line().isEmpty()) {
      if (relayed.number() != lastNumber) {
        actions.requestFullList(new FullListRequest(epoch));
      }
    } else if (relayed.number() == lastNumber + 1) {
      lastNumber = relayed.number();
      actions.deliver(relayed.line());
    } else if (relayed.number() > lastNumber) {
      actions.requestFullList(new FullListRequest(epoch));
    }
  }

  /**
   * Answers the request of a member that has missed a line: returns the whole list, numbered like
   * the last line that it contains, or null if this member cannot answer under that epoch.
   */
  public RelayedLine fullListFor(double now, FullListRequest request) {
    String list = owner && request.epoch() == epoch && lastNumber > 0 ? actions.fullList() : null;
    return list == null ? null : new RelayedLine(epoch, lastNumber, list, ageMillis(now));
  }

  /** Handles the whole list that this member has requested. */
  public void fullListReceived(double now, RelayedLine relayed) {
    if (!owner && relayed.epoch() == epoch && relayed.number() >= lastNumber) {
      lastNumber = relayed.number();
      lastRelayedAt = now;
      actions.deliver(relayed.line());
    }
  }

  /**
   * Returns the time in ms since this list was confirmed by discovery, either by this member or by
   * the owner; infinite before the first message.
   */
  public double ageMillis(double now) {
    return now - confirmedAt;
  }

  /** Returns whether this member watches discovery itself. */
  public boolean watching() {
    return watching;
  }
}
