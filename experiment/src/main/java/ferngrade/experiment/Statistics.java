package ferngrade.experiment;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.emulator.ClassSpec;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.Observer;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import ferngrade.emulator.Scenario;
import ferngrade.toml.Section;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Computes the metrics of one run from the events of the emulator. Goodput is the value served
 * within the latency objective of each class, divided by the value of all first requests. The
 * answer to a retry counts as the answer to its first request, and latency is measured from the
 * time at which the first request was due. A late answer counts for {@link ClassSpec#lateWorth} of
 * its value. Times are in milliseconds.
 */
public final class Statistics implements Observer {
  /**
   * The minimum width of a window of the time series. Runs of up to {@link #MAX_WINDOWS} such
   * windows use this width.
   */
  private static final double MIN_WINDOW_MILLIS = 1000;

  /** The maximum number of windows. A longer run has wider windows instead of more windows. */
  private static final int MAX_WINDOWS = 600;

  /**
   * Latencies are recorded in microseconds with three significant digits; latencies above two
   * minutes are recorded as two minutes.
   */
  private static final long MAX_LATENCY_MICROS = 120_000_000L;

  private final Scenario scenario;
  private double start;
  private final double window;
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
  private final List<Window> windows = new ArrayList<>();
  private final double[] requestedByClass;
  private final double[] servedByClass;
  private final double[] requestedByTenant;
  private final double[] servedByTenant;
  private final Map<Answer, Long> answers = new EnumMap<>(Answer.class);
  private long firstRequestCount;
  private long requestCount;
  private long onTimeCount;
  private long attempts;
  private long lateAnswers;
  private long lost;
  private double usefulWork;
  private double sentWork;

  private static final class Window {
    double requested;
    double served;
    long refused;
    long retries;
    long requests;
    double depthSum;
    long depthSamples;
    final Map<Integer, Double> slices = new LinkedHashMap<>();
    final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 2);
  }

  /**
   * Creates the statistics of a run of this scenario that starts at {@code start} ms. If {@code
   * start} is NaN, the run starts at the first arrival.
   */
  public Statistics(Scenario scenario, double start) {
    this.scenario = scenario;
    this.start = start;
    this.window =
        MIN_WINDOW_MILLIS
            * Math.max(1, Math.ceil(scenario.duration / MIN_WINDOW_MILLIS / MAX_WINDOWS));
    this.requestedByClass = new double[scenario.workload.classes.size()];
    this.servedByClass = new double[requestedByClass.length];
    this.requestedByTenant = new double[Math.max(1, scenario.workload.tenants.size())];
    this.servedByTenant = new double[requestedByTenant.length];
  }

  private Window window(double at) {
    int index =
        Double.isNaN(start)
            ? 0
            : (int) Math.max(0, Math.min((at - start) / window, scenario.duration / window + 40));
    while (windows.size() <= index) {
      windows.add(new Window());
    }
    return windows.get(index);
  }

  @Override
  public void requestDue(double now, Request request) {
    if (Double.isNaN(start)) {
      start = now;
    }
    requestCount++;
    window(now).requests++;
    if (request.first != request) {
      window(now).retries++;
      return;
    }
    firstRequestCount++;
    window(now).requested += request.value;
    requestedByClass[request.jobClass] += request.value;
    requestedByTenant[request.tenant] += request.value;
  }

  @Override
  public void requestEnded(double now, Request request, Answer answer) {
    answers.merge(answer, 1L, Long::sum);
    if (answer == Answer.REFUSED) {
      window(now).refused++;
    }
    if (answer != Answer.SERVED) {
      return;
    }
    double latencyMillis = now - request.first.due;
    long latencyMicros =
        Math.min(MAX_LATENCY_MICROS, Math.max(1, Math.round(latencyMillis * 1000)));
    latency.recordValue(latencyMicros);
    Window arrivalWindow = window(request.first.due);
    arrivalWindow.latency.recordValue(latencyMicros);
    ClassSpec jobClass = scenario.workload.classes.get(request.jobClass);
    boolean onTime =
        latencyMillis
            <= Math.min(jobClass.aim + jobClass.stretch * request.work, jobClass.deadline);
    double servedValue = request.value * (onTime ? 1 : jobClass.lateWorth);
    onTimeCount += onTime ? 1 : 0;
    usefulWork += request.work;
    arrivalWindow.served += servedValue;
    servedByClass[request.jobClass] += servedValue;
    servedByTenant[request.tenant] += servedValue;
  }

  @Override
  public void attemptSent(double now, int node, EmulatedWorker worker, Request request) {
    attempts++;
    sentWork += request.work;
  }

  @Override
  public void attemptEnded(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    if (outcome.neverRan && outcome != AttemptOutcome.NEVER_SENT) {
      sentWork -= outcome == AttemptOutcome.FULL ? request.work : 0;
    }
  }

  @Override
  public void lateAnswer(double now, Request request, Answer answer) {
    lateAnswers++;
  }

  @Override
  public void requestLost(double now, Request request, String reason) {
    lost++;
  }

  @Override
  public void sliceSampled(double now, int node, double slots) {
    window(now).slices.put(node, slots);
  }

  @Override
  public void queueSampled(double now, EmulatedWorker worker, int running, int waiting) {
    Window window = window(now);
    window.depthSum += waiting;
    window.depthSamples++;
  }

  // ---- Results ----

  /** Returns the width of a window of the time series in ms. */
  public double window() {
    return window;
  }

  /** Returns the share of the requested value that was served in time, 1 if none was requested. */
  public double goodput() {
    double requested = Arrays.stream(requestedByClass).sum();
    return requested == 0 ? 1 : Arrays.stream(servedByClass).sum() / requested;
  }

  /** Returns all metrics by name; latencies are in milliseconds. */
  public Map<String, Double> metrics() {
    Map<String, Double> metrics = new LinkedHashMap<>();
    metrics.put("goodput", goodput());
    metrics.put("worst class", minShare(requestedByClass, servedByClass));
    metrics.put("worst tenant", minShare(requestedByTenant, servedByTenant));
    metrics.put("p50 ms", latency.getValueAtPercentile(50) / 1000.0);
    metrics.put("p90 ms", latency.getValueAtPercentile(90) / 1000.0);
    metrics.put("p99 ms", latency.getValueAtPercentile(99) / 1000.0);
    metrics.put("first tries", (double) firstRequestCount);
    metrics.put("retries", (double) (requestCount - firstRequestCount));
    metrics.put("in time", (double) onTimeCount);
    for (Answer answer : Answer.values()) {
      metrics.put(Section.toKebabCase(answer.name()), (double) answers.getOrDefault(answer, 0L));
    }
    metrics.put("attempts a try", requestCount == 0 ? 0 : (double) attempts / requestCount);
    metrics.put("wasted work", sentWork <= 0 ? 0 : Math.max(0, 1 - usefulWork / sentWork));
    metrics.put("strays", (double) lateAnswers);
    metrics.put("lost by the emulator", (double) lost);
    return metrics;
  }

  /** Returns the goodput of each class by name. */
  public Map<String, Double> byClass() {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (int i = 0; i < requestedByClass.length; i++) {
      shares.put(
          scenario.workload.classes.get(i).name, share(servedByClass[i], requestedByClass[i]));
    }
    return shares;
  }

  /** Returns the goodput of each tenant by name. */
  public Map<String, Double> byTenant() {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (int i = 0; i < scenario.workload.tenants.size(); i++) {
      shares.put(
          scenario.workload.tenants.get(i).name, share(servedByTenant[i], requestedByTenant[i]));
    }
    return shares;
  }

  /**
   * Returns the time series by name, with one value per window; NaN where a window has no value.
   */
  public Map<String, double[]> series() {
    Map<String, double[]> series = new LinkedHashMap<>();
    put(
        series,
        "goodput",
        window -> window.requested == 0 ? Double.NaN : window.served / window.requested);
    put(series, "p50 ms", window -> percentile(window, 50));
    put(series, "p90 ms", window -> percentile(window, 90));
    put(series, "p99 ms", window -> percentile(window, 99));
    put(series, "refused", window -> window.refused);
    put(series, "retries", window -> window.retries);
    put(series, "tries", window -> window.requests);
    put(
        series,
        "queue depth",
        window -> window.depthSamples == 0 ? Double.NaN : window.depthSum / window.depthSamples);
    put(
        series,
        "budget",
        window ->
            window.slices.isEmpty()
                ? Double.NaN
                : window.slices.values().stream().mapToDouble(slice -> slice).sum());
    int nodesShown = Math.min(8, scenario.nodes);
    for (int i = 0; i < nodesShown; i++) {
      int node = i;
      put(series, "slice " + node, window -> window.slices.getOrDefault(node, Double.NaN));
    }
    return series;
  }

  private interface WindowMetric {
    double of(Window window);
  }

  private void put(Map<String, double[]> series, String name, WindowMetric metric) {
    series.put(name, windows.stream().mapToDouble(metric::of).toArray());
  }

  private static double percentile(Window window, double percentile) {
    return window.latency.getTotalCount() == 0
        ? Double.NaN
        : window.latency.getValueAtPercentile(percentile) / 1000.0;
  }

  private static double minShare(double[] requested, double[] served) {
    double min = 1;
    for (int i = 0; i < requested.length; i++) {
      min = Math.min(min, share(served[i], requested[i]));
    }
    return min;
  }

  private static double share(double served, double requested) {
    return requested == 0 ? 1 : served / requested;
  }
}
