package ferngrade.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** Writes a result as a self-contained HTML page, and its charts as PNG files next to it. */
public final class Report {
  private static final List<String> COLUMNS =
      List.of(
          "goodput",
          "worst class",
          "worst tenant",
          "p50 ms",
          "p99 ms",
          "refused",
          "failed",
          "retries",
          "attempts a try",
          "wasted work");
  private static final String STYLE =
      "body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0"
          + " 1em;color:#222}table{border-collapse:collapse;margin:1em"
          + " 0;font-size:13px}th,td{padding:.3em .7em;border-bottom:1px solid"
          + " #ddd;text-align:right}th:first-child,td:first-child,th:nth-child(2),"
          + "td:nth-child(2){text-align:left}th{background:#f4f4f4}img{max-width:100%}.bad{color:#b00;"
          + "font-weight:bold}pre{background:#f7f7f7;padding:1em;overflow:auto;font-size:12px}";

  private final Results results;
  private final StringBuilder page = new StringBuilder();

  private Report(Results results) {
    this.results = results;
  }

  /** Writes {@code report.html} and the charts into the folder. */
  public static void write(Results results, Path folder) {
    try {
      Files.createDirectories(folder);
      Map<String, byte[]> charts = Charts.of(results);
      for (Map.Entry<String, byte[]> chart : charts.entrySet()) {
        Files.write(folder.resolve(chart.getKey()), chart.getValue());
      }
      Files.writeString(folder.resolve("report.html"), new Report(results).page(charts));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String page(Map<String, byte[]> charts) {
    String heading = results.title().isEmpty() ? results.name() : results.title();
    page.append("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
        .append(escaped(heading))
        .append("</title><style>")
        .append(STYLE)
        .append("</style><h1>")
        .append(escaped(heading))
        .append("</h1>");
    if (!results.complete()) {
      page.append("<p class=\"bad\">Stopped early: ")
          .append(results.trials().size())
          .append(" of ")
          .append(results.asked())
          .append(" runs.</p>");
    }
    if (!results.trials().isEmpty()) {
      summary();
      differences();
      violations();
      page.append("<h2>Charts</h2>");
      charts.forEach(
          (name, png) ->
              page.append("<p><img alt=\"")
                  .append(escaped(name))
                  .append("\" src=\"data:image/png;base64,")
                  .append(Base64.getEncoder().encodeToString(png))
                  .append("\"></p>"));
    }
    page.append("<h2>The experiment</h2><pre>")
        .append(escaped(results.experiment()))
        .append("</pre></html>\n");
    return page.toString();
  }

  private void summary() {
    long seeds = results.trials().stream().mapToLong(ExperimentRun.Result::seed).distinct().count();
    page.append("<p>Means over ")
        .append(seeds)
        .append(seeds == 1 ? " seed" : " seeds, with 95 % intervals")
        .append(". Latencies count from the time at which a request was due to be sent.</p>")
        .append("<table><tr><th>parameters<th>policy");
    COLUMNS.forEach(name -> page.append("<th>").append(name));
    page.append("<th>invariant violations<th>workers failed cold</tr>");
    for (Results.Cell cell : results.cells()) {
      page.append("<tr><td>")
          .append(escaped(cell.point()))
          .append("<td>")
          .append(escaped(cell.policy()));
      for (String name : COLUMNS) {
        page.append("<td>").append(results.estimate(cell, trial -> trial.figures().get(name)));
      }
      long violations =
          results.of(cell).values().stream().mapToLong(ExperimentRun.Result::totalViolations).sum();
      long fallen =
          results.of(cell).values().stream().mapToLong(ExperimentRun.Result::fallen).sum();
      page.append(violations > 0 ? "<td class=\"bad\">" : "<td>")
          .append(violations)
          .append("<td>")
          .append(fallen)
          .append("</tr>");
    }
    page.append("</table>");
  }

  private void differences() {
    String first = results.policyFirst();
    List<Results.Cell> otherCells =
        results.cells().stream().filter(cell -> !cell.policy().equals(first)).toList();
    if (otherCells.isEmpty()) {
      return;
    }
    page.append("<h2>Against ")
        .append(escaped(first))
        .append("</h2><p>Goodput of the policy less that of ")
        .append(escaped(first))
        .append(
            ", seed by seed.</p><table><tr><th>parameters<th>policy"
                + "<th>difference<th>says</tr>");
    for (Results.Cell cell : otherCells) {
      Estimate estimate =
          Results.difference(
              results.of(cell),
              results.of(new Results.Cell(cell.point(), first)),
              ExperimentRun.Result::goodput);
      String conclusion =
          !estimate.differsFromZero()
              ? "no difference shown"
              : estimate.mean() > 0 ? "better" : "worse";
      page.append("<tr><td>")
          .append(escaped(cell.point()))
          .append("<td>")
          .append(escaped(cell.policy()))
          .append("<td>")
          .append(estimate)
          .append("<td>")
          .append(conclusion)
          .append("</tr>");
    }
    page.append("</table>");
  }

  private void violations() {
    List<ExperimentRun.Result> violating =
        results.trials().stream().filter(trial -> trial.totalViolations() > 0).toList();
    if (violating.isEmpty()) {
      page.append("<p>No invariant was violated.</p>");
      return;
    }
    page.append(
        "<h2>Invariant violations</h2><table><tr><th>parameters<th>policy<th>seed<th>first"
            + " violation</tr>");
    violating.stream()
        .limit(40)
        .forEach(
            trial ->
                page.append("<tr><td>")
                    .append(escaped(trial.point()))
                    .append("<td>")
                    .append(escaped(trial.policy()))
                    .append("<td>")
                    .append(trial.seed())
                    .append("<td>")
                    .append(escaped(trial.breachTexts().get(0)))
                    .append("</tr>"));
    page.append("</table>");
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
