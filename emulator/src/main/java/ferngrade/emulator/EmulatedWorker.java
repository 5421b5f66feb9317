package ferngrade.emulator;

import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import ferngrade.node.Endpoint;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * A worker of the emulated fleet: its location, its process, and the entry that a correct worker
 * list contains for it.
 */
public final class EmulatedWorker {
  public final int number;
  public final String name;

  /** The id that nodes use; it is independent of the number. */
  public final long id;

  public final int zone;
  public final int workerType;
  public final int cell;
  public final WorkerModel model;
  final int maxConnections;
  private final double handshakeWork;
  private final double cores;
  private final double size;

  /** The listening address on sockets, or a synthetic address in virtual time. */
  public final InetSocketAddress address;

  WorkerState state = WorkerState.READY;

  /** True once the machine is unreachable. */
  boolean unreachable;

  int connections;

  /** The work in flight to the worker, in ms; only the all-seeing policy may use it. */
  double inFlight;

  EmulatedWorker(
      int number,
      long id,
      int zone,
      int workerType,
      int cell,
      WorkerTypeSpec spec,
      InetSocketAddress address,
      WorkerModel model) {
    this.number = number;
    this.name = "w" + number;
    this.id = id;
    this.zone = zone;
    this.workerType = workerType;
    this.cell = cell;
    this.model = model;
    this.address = address;
    this.maxConnections = (int) Math.max(1, spec.connectionsPerCore * spec.cores);
    this.handshakeWork = spec.handshakeWork;
    this.cores = spec.cores;
    this.size = spec.cores * spec.speed;
  }

  /** Returns a synthetic address that identifies a worker and is never connected to. */
  static InetSocketAddress syntheticAddress(int number) {
    byte[] bytes = {10, (byte) (number >> 16), (byte) (number >> 8), (byte) number};
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), 1 + (number >> 24));
    } catch (UnknownHostException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Returns the work that a new connection costs the worker, in ms on a standard core. */
  public double handshakeWork() {
    return handshakeWork;
  }

  /** Returns true once the machine is unreachable. */
  public boolean unreachable() {
    return unreachable;
  }

  /**
   * Returns the worker's current entry for the worker list. The weight is the worker's size,
   * divided by one plus the number of jobs held per core.
   */
  Endpoint entry() {
    int jobsHeld = model.up() ? model.runningCount() + model.waitingCount() : 0;
    Worker worker =
        new Worker(
            id, state, zone, workerType, cell, model.startedAt(), size / (1 + jobsHeld / cores));
    return new Endpoint(name, address, worker);
  }

  @Override
  public String toString() {
    return name;
  }
}
