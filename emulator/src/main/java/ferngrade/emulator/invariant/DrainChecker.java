package ferngrade.emulator.invariant;

import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.Request;
import ferngrade.emulator.Scenario;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a node sends no new attempt to a worker once the grace period has elapsed since the
 * node was notified that the worker is draining or gone.
 */
public final class DrainChecker extends InvariantChecker {
  private final double grace;
  private final Map<NodeAndWorker, Double> notifiedAt = new HashMap<>();

  private record NodeAndWorker(int node, long worker) {}

  /** Creates a checker with the scenario's grace period. */
  public DrainChecker(Scenario scenario) {
    super("drain");
    this.grace = scenario.drainGrace;
  }

  @Override
  public void workerListed(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {
    NodeAndWorker key = new NodeAndWorker(node, worker.id);
    if (state == WorkerState.READY) {
      notifiedAt.remove(key);
    } else {
      notifiedAt.putIfAbsent(key, now);
    }
  }

  @Override
  public void nodeStateChanged(double now, int node, boolean up) {
    notifiedAt.keySet().removeIf(key -> key.node() == node);
  }

  @Override
  public void attemptSent(double now, int node, EmulatedWorker worker, Request request) {
    if (notifiedAt.isEmpty()) {
      return;
    }
    Double since = notifiedAt.get(new NodeAndWorker(node, worker.id));
    if (since != null && now > since + grace) {
      reportViolation(
          now,
          request
              + " was sent to "
              + worker
              + " "
              + (now - since)
              + " ms after its drain or removal was announced to node "
              + node);
    }
  }
}
