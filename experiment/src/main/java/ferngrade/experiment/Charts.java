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

/** Draws the charts of a result as PNG images. */
final class Charts {
  /**
   * The number of points of a sweep, counted from the first, for which time series are drawn; later
   * points have none.
   */
  private static final int MAX_CHARTED_POINTS = 16;

  /**
   * The maximum number of points for which all time series are drawn. It is also the maximum number
   * of slices that are drawn together with the budget.
   */
  private static final int MAX_DETAILED_POINTS = 4;

  private static final int WIDTH = 900;
  private static final int HEIGHT = 420;

  /** A palette that is distinguishable with colour vision deficiency (Okabe and Ito, 2008). */
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

  /** Returns the charts by file name; empty if there are no trials. */
  static Map<String, byte[]> of(Results results) {
    Charts charts = new Charts(results);
    if (!results.trials().isEmpty()) {
      charts.goodput();
      List<String> points = results.cells().stream().map(Results.Cell::point).distinct().toList();
      // A sweep with many points would produce too many charts; the tables have all time series.
      for (int i = 0; i < Math.min(points.size(), MAX_CHARTED_POINTS); i++) {
        charts.overTime(
            points.get(i),
            points.size() == 1 ? "" : "-" + (i + 1),
            points.size() <= MAX_DETAILED_POINTS);
      }
    }
    return charts.charts;
  }

  /**
   * Returns the point's value without the parameter's name if there is only one parameter, because
   * the page shows the name elsewhere.
   */
  private static String shortLabel(String point) {
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
            .yAxisTitle("share of requested worth")
            .build();
    style(chart.getStyler());
    chart.getStyler().setXAxisLabelRotation(points.size() > 3 ? 30 : 0);
    chart.getStyler().setYAxisMin(0.0);
    List<String> labels =
        points.stream().map(point -> point.isEmpty() ? "goodput" : shortLabel(point)).toList();
    for (String policy : policies()) {
      List<Double> means = new ArrayList<>();
      List<Double> halfWidths = new ArrayList<>();
      for (String point : points) {
        Estimate estimate =
            results.estimate(new Results.Cell(point, policy), ExperimentRun.Result::goodput);
        means.add(estimate.mean());
        halfWidths.add(Double.isInfinite(estimate.halfWidth()) ? 0 : estimate.halfWidth());
      }
      chart.addSeries(policy, labels, means, halfWidths);
    }
    add("goodput", chart);
    byName("tenants", "Goodput by tenant", ExperimentRun.Result::byTenant);
    byName("classes", "Goodput by class", ExperimentRun.Result::byClass);
  }

  private interface GoodputByName {
    Map<String, Double> of(ExperimentRun.Result result);
  }

  private void byName(String file, String title, GoodputByName shares) {
    String point = results.trials().get(0).point();
    List<String> names = new ArrayList<>(shares.of(results.trials().get(0)).keySet());
    if (names.isEmpty()) {
      return;
    }
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title + (point.isEmpty() ? "" : " (" + shortLabel(point) + ")"))
            .yAxisTitle("share of requested worth")
            .build();
    style(chart.getStyler());
    chart.getStyler().setYAxisMin(0.0);
    for (String policy : policies()) {
      Results.Cell cell = new Results.Cell(point, policy);
      chart.addSeries(
          policy,
          names,
          names.stream()
              .map(name -> results.estimate(cell, result -> shares.of(result).get(name)).mean())
              .toList());
    }
    add(file, chart);
  }

  private void overTime(String point, String suffix, boolean detailed) {
    Map<String, Map<String, double[]>> byPolicy = new LinkedHashMap<>();
    for (String policy : policies()) {
      Results.Cell cell = new Results.Cell(point, policy);
      if (!results.of(cell).isEmpty()) {
        byPolicy.put(policy, results.meanSeries(cell));
      }
    }
    String pointSuffix = point.isEmpty() ? "" : " (" + shortLabel(point) + ")";
    lines(
        "goodput-over-time" + suffix,
        "Goodput by time of arrival" + pointSuffix,
        "share of requested worth",
        byPolicy,
        "goodput");
    if (detailed) {
      detailsOverTime(suffix, pointSuffix, byPolicy);
    }
    Map<String, double[]> first = byPolicy.values().iterator().next();
    Map<String, double[]> slices = new LinkedHashMap<>();
    Set<String> names = first.keySet();
    // With more nodes, the budget would be so much larger than the slices that the slices would be
    // unreadable.
    boolean showBudget =
        names.stream().filter(name -> name.startsWith("slice ")).count() <= MAX_DETAILED_POINTS;
    names.stream()
        .filter(name -> name.startsWith("slice ") || (showBudget && name.equals("budget")))
        .forEach(name -> slices.put(name, first.get(name)));
    draw(
        "slices-over-time" + suffix,
        "Slices of the budget, " + byPolicy.keySet().iterator().next() + pointSuffix,
        "slots per second",
        slices);
  }

  private void detailsOverTime(
      String suffix, String pointSuffix, Map<String, Map<String, double[]>> byPolicy) {
    lines(
        "p50-over-time" + suffix,
        "Median latency by time of arrival" + pointSuffix,
        "ms",
        byPolicy,
        "p50 ms");
    lines(
        "p99-over-time" + suffix,
        "99th percentile of latency by time of arrival" + pointSuffix,
        "ms",
        byPolicy,
        "p99 ms");
    lines(
        "refused-over-time" + suffix,
        "Rejected requests per window" + pointSuffix,
        "answers",
        byPolicy,
        "refused");
    lines(
        "retries-over-time" + suffix,
        "Retries per window" + pointSuffix,
        "tries",
        byPolicy,
        "retries");
    lines(
        "depth-over-time" + suffix,
        "Queue depth of a worker" + pointSuffix,
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
    boolean hasData = false;
    double window = results.trials().get(0).windowMs() / 1000;
    for (Map.Entry<String, double[]> line : lines.entrySet()) {
      List<Double> times = new ArrayList<>();
      List<Double> values = new ArrayList<>();
      double[] windowValues = line.getValue();
      for (int i = 0; windowValues != null && i < windowValues.length; i++) {
        if (!Double.isNaN(windowValues[i])) {
          times.add(i * window);
          values.add(windowValues[i]);
        }
      }
      if (!times.isEmpty()) {
        hasData = true;
        XYSeries series = chart.addSeries(line.getKey(), times, values);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineStyle(new BasicStroke(2));
      }
    }
    if (hasData) {
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
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
