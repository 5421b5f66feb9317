package ferngrade.http;

import ferngrade.node.LoopMonitor;
import ferngrade.node.RateLimitedLog;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts and logs the connections that the node closes though their peers have not asked for it.
 * One whose peer may have sent something is logged as a loss. Belongs to the event loop.
 */
public final class ForcedCloses {
  private final String connections;
  private final LoopMonitor loopMonitor;
  private final RateLimitedLog log;
  private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);

  /** Why the node closes a connection. */
  public enum Reason {
    /** More connections await a request than may. */
    AWAITED_LIMIT,
    /** More connections are open than may be. */
    CONNECTION_LIMIT,
    /** A request, or the peer's close, has not come in time. */
    TIMEOUT
  }

  /**
   * A connection as it was right before its close.
   *
   * @param state what it was doing
   * @param trusted whether a job or a callback had come on it
   * @param bytesRead all bytes that had been read from it
   * @param age how long it had been open, ms
   */
  record Closed(ConnectionState state, boolean trusted, long bytesRead, double age) {
    /** True if its peer may have sent something that is not answered. */
    boolean mayLoseRequest() {
      return state == ConnectionState.UNREAD || state == ConnectionState.RECEIVING;
    }
  }

  /** The closes among {@code connections}, a name for log lines. */
  public ForcedCloses(String connections, LoopMonitor loopMonitor, RateLimitedLog log) {
    this.connections = connections;
    this.loopMonitor = loopMonitor;
    this.log = log;
  }

  /** A connection is being closed; {@code limit} is the one that is reached, in its own unit. */
  void record(Reason reason, double limit, Closed closed) {
    counts.merge(reason, 1L, Long::sum);
    String line =
        String.format(
            Locale.ROOT,
            "%s: connection closed by %s %.0f: %s, %s, %d bytes read, %.0f ms old, event loop held"
                + " up for %.0f ms lately",
            connections,
            reason,
            limit,
            closed.state(),
            closed.trusted() ? "trusted" : "not trusted",
            closed.bytesRead(),
            closed.age(),
            loopMonitor.longestLately());
    if (closed.mayLoseRequest()) {
      log.loss(line);
    } else {
      log.line(connections + " closed by " + reason, line);
    }
  }

  /** How many connections were closed, by reason; one without an entry has not occurred. */
  public Map<Reason, Long> counts() {
    return Map.copyOf(counts);
  }
}
