package ferngrade.node;

import java.lang.ref.WeakReference;
import java.util.Locale;

/**
 * Measures the duration of the event loop's turns and the delays of its timers. Logs a long turn or
 * a late timer together with indications of its cause, each since the last sample: the processor
 * time of the loop's thread, the time in which the thread was runnable without a processor, and
 * whether a garbage collection ran. For the rest of the time the thread was stopped, or waited in a
 * system call or for the garbage collector. Confined to the event loop's thread.
 */
public final class LoopMonitor {
  /** The duration of a turn, or the delay of a timer, above which it is logged, ms. */
  private static final double REPORT_THRESHOLD_MILLIS = 50;

  /** The interval between two samples of the scheduler statistics, ms. */
  private static final double SAMPLE_INTERVAL_MILLIS = 1000;

  private final Clock clock;
  private final RateLimitedLog log;
  private final DurationBuckets turns = new DurationBuckets();
  private final DurationBuckets timerDelays = new DurationBuckets();

  /**
   * The longest turn or timer delay since the last sample, in ms. {@link #longestBeforeSample} is
   * the longest between the last two samples.
   */
  private double longestSinceSample;

  private double longestBeforeSample;
  private SchedulerStats sample = SchedulerStats.UNKNOWN;
  private double sampledAt = Double.NEGATIVE_INFINITY;

  /** A reference that the next garbage collection clears. */
  private WeakReference<Object> collectionProbe = new WeakReference<>(null);

  /** Creates a monitor that logs to {@code log}. */
  public LoopMonitor(Clock clock, RateLimitedLog log) {
    this.clock = clock;
    this.log = log;
  }

  /** Returns the durations of the loop's turns. */
  public DurationBuckets turns() {
    return turns;
  }

  /** Returns the delays of timers. */
  public DurationBuckets timerDelays() {
    return timerDelays;
  }

  /** Returns the longest turn or timer delay within the last one to two seconds, ms. */
  public double recentMaxMillis() {
    return Math.max(longestSinceSample, longestBeforeSample);
  }

  /** Records a turn of the loop that worked for {@code millis} ms. */
  public void turnEnded(double millis) {
    turns.add(millis);
    observe("turn", millis);
  }

  /** Records that a timer runs {@code millis} ms after it was due. */
  public void timerDelayed(double millis) {
    timerDelays.add(millis);
    observe("timer", millis);
  }

  private void observe(String source, double millis) {
    double now = clock.now();
    longestSinceSample = Math.max(longestSinceSample, millis);
    if (sampledAt == Double.NEGATIVE_INFINITY) {
      takeSample(SchedulerStats.read(), now);
    } else if (millis > REPORT_THRESHOLD_MILLIS) {
      report(source, millis, now);
    } else if (now - sampledAt > SAMPLE_INTERVAL_MILLIS) {
      takeSample(SchedulerStats.read(), now);
    }
  }

  private void report(String source, double millis, double now) {
    SchedulerStats current = SchedulerStats.read();
    String text =
        String.format(
            Locale.ROOT,
            "event loop held up: %s %.0f ms; in the last %.0f ms the thread ran %.0f ms, waited"
                + " %.0f ms for a processor, garbage collected: %s",
            source,
            millis,
            now - sampledAt,
            current.ran() - sample.ran(),
            current.waitedForProcessor() - sample.waitedForProcessor(),
            collectionProbe.get() == null ? "yes" : "no");
    takeSample(current, now);
    log.line("event loop held up by " + source, text);
  }

  private void takeSample(SchedulerStats current, double now) {
    sample = current;
    sampledAt = now;
    longestBeforeSample = longestSinceSample;
    longestSinceSample = 0;
    if (collectionProbe.get() == null) {
      collectionProbe = new WeakReference<>(new Object());
    }
  }
}
