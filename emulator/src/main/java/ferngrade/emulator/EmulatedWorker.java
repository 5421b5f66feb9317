package ferngrade.emulator;

import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import ferngrade.node.Endpoint;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * One worker of the emulated fleet: its place, its process, and what discovery truly should say of
 * it.
 */
public final class EmulatedWorker {
  public final int number;
  public final String name;

  /** The id that nodes know it by; it tells nothing of the number. */
  public final long id;

  public final int zone;
  public final int kind;
  public final int cell;
  public final WorkerModel model;
  final int mostConnections;
  private final double handshakeWork;
  private final double cores;
  private final double size;

  /** Where it is reached: a made-up address in virtual time, where it listens on sockets. */
  public final InetSocketAddress address;

  WorkerState phase = WorkerState.READY;

  /** Its machine says nothing any more. */
  boolean vanished;

  int connections;

  /** Work on its way to it, which only the policy that sees everything may count. */
  double inFlight;

  EmulatedWorker(
      int number,
      long id,
      int zone,
      int kind,
      int cell,
      KindSpec spec,
      InetSocketAddress address,
      WorkerModel model) {
    this.number = number;
    this.name = "w" + number;
    this.id = id;
    this.zone = zone;
    this.kind = kind;
    this.cell = cell;
    this.model = model;
    this.address = address;
    this.mostConnections = (int) Math.max(1, spec.connectionsPerCore * spec.cores);
    this.handshakeWork = spec.handshakeWork;
    this.cores = spec.cores;
    this.size = spec.cores * spec.speed;
  }

  /** An address that no socket uses: it only tells workers apart. */
  static InetSocketAddress madeUp(int number) {
    byte[] bytes = {10, (byte) (number >> 16), (byte) (number >> 8), (byte) number};
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), 1 + (number >> 24));
    } catch (UnknownHostException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** The work that a new connection costs it. */
  public double handshakeWork() {
    return handshakeWork;
  }

  /** True once its machine says nothing any more. */
  public boolean vanished() {
    return vanished;
  }

  /**
   * The truth, as an entry of the worker list: its weight is its size, lowered by the jobs held for
   * each core.
   */
  Endpoint entry() {
    int held = model.up() ? model.running() + model.waiting() : 0;
    Worker worker =
        new Worker(id, phase, zone, kind, cell, model.startedAt(), size / (1 + held / cores));
    return new Endpoint(name, address, worker);
  }

  @Override
  public String toString() {
    return name;
  }
}
