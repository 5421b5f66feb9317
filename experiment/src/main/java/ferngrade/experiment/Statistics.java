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
 * The figures of one run. Goodput is the worth answered within each class's aim over the worth
 * asked for in first tries; a retry's answer counts for its first try, and a latency counts from
 * the time at which the first try was due.
 */
public final class Statistics implements Observer {
  /** The least width of a window of the series, ms, and the most windows that a run is cut into. */
  private static final double LEAST_WINDOW = 1000;

  private static final int MOST_WINDOWS = 600;

  /** Latencies are kept in microseconds, to three digits, up to two minutes. */
  private static final long MOST_LATENCY = 120_000_000L;

  private final Scenario scenario;
  private double start;
  private final double window;
  private final Histogram latency = new Histogram(MOST_LATENCY, 3);
  private final List<Window> windows = new ArrayList<>();
  private final double[] classAsked;
  private final double[] classServed;
  private final double[] tenantAsked;
  private final double[] tenantServed;
  private final Map<Answer, Long> answers = new EnumMap<>(Answer.class);
  private long first;
  private long tries;
  private long inTime;
  private long attempts;
  private long strays;
  private long lost;
  private double usefulWork;
  private double sentWork;

  private static final class Window {
    double asked;
    double served;
    long refused;
    long retries;
    long tries;
    double depth;
    long depths;
    final Map<Integer, Double> slices = new LinkedHashMap<>();
    final Histogram latency = new Histogram(MOST_LATENCY, 2);
  }

  /**
   * Figures of a run of this scenario that begins at {@code start}, with its first arrival if that
   * is NaN.
   */
  public Statistics(Scenario scenario, double start) {
    this.scenario = scenario;
    this.start = start;
    this.window =
        LEAST_WINDOW * Math.max(1, Math.ceil(scenario.duration / LEAST_WINDOW / MOST_WINDOWS));
    this.classAsked = new double[scenario.workload.classes.size()];
    this.classServed = new double[classAsked.length];
    this.tenantAsked = new double[Math.max(1, scenario.workload.tenants.size())];
    this.tenantServed = new double[tenantAsked.length];
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
  public void due(double now, Request request) {
    if (Double.isNaN(start)) {
      start = now;
    }
    tries++;
    window(now).tries++;
    if (request.first != request) {
      window(now).retries++;
      return;
    }
    first++;
    window(now).asked += request.worth;
    classAsked[request.jobClass] += request.worth;
    tenantAsked[request.tenant] += request.worth;
  }

  @Override
  public void ended(double now, Request request, Answer answer) {
    answers.merge(answer, 1L, Long::sum);
    if (answer == Answer.REFUSED) {
      window(now).refused++;
    }
    if (answer != Answer.SERVED) {
      return;
    }
    double took = now - request.first.due;
    long micros = Math.min(MOST_LATENCY, Math.max(1, Math.round(took * 1000)));
    latency.recordValue(micros);
    Window due = window(request.first.due);
    due.latency.recordValue(micros);
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    boolean timely = took <= Math.min(spec.aim + spec.stretch * request.work, spec.deadline);
    double value = request.worth * (timely ? 1 : spec.lateWorth);
    inTime += timely ? 1 : 0;
    usefulWork += request.work;
    due.served += value;
    classServed[request.jobClass] += value;
    tenantServed[request.tenant] += value;
  }

  @Override
  public void sent(double now, int node, EmulatedWorker worker, Request request) {
    attempts++;
    sentWork += request.work;
  }

  @Override
  public void attemptOver(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    if (outcome.neverRan && outcome != AttemptOutcome.NEVER_SENT) {
      sentWork -= outcome == AttemptOutcome.FULL ? request.work : 0;
    }
  }

  @Override
  public void stray(double now, Request request, Answer answer) {
    strays++;
  }

  @Override
  public void lost(double now, Request request, String why) {
    lost++;
  }

  @Override
  public void slice(double now, int node, double slots) {
    window(now).slices.put(node, slots);
  }

  @Override
  public void depth(double now, EmulatedWorker worker, int running, int waiting) {
    Window window = window(now);
    window.depth += waiting;
    window.depths++;
  }

  // ---- What came of it ----

  /** The width of a window of the series, ms. */
  public double window() {
    return window;
  }

  /** The share of the worth asked for that was answered in time. */
  public double goodput() {
    double asked = Arrays.stream(classAsked).sum();
    return asked == 0 ? 1 : Arrays.stream(classServed).sum() / asked;
  }

  /** All figures by name; latencies are milliseconds. */
  public Map<String, Double> figures() {
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put("goodput", goodput());
    figures.put("worst class", least(classAsked, classServed));
    figures.put("worst tenant", least(tenantAsked, tenantServed));
    figures.put("p50 ms", latency.getValueAtPercentile(50) / 1000.0);
    figures.put("p90 ms", latency.getValueAtPercentile(90) / 1000.0);
    figures.put("p99 ms", latency.getValueAtPercentile(99) / 1000.0);
    figures.put("first tries", (double) first);
    figures.put("retries", (double) (tries - first));
    figures.put("in time", (double) inTime);
    for (Answer answer : Answer.values()) {
      figures.put(Section.kebab(answer.name()), (double) answers.getOrDefault(answer, 0L));
    }
    figures.put("attempts a try", tries == 0 ? 0 : (double) attempts / tries);
    figures.put("wasted work", sentWork <= 0 ? 0 : Math.max(0, 1 - usefulWork / sentWork));
    figures.put("strays", (double) strays);
    figures.put("lost by the emulator", (double) lost);
    return figures;
  }

  /** Goodput by class. */
  public Map<String, Double> byClass() {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (int i = 0; i < classAsked.length; i++) {
      shares.put(scenario.workload.classes.get(i).name, share(classServed[i], classAsked[i]));
    }
    return shares;
  }

  /** Goodput by tenant. */
  public Map<String, Double> byTenant() {
    Map<String, Double> shares = new LinkedHashMap<>();
    for (int i = 0; i < scenario.workload.tenants.size(); i++) {
      shares.put(scenario.workload.tenants.get(i).name, share(tenantServed[i], tenantAsked[i]));
    }
    return shares;
  }

  /** The series over time, one value for each window; NaN where a window has none. */
  public Map<String, double[]> series() {
    Map<String, double[]> series = new LinkedHashMap<>();
    put(series, "goodput", each -> each.asked == 0 ? Double.NaN : each.served / each.asked);
    put(series, "p50 ms", each -> percentile(each, 50));
    put(series, "p90 ms", each -> percentile(each, 90));
    put(series, "p99 ms", each -> percentile(each, 99));
    put(series, "refused", each -> each.refused);
    put(series, "retries", each -> each.retries);
    put(series, "tries", each -> each.tries);
    put(series, "queue depth", each -> each.depths == 0 ? Double.NaN : each.depth / each.depths);
    put(
        series,
        "budget",
        each ->
            each.slices.isEmpty()
                ? Double.NaN
                : each.slices.values().stream().mapToDouble(slice -> slice).sum());
    int most = Math.min(8, scenario.nodes);
    for (int i = 0; i < most; i++) {
      int node = i;
      put(series, "slice " + node, each -> each.slices.getOrDefault(node, Double.NaN));
    }
    return series;
  }

  private interface Figure {
    double of(Window window);
  }

  private void put(Map<String, double[]> series, String name, Figure figure) {
    series.put(name, windows.stream().mapToDouble(figure::of).toArray());
  }

  private static double percentile(Window window, double percentile) {
    return window.latency.getTotalCount() == 0
        ? Double.NaN
        : window.latency.getValueAtPercentile(percentile) / 1000.0;
  }

  private static double least(double[] asked, double[] served) {
    double least = 1;
    for (int i = 0; i < asked.length; i++) {
      least = Math.min(least, share(served[i], asked[i]));
    }
    return least;
  }

  private static double share(double served, double asked) {
    return asked == 0 ? 1 : served / asked;
  }
}
