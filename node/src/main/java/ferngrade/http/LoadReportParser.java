package ferngrade.http;

import ferngrade.dispatch.LoadReport;

/**
 * Parses load reports of the form {@code queue=2,x0=3}; values that cannot be parsed count as not
 * reported.
 */
final class LoadReportParser {
  private LoadReportParser() {}

  static LoadReport parse(String text) {
    if (text == null || text.isBlank()) {
      return LoadReport.NONE;
    }
    double slots = Double.NaN;
    double memory = Double.NaN;
    double queued = Double.NaN;
    double inFlight = Double.NaN;
    for (String pair : text.split(",", 0)) {
      int equals = pair.indexOf('=');
      switch (pair.substring(0, Math.max(0, equals)).strip()) {
        case "x0" -> slots = value(pair, equals);
        case "x1" -> memory = value(pair, equals);
        case "queue" -> queued = value(pair, equals);
        case "inflight" -> inFlight = value(pair, equals);
        default -> {}
      }
    }
    return new LoadReport(slots, memory, queued, inFlight);
  }

  private static double value(String pair, int equals) {
    try {
      return Double.parseDouble(pair.substring(equals + 1));
    } catch (NumberFormatException notANumber) {
      return Double.NaN;
    }
  }
}
