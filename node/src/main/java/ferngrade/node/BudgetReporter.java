package ferngrade.node;

import ferngrade.dispatch.BudgetState;
import ferngrade.dispatch.RejectionCause;
import java.util.Locale;
import java.util.Map;

/**
 * Logs the slot budget and the rejections once a second while there are requests, as one line of
 * {@code name=value} pairs that a program can plot. Confined to the event loop's thread.
 */
public final class BudgetReporter {
  /** The interval between two lines, ms. */
  private static final double INTERVAL_MILLIS = 1000;

  private final RequestCoordinator coordinator;
  private final Timers timers;
  private final RateLimitedLog log;
  private long lastAnswered;
  private Map<RejectionCause, Long> lastRejected = Map.of();

  /** Creates a reporter for the requests of {@code coordinator}. */
  public BudgetReporter(RequestCoordinator coordinator, Timers timers, RateLimitedLog log) {
    this.coordinator = coordinator;
    this.timers = timers;
    this.log = log;
  }

  /** Starts the periodic reports. */
  public void start() {
    timers.after(INTERVAL_MILLIS, this::report);
  }

  private void report() {
    NodeMetrics.Snapshot metrics = coordinator.metrics();
    long answered = metrics.answered();
    if (answered != lastAnswered || metrics.inFlight() > 0) {
      log.line(describe(metrics, answered - lastAnswered));
    }
    lastAnswered = answered;
    lastRejected = metrics.rejectedFor();
    timers.after(INTERVAL_MILLIS, this::report);
  }

  private String describe(NodeMetrics.Snapshot metrics, long newAnswers) {
    StringBuilder line = new StringBuilder(256);
    line.append("budget answered=").append(newAnswers);
    line.append(" in_flight=").append(metrics.inFlight());
    for (RejectionCause cause : RejectionCause.values()) {
      long count = metrics.rejectedFor().getOrDefault(cause, 0L);
      long previous = lastRejected.getOrDefault(cause, 0L);
      if (count > previous) {
        String name = cause.name().toLowerCase(Locale.ROOT);
        line.append(" rejected_").append(name).append('=').append(count - previous);
      }
    }
    BudgetState budget = coordinator.budgetState();
    if (budget != null) {
      line.append(describe(budget));
    }
    return line.toString();
  }

  private static String describe(BudgetState budget) {
    return String.format(
        Locale.ROOT,
        " slice=%.1f demand=%.1f accepted=%.1f rejected_share=%.3f held=%.0f size=%.1f busy=%.1f"
            + " learned_from=%s",
        budget.slice(),
        budget.demand(),
        budget.accepted(),
        budget.rejectedShare(),
        budget.slotsInFlight(),
        budget.fleetSize(),
        budget.fleetBusy(),
        budget.followsLoads() ? "listed-loads" : "own-attempts");
  }
}
