package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.Departure;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that no attempt begins for a client that has closed its connection. Stateless. */
public final class DepartureChecker {
  /**
   * The time after the client closes its connection within which an attempt may still begin, ms:
   * 100 for the node, and 50 for delays in the sockets.
   */
  static final double GRACE_MILLIS = 150;

  private DepartureChecker() {}

  /**
   * Returns a violation for each attempt that began too long after its client closed the
   * connection.
   */
  public static List<Violation> check(Observations observations) {
    Map<String, Double> closedAt = new HashMap<>();
    for (Departure departure : observations.departures()) {
      closedAt.put(departure.job(), departure.at());
    }
    return observations.sends().stream()
        .filter(send -> closedAt.containsKey(send.job()))
        .filter(send -> send.at() > closedAt.get(send.job()) + GRACE_MILLIS)
        .map(
            send ->
                new Violation(
                    send.at(),
                    "attempt begun after its client closed the connection",
                    String.format(
                        "job %s at %s %.0f ms after the close",
                        send.job(), send.worker(), send.at() - closedAt.get(send.job()))))
        .toList();
  }
}
