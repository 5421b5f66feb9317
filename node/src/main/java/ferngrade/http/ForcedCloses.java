package ferngrade.http;

import ferngrade.node.LoopMonitor;
import ferngrade.node.RateLimitedLog;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Counts and logs the connections that the node closes because of a limit or a timeout. A close
 * that may discard bytes sent by the peer is logged as a loss. Confined to the event loop.
 */
public final class ForcedCloses {
  private final String connectionGroup;
  private final LoopMonitor loopMonitor;
  private final RateLimitedLog log;
  private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);

  /** The reason why the node closes a connection. */
  public enum Reason {
    /** The number of connections that wait for a request exceeds its limit. */
    AWAITED_LIMIT,
    /** The number of open connections exceeds its limit. */
    CONNECTION_LIMIT,
    /** The memory held for peers exceeds its limit. */
    MEMORY_LIMIT,
    /** A request, or the peer's close, has not arrived in time. */
    TIMEOUT
  }

  /**
   * A snapshot of a connection right before its close.
   *
   * @param state the state of the connection
   * @param trusted whether a job or a callback had arrived on the connection
   * @param bytesRead the number of bytes read from the connection
   * @param age the time since the connection was opened, in ms
   */
  record ConnectionSnapshot(ConnectionState state, boolean trusted, long bytesRead, double age) {
    /** Returns true if the peer may have sent bytes that remain unanswered. */
    boolean mayLoseRequest() {
      return state == ConnectionState.UNREAD || state == ConnectionState.RECEIVING;
    }
  }

  /**
   * Creates the statistics of one group of connections; {@code connectionGroup} names the group in
   * log lines.
   */
  public ForcedCloses(String connectionGroup, LoopMonitor loopMonitor, RateLimitedLog log) {
    this.connectionGroup = connectionGroup;
    this.loopMonitor = loopMonitor;
    this.log = log;
  }

  /**
   * Records a connection that is being closed; {@code limit} is the exceeded limit, in its own
   * unit.
   */
  void record(Reason reason, double limit, ConnectionSnapshot closed) {
    counts.merge(reason, 1L, Long::sum);
    String line =
        String.format(
            Locale.ROOT,
            "%s: connection closed by %s %.0f: %s, %s, %d bytes read, %.0f ms old, event loop held"
                + " up for %.0f ms lately",
            connectionGroup,
            reason,
            limit,
            closed.state(),
            closed.trusted() ? "trusted" : "not trusted",
            closed.bytesRead(),
            closed.age(),
            loopMonitor.recentMaxMillis());
    if (closed.mayLoseRequest()) {
      log.lossLine(line);
    } else {
      log.line(connectionGroup + " closed by " + reason, line);
    }
  }

  /**
   * Returns the number of closed connections by reason, without entries for reasons that have not
   * occurred.
   */
  public Map<Reason, Long> counts() {
    return Map.copyOf(counts);
  }
}
