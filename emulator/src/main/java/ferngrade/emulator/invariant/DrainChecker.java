package ferngrade.emulator.invariant;

import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.Request;
import ferngrade.emulator.Scenario;
import java.util.HashMap;
import java.util.Map;

/**
 * Nothing new goes to a worker later than the grace after its node was told that it drains or is
 * gone.
 */
public final class DrainChecker extends InvariantChecker {
  private final double grace;
  private final Map<Told, Double> ends = new HashMap<>();

  private record Told(int node, long worker) {}

  /** A judge with the scenario's grace. */
  public DrainChecker(Scenario scenario) {
    super("drain");
    this.grace = scenario.drainGrace;
  }

  @Override
  public void told(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {
    Told about = new Told(node, worker.id);
    if (state == WorkerState.READY) {
      ends.remove(about);
    } else {
      ends.putIfAbsent(about, now);
    }
  }

  @Override
  public void node(double now, int node, boolean up) {
    ends.keySet().removeIf(told -> told.node() == node);
  }

  @Override
  public void sent(double now, int node, EmulatedWorker worker, Request request) {
    if (ends.isEmpty()) {
      return;
    }
    Double since = ends.get(new Told(node, worker.id));
    if (since != null && now > since + grace) {
      breach(
          now,
          request
              + " went to "
              + worker
              + " "
              + (now - since)
              + " ms after its end was told to node "
              + node);
    }
  }
}
