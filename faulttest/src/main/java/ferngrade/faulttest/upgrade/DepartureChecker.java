package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.Violation;
import ferngrade.faulttest.upgrade.Observations.Departure;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Nothing is begun for a client that has gone. Stateless. */
public final class DepartureChecker {
  /** An attempt may begin for so long after the client's close, ms: 100, and 50 for sockets. */
  static final double GRACE = 150;

  private DepartureChecker() {}

  /** A violation for each attempt that began too long after its client had left. */
  public static List<Violation> check(Observations observations) {
    Map<String, Double> left = new HashMap<>();
    for (Departure departure : observations.departures()) {
      left.put(departure.job(), departure.at());
    }
    return observations.sends().stream()
        .filter(send -> left.containsKey(send.job()))
        .filter(send -> send.at() > left.get(send.job()) + GRACE)
        .map(
            send ->
                new Violation(
                    send.at(),
                    "begun for a client that has gone",
                    String.format(
                        "job %s at %s %.0f ms after the close",
                        send.job(), send.worker(), send.at() - left.get(send.job()))))
        .toList();
  }
}
