package ferngrade.experiment;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** The charts of a result, as PNG by file name. */
final class Charts {
  /** Settings whose series are drawn at all, and up to how many all of them are. */
  private static final int MOST_SETTINGS = 16;

  private static final int FEW_SETTINGS = 4;
  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;

  /** Colours that also those can tell apart who see few (Okabe and Ito, 2008). */
  private static final Color[] COLOURS = {
    new Color(0, 114, 178),
    new Color(213, 94, 0),
    new Color(0, 158, 115),
    new Color(204, 121, 167),
    new Color(230, 159, 0),
    new Color(86, 180, 233),
    new Color(90, 90, 90),
    new Color(0, 0, 0)
  };

  private final Results results;
  private final Map<String, byte[]> charts = new LinkedHashMap<>();

  private Charts(Results results) {
    this.results = results;
  }

  /** Draws everything that the results show. */
  static Map<String, byte[]> of(Results results) {
    Charts charts = new Charts(results);
    if (!results.trials().isEmpty()) {
      charts.goodput();
      List<String> points = results.cells().stream().map(Results.Cell::point).distinct().toList();
      // Where many settings are swept the series would fill a book; the tables have them all.
      for (int i = 0; i < Math.min(points.size(), MOST_SETTINGS); i++) {
        charts.overTime(
            points.get(i), points.size() == 1 ? "" : "-" + (i + 1), points.size() <= FEW_SETTINGS);
      }
    }
    return charts.charts;
  }

  /**
   * A setting without its parameter's name where there is only one, which the page names anyway.
   */
  private static String brief(String point) {
    int equals = point.indexOf('=');
    return equals > 0 && equals == point.lastIndexOf('=') ? point.substring(equals + 1) : point;
  }

  private List<String> policies() {
    return results.cells().stream().map(Results.Cell::policy).distinct().toList();
  }

  private void goodput() {
    List<String> points = results.cells().stream().map(Results.Cell::point).distinct().toList();
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Goodput, with 95 % intervals")
            .yAxisTitle("share of the worth asked for")
            .build();
    style(chart.getStyler());
    chart.getStyler().setXAxisLabelRotation(points.size() > 3 ? 30 : 0);
    chart.getStyler().setYAxisMin(0.0);
    List<String> labels =
        points.stream().map(point -> point.isEmpty() ? "goodput" : brief(point)).toList();
    for (String policy : policies()) {
      List<Double> means = new ArrayList<>();
      List<Double> halves = new ArrayList<>();
      for (String point : points) {
        Estimate estimate =
            results.estimate(new Results.Cell(point, policy), ExperimentRun.Result::goodput);
        means.add(estimate.mean());
        halves.add(Double.isInfinite(estimate.halfWidth()) ? 0 : estimate.halfWidth());
      }
      chart.addSeries(policy, labels, means, halves);
    }
    add("goodput", chart);
    byName("tenants", "Goodput by tenant", ExperimentRun.Result::byTenant);
    byName("classes", "Goodput by class", ExperimentRun.Result::byClass);
  }

  private interface Shares {
    Map<String, Double> of(ExperimentRun.Result result);
  }

  private void byName(String file, String title, Shares shares) {
    String point = results.trials().get(0).point();
    List<String> names = new ArrayList<>(shares.of(results.trials().get(0)).keySet());
    if (names.isEmpty()) {
      return;
    }
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title + (point.isEmpty() ? "" : " (" + brief(point) + ")"))
            .yAxisTitle("share of the worth")
            .build();
    style(chart.getStyler());
    chart.getStyler().setYAxisMin(0.0);
    for (String policy : policies()) {
      Results.Cell cell = new Results.Cell(point, policy);
      chart.addSeries(
          policy,
          names,
          names.stream()
              .map(name -> results.estimate(cell, each -> shares.of(each).get(name)).mean())
              .toList());
    }
    add(file, chart);
  }

  private void overTime(String point, String suffix, boolean all) {
    Map<String, Map<String, double[]>> byPolicy = new LinkedHashMap<>();
    for (String policy : policies()) {
      Results.Cell cell = new Results.Cell(point, policy);
      if (!results.of(cell).isEmpty()) {
        byPolicy.put(policy, results.meanSeries(cell));
      }
    }
    String of = point.isEmpty() ? "" : " (" + brief(point) + ")";
    lines(
        "goodput-over-time" + suffix,
        "Goodput by time of arrival" + of,
        "share of the worth",
        byPolicy,
        "goodput");
    if (all) {
      others(suffix, of, byPolicy);
    }
    Map<String, double[]> first = byPolicy.values().iterator().next();
    Map<String, double[]> slices = new LinkedHashMap<>();
    Set<String> names = first.keySet();
    // The sum dwarfs the slices of a larger tier.
    boolean few = names.stream().filter(name -> name.startsWith("slice ")).count() <= FEW_SETTINGS;
    names.stream()
        .filter(name -> name.startsWith("slice ") || (few && name.equals("budget")))
        .forEach(name -> slices.put(name, first.get(name)));
    draw(
        "slices-over-time" + suffix,
        "Slices of the budget, " + byPolicy.keySet().iterator().next() + of,
        "slots a second",
        slices);
  }

  private void others(String suffix, String of, Map<String, Map<String, double[]>> byPolicy) {
    lines(
        "p50-over-time" + suffix,
        "Median latency by time of arrival" + of,
        "ms",
        byPolicy,
        "p50 ms");
    lines(
        "p99-over-time" + suffix,
        "99th percentile of latency by time of arrival" + of,
        "ms",
        byPolicy,
        "p99 ms");
    lines(
        "refused-over-time" + suffix,
        "Refused, in each window" + of,
        "answers",
        byPolicy,
        "refused");
    lines(
        "retries-over-time" + suffix, "Retries, in each window" + of, "tries", byPolicy, "retries");
    lines(
        "depth-over-time" + suffix,
        "Jobs waiting at a worker" + of,
        "jobs",
        byPolicy,
        "queue depth");
  }

  private void lines(
      String file,
      String title,
      String unit,
      Map<String, Map<String, double[]>> byPolicy,
      String name) {
    Map<String, double[]> lines = new LinkedHashMap<>();
    byPolicy.forEach((policy, series) -> lines.put(policy, series.get(name)));
    draw(file, title, unit, lines);
  }

  private void draw(String file, String title, String unit, Map<String, double[]> lines) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("s")
            .yAxisTitle(unit)
            .build();
    style(chart.getStyler());
    chart.getStyler().setYAxisMin(0.0);
    boolean any = false;
    double window = results.trials().get(0).windowMs() / 1000;
    for (Map.Entry<String, double[]> line : lines.entrySet()) {
      List<Double> at = new ArrayList<>();
      List<Double> values = new ArrayList<>();
      double[] all = line.getValue();
      for (int i = 0; all != null && i < all.length; i++) {
        if (!Double.isNaN(all[i])) {
          at.add(i * window);
          values.add(all[i]);
        }
      }
      if (!at.isEmpty()) {
        any = true;
        XYSeries series = chart.addSeries(line.getKey(), at, values);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineStyle(new BasicStroke(2));
      }
    }
    if (any) {
      add(file, chart);
    }
  }

  private static void style(Styler styler) {
    styler.setSeriesColors(COLOURS);
    styler.setLegendPosition(Styler.LegendPosition.OutsideE);
    styler.setChartBackgroundColor(Color.WHITE);
    styler.setPlotBorderVisible(false);
  }

  private void add(String name, Chart<?, ?> chart) {
    try {
      charts.put(
          name + ".png", BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }
}
