package ferngrade.node;

import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.net.InetSocketAddress;

/**
 * An entry of the worker list: its name, its address as seen from here, and what the module is
 * told.
 */
public record Endpoint(String name, InetSocketAddress address, Worker worker) {
  /** The same entry with another start of its worker. */
  Endpoint startedAt(double startedAt) {
    return with(worker.state(), startedAt);
  }

  /** The same entry with another state and start of its worker. */
  Endpoint with(WorkerState state, double startedAt) {
    return new Endpoint(
        name,
        address,
        new Worker(
            worker.id(),
            state,
            worker.zone(),
            worker.kind(),
            worker.cell(),
            startedAt,
            worker.weight()));
  }
}
