package ferngrade.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * The state that this dispatcher keeps for one zone. Times are milliseconds on the host's clock.
 * Event thread only.
 */
final class ZoneStats {
  /**
   * Smallest observed delay in ms between sending an attempt and the report of its start; MAX_VALUE
   * until the first report.
   */
  double roundTripTime = Double.MAX_VALUE;

  double lastResponseAt = Double.NEGATIVE_INFINITY;

  /** Time at which the first attempt since the last response from the zone was sent. */
  double firstUnansweredAt;

  /** Number of attempts sent since the last response from the zone. */
  int unansweredAttempts;

  /** Number of failed connections since the last response from the zone. */
  int failedConnects;

  /** Time from which another attempt may probe the zone while it is unreachable. */
  double nextProbeAt;

  /** The zone's workers grouped by type. */
  final Map<Integer, WorkerGroup> groups = new HashMap<>();
}
