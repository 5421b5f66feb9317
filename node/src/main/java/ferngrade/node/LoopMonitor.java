package ferngrade.node;

import java.lang.ref.WeakReference;
import java.util.Locale;

/**
 * Measures the event loop: how long its turns last and how late its timers run. A long turn or a
 * late timer is logged with what is known of its cause: processor time of the loop's thread, time
 * in which it was runnable without a processor, and whether garbage was collected, each since the
 * last sample. What is left of the time the thread was stopped, or waited in a system call or for
 * the collector. Belongs to the loop's thread.
 */
public final class LoopMonitor {
  /** From which length on a turn, or the delay of a timer, is logged, ms. */
  private static final double REPORTED = 50;

  /** The interval between two samples of the scheduler's figures, ms. */
  private static final double SAMPLE_INTERVAL = 1000;

  private final Clock clock;
  private final RateLimitedLog log;
  private final DurationBuckets turns = new DurationBuckets();
  private final DurationBuckets timerDelays = new DurationBuckets();

  /** The longest turn or delay since the last sample, and between the two before it, ms. */
  private double longest;

  private double longestBefore;
  private SchedulerStats sample = SchedulerStats.UNKNOWN;
  private double sampledAt = Double.NEGATIVE_INFINITY;

  /** Is cleared by the next collection of garbage. */
  private WeakReference<Object> canary = new WeakReference<>(null);

  /** A monitor that logs to {@code log}. */
  public LoopMonitor(Clock clock, RateLimitedLog log) {
    this.clock = clock;
    this.log = log;
  }

  /** The lengths of the loop's turns. */
  public DurationBuckets turns() {
    return turns;
  }

  /** How late timers ran. */
  public DurationBuckets timerDelays() {
    return timerDelays;
  }

  /** The longest turn, or delay of a timer, within the last second or two, ms. */
  public double longestLately() {
    return Math.max(longest, longestBefore);
  }

  /** A turn of the loop has ended, which worked for so many ms. */
  public void turnEnded(double millis) {
    turns.add(millis);
    observe("turn", millis);
  }

  /** A timer runs so many ms after it was due. */
  public void timerDelayed(double millis) {
    timerDelays.add(millis);
    observe("timer", millis);
  }

  private void observe(String what, double millis) {
    double now = clock.now();
    longest = Math.max(longest, millis);
    if (sampledAt == Double.NEGATIVE_INFINITY) {
      takeSample(SchedulerStats.read(), now);
    } else if (millis > REPORTED) {
      report(what, millis, now);
    } else if (now - sampledAt > SAMPLE_INTERVAL) {
      takeSample(SchedulerStats.read(), now);
    }
  }

  private void report(String what, double millis, double now) {
    SchedulerStats present = SchedulerStats.read();
    String text =
        String.format(
            Locale.ROOT,
            "event loop held up: %s %.0f ms; in the last %.0f ms the thread ran %.0f ms, waited"
                + " %.0f ms for a processor, garbage collected: %s",
            what,
            millis,
            now - sampledAt,
            present.ran() - sample.ran(),
            present.waitedForProcessor() - sample.waitedForProcessor(),
            canary.get() == null ? "yes" : "no");
    takeSample(present, now);
    log.line("event loop held up by " + what, text);
  }

  private void takeSample(SchedulerStats present, double now) {
    sample = present;
    sampledAt = now;
    longestBefore = longest;
    longest = 0;
    if (canary.get() == null) {
      canary = new WeakReference<>(new Object());
    }
  }
}
