package ferngrade.http;

import ferngrade.dispatch.RejectionCause;
import ferngrade.node.DurationBuckets;
import ferngrade.node.LoopMonitor;
import ferngrade.node.MemoryBudget;
import ferngrade.node.NodeMetrics;
import ferngrade.node.RejectionReason;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.RequestIds;
import ferngrade.node.WithheldReason;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;

/** Formats the node's metrics as plain text for operators. Confined to the event loop. */
final class MetricsPage {
  private final RequestCoordinator coordinator;
  private final HttpFrontend frontend;
  private final ForcedCloses operatorCloses;
  private final UpgradePeers upgradePeers;
  private final RequestIdClaims requestIds;
  private final List<String> classes;
  private final LoopMonitor loopMonitor;
  private final IntSupplier reloadsOk;
  private final IntSupplier reloadsFailed;

  MetricsPage(OperatorCalls.Parts parts) {
    this.coordinator = parts.coordinator();
    this.frontend = parts.frontend();
    this.operatorCloses = parts.operatorCloses();
    this.upgradePeers = parts.upgradePeers();
    this.requestIds = parts.requestIds();
    this.classes = parts.classes();
    this.loopMonitor = parts.loopMonitor();
    this.reloadsOk = parts.reloadsOk();
    this.reloadsFailed = parts.reloadsFailed();
  }

  /** Returns the current metrics, one {@code name=value} per line. */
  String text() {
    NodeMetrics.Snapshot snapshot = coordinator.metrics();
    StringBuilder text = new StringBuilder(256);
    for (int i = 0; i < classes.size(); i++) {
      line(text, "served." + classes.get(i), count(snapshot.served(), i));
      line(text, "refused." + classes.get(i), count(snapshot.refused(), i));
      line(text, "failed." + classes.get(i), count(snapshot.failed(), i));
    }
    line(text, "attempts", snapshot.attempts());
    line(text, "in_flight", snapshot.inFlight());
    line(text, "menu_workers_known", snapshot.known());
    line(text, "menu_workers_excluded", snapshot.excluded());
    line(text, "reloads_ok", reloadsOk.getAsInt());
    line(text, "reloads_failed", reloadsFailed.getAsInt());
    line(text, "retries", snapshot.retries());
    line(text, "abandoned", snapshot.abandoned());
    lines(text, "withheld.", WithheldReason.values(), snapshot.withheld());
    lines(text, "rejected.", RejectionReason.values(), snapshot.rejected());
    lines(text, "rejected_for.", RejectionCause.values(), snapshot.rejectedFor());
    durations(text, "loop_turn", loopMonitor.turns());
    durations(text, "timer_delay", loopMonitor.timerDelays());
    lines(text, "closed_clients.", ForcedCloses.Reason.values(), frontend.forcedCloses().counts());
    lines(text, "closed_operators.", ForcedCloses.Reason.values(), operatorCloses.counts());
    MemoryBudget memory = frontend.memory();
    line(text, "peer_memory.limit", memory.limit());
    for (MemoryBudget.Use use : MemoryBudget.Use.values()) {
      line(text, "peer_memory." + use.name().toLowerCase(Locale.ROOT), memory.reserved(use));
    }
    lines(text, "peer_memory_refused.", MemoryBudget.Use.values(), memory.refused());
    if (upgradePeers != null) {
      lines(text, "relayed.", UpgradePeers.RelayOutcome.values(), upgradePeers.relayed());
    }
    if (requestIds != null) {
      lines(text, "id_claims.", RequestIds.Claim.values(), requestIds.outcomes());
    }
    return text.toString();
  }

  /** Appends a line for each reason, also for reasons that have not occurred. */
  private static <R extends Enum<R>> void lines(
      StringBuilder text, String prefix, R[] reasons, Map<R, Long> counts) {
    for (R reason : reasons) {
      line(text, prefix + reason.name().toLowerCase(Locale.ROOT), counts.getOrDefault(reason, 0L));
    }
  }

  private static void durations(StringBuilder text, String name, DurationBuckets durations) {
    durations.forEach((bound, count) -> line(text, name + ".le_" + bound, count));
    line(text, name + ".max_ms", Math.round(durations.max()));
  }

  private static long count(long[] counts, int jobClass) {
    return jobClass < counts.length ? counts[jobClass] : 0;
  }

  private static void line(StringBuilder text, String name, long value) {
    text.append(name).append('=').append(value).append('\n');
  }
}
