package ferngrade.dispatch;

import java.util.HashMap;
import java.util.Map;

/** What this dispatcher knows of one zone; times are milliseconds on the host's clock. */
final class ZoneStats {
  /** The shortest delay between an attempt and its start, ms; MAX_VALUE until one was seen. */
  double roundTripTime = Double.MAX_VALUE;

  double lastSignAt = Double.NEGATIVE_INFINITY;

  /** When the first of the {@code unanswered} attempts was sent. */
  double firstUnansweredAt;

  /** Attempts sent since the zone's last sign of life. */
  int unanswered;

  /** Failed connects since the zone's last sign of life. */
  int unreachable;

  /** When the next attempt may probe the zone while it is silent. */
  double nextProbeAt;

  /** The zone's workers by kind. */
  final Map<Integer, WorkerGroup> groups = new HashMap<>();
}
