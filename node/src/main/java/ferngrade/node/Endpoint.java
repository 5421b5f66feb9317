package ferngrade.node;

import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.net.InetSocketAddress;

/**
 * An entry of the endpoint list: the worker's name, its address as seen from this node, and the
 * description that is passed to the dispatcher.
 */
public record Endpoint(String name, InetSocketAddress address, Worker worker) {
  /** Returns a copy with another start time of the worker, in ms. */
  Endpoint startedAt(double startedAt) {
    return with(worker.state(), startedAt);
  }

  /** Returns a copy with another state and start time of the worker. */
  Endpoint with(WorkerState state, double startedAt) {
    return new Endpoint(
        name,
        address,
        new Worker(
            worker.id(),
            state,
            worker.zone(),
            worker.workerType(),
            worker.cell(),
            startedAt,
            worker.weight()));
  }
}
