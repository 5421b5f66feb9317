package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.node.JobRequest;
import ferngrade.node.WorkerCallback;
import ferngrade.node.WorkerCallback.State;
import ferngrade.node.WorkerTransport;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Connects one node to the workers in virtual time, with pooled connections, delays, packet loss
 * and unresponsive peers.
 */
final class VirtualWorkers implements WorkerTransport {
  /** The maximum number of times that a worker retries a callback that is not acknowledged. */
  private static final int MAX_CALLBACK_RETRIES = 10;

  private static final double CALLBACK_RETRY_DELAY_MILLIS = 500;
  private static final double CHECK_TIMEOUT_MILLIS = 300;

  private final VirtualRun run;
  private final VirtualNode node;
  private final IdentityHashMap<EmulatedWorker, ConnectionPool> pools = new IdentityHashMap<>();
  private final Set<Transfer> unansweredTransfers = new LinkedHashSet<>();
  private boolean closed;

  /** The times at which the idle connections to one worker became idle, the latest last. */
  private static final class ConnectionPool {
    final Deque<Double> idle = new ArrayDeque<>(2);
  }

  VirtualWorkers(VirtualRun run, VirtualNode node) {
    this.run = run;
    this.node = node;
  }

  /** Closes all connections when the node's process ends. */
  void close() {
    closed = true;
    pools.forEach((worker, pool) -> worker.connections -= pool.idle.size());
    pools.clear();
    for (Transfer transfer : List.copyOf(unansweredTransfers)) {
      transfer.disconnect();
    }
  }

  /**
   * Resets the unanswered attempts at a worker whose process has ended, and closes the idle
   * connections to it.
   */
  void workerProcessEnded(EmulatedWorker worker) {
    ConnectionPool pool = pools.remove(worker);
    if (pool != null) {
      worker.connections -= pool.idle.size();
    }
    List<Transfer> affected = new ArrayList<>();
    unansweredTransfers.forEach(
        transfer -> {
          if (transfer.worker == worker) {
            affected.add(transfer);
          }
        });
    affected.forEach(
        transfer ->
            run.time.after(
                run.network.streamDelay(worker.zone, node.zone), node.inProcess(transfer::reset)));
  }

  @Override
  public AttemptHandle send(
      JobRequest job, InetSocketAddress address, double timeoutMillis, Listener listener) {
    EmulatedWorker worker = run.fleet.byAddress(address);
    Transfer transfer = new Transfer(worker, node.openRequest(job.id()), listener);
    ConnectionPool pool = pools.get(worker);
    while (pool != null && !pool.idle.isEmpty()) {
      double idleSince = pool.idle.pollLast();
      if (run.time.now() - idleSince < run.scenario.network.connectionIdle) {
        transfer.connected = true;
        transfer.begin();
        return transfer;
      }
      worker.connections--;
    }
    connect(worker, transfer);
    return transfer;
  }

  private void connect(EmulatedWorker worker, Transfer transfer) {
    NetworkSpec spec = run.scenario.network;
    double requestDelay = run.network.streamDelay(node.zone, worker.zone);
    double responseDelay = run.network.streamDelay(worker.zone, node.zone);
    boolean noResponse = worker.unreachable || requestDelay + responseDelay == Network.NEVER;
    if (noResponse) {
      run.time.after(
          spec.connectTimeout,
          node.inProcess(() -> transfer.reportOutcome(AttemptOutcome.CONNECT_FAILED)));
    } else if (!worker.model.up() || worker.connections >= worker.maxConnections) {
      run.time.after(
          requestDelay + responseDelay,
          node.inProcess(() -> transfer.reportOutcome(AttemptOutcome.CONNECT_FAILED)));
    } else {
      worker.connections++;
      transfer.connected = true;
      worker.model.addOverhead(worker.handshakeWork());
      run.time.after(
          spec.handshakeTrips * (requestDelay + responseDelay), node.inProcess(transfer::begin));
    }
  }

  private void release(EmulatedWorker worker) {
    if (!closed && worker.model.up() && !worker.unreachable) {
      pools.computeIfAbsent(worker, key -> new ConnectionPool()).idle.add(run.time.now());
    } else {
      worker.connections--;
    }
  }

  @Override
  public void check(InetSocketAddress address, BiConsumer<AttemptOutcome, LoadReport> listener) {
    EmulatedWorker worker = run.fleet.byAddress(address);
    double roundTrip =
        run.network.streamDelay(node.zone, worker.zone)
            + run.network.streamDelay(worker.zone, node.zone);
    boolean noResponse =
        worker.unreachable || worker.model.hung() || roundTrip >= CHECK_TIMEOUT_MILLIS;
    run.time.after(
        Math.min(roundTrip, CHECK_TIMEOUT_MILLIS),
        node.inProcess(
            () -> {
              if (noResponse) {
                listener.accept(AttemptOutcome.TIMEOUT, LoadReport.NONE);
              } else if (!worker.model.up()) {
                listener.accept(AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
              } else {
                worker.model.addOverhead(1);
                listener.accept(AttemptOutcome.OK, worker.model.report());
              }
            }));
  }

  /** Carries one attempt to a worker and its outcome back to the node. */
  private final class Transfer implements AttemptHandle, WorkerModel.JobListener {
    private final EmulatedWorker worker;
    private final Request request;
    private final Listener listener;
    private boolean connected;
    private boolean written;
    private boolean accepted;
    private boolean givenUp;
    private boolean ended;
    private boolean requestInFlight;

    Transfer(EmulatedWorker worker, Request request, Listener listener) {
      this.worker = worker;
      this.request = request;
      this.listener = listener;
    }

    // -- Node side --

    void begin() {
      if (givenUp) {
        release(worker);
        return;
      }
      if (!listener.mayStart()) {
        release(worker);
        reportOutcome(AttemptOutcome.NEVER_SENT);
        return;
      }
      written = true;
      unansweredTransfers.add(this);
      run.observer.attemptSent(run.time.now(), node.number, worker, request);
      listener.written();
      double delay = run.network.streamDelay(node.zone, worker.zone);
      if (delay == Network.NEVER) {
        return;
      }
      requestInFlight = true;
      worker.inFlight += request.work;
      boolean resets = run.network.drawReset();
      run.time.after(
          delay,
          () -> {
            requestDelivered();
            if (resets) {
              toNode(this::reset);
            } else {
              arrive();
            }
          });
    }

    private void requestDelivered() {
      if (requestInFlight) {
        requestInFlight = false;
        worker.inFlight -= request.work;
      }
    }

    /** Reports the outcome to the node, unless the attempt has ended or the node gave it up. */
    void reportOutcome(AttemptOutcome outcome) {
      if (!ended && !givenUp) {
        recordOutcome(outcome);
        listener.ended(outcome, LoadReport.NONE);
      }
    }

    private void recordOutcome(AttemptOutcome outcome) {
      ended = true;
      unansweredTransfers.remove(this);
      run.observer.attemptEnded(run.time.now(), node.number, worker, request, outcome);
    }

    void reset() {
      if (!accepted) {
        disconnect();
        reportOutcome(AttemptOutcome.RESET);
      }
    }

    void disconnect() {
      unansweredTransfers.remove(this);
      if (connected && !accepted) {
        connected = false;
        worker.connections--;
      }
    }

    @Override
    public void cancel(Runnable onGivenUp) {
      if (!givenUp && !ended) {
        giveUp();
      }
      onGivenUp.run();
    }

    private void giveUp() {
      givenUp = true;
      if (accepted) {
        double delay = run.network.streamDelay(node.zone, worker.zone);
        if (delay != Network.NEVER) {
          run.time.after(delay, () -> worker.model.cancel(request.id));
        }
      } else if (written) {
        disconnect();
      }
      recordOutcome(written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    }

    // -- Worker side --

    private void arrive() {
      if (worker.unreachable || worker.model.hung()) {
        return;
      }
      if (!worker.model.up()) {
        toNode(this::reset);
        return;
      }
      if (givenUp && !connected) {
        // The connection was closed before the worker had read the complete request.
        return;
      }
      if (run.fleet.offer(worker, request, run.informed(node.number, worker), this)) {
        toNode(
            () -> {
              if (!givenUp && !ended) {
                accepted = true;
                unansweredTransfers.remove(this);
                release(worker);
                listener.accepted();
              }
            });
      } else {
        toNode(
            () -> {
              if (!givenUp && !ended) {
                release(worker);
                reportOutcome(AttemptOutcome.FULL);
              }
            });
      }
    }

    private void toNode(Runnable task) {
      double delay = run.network.streamDelay(worker.zone, node.zone);
      if (delay != Network.NEVER) {
        run.time.after(delay, node.inProcess(task));
      }
    }

    private void sendCallback(State state, double share, AttemptOutcome outcome, int retries) {
      if (worker.unreachable) {
        return;
      }
      double delay = run.network.streamDelay(worker.zone, node.zone);
      if (delay == Network.NEVER || !node.up()) {
        if (retries < MAX_CALLBACK_RETRIES) {
          run.time.after(
              CALLBACK_RETRY_DELAY_MILLIS, () -> sendCallback(state, share, outcome, retries + 1));
        }
        return;
      }
      WorkerCallback callback =
          new WorkerCallback(
              request.id,
              worker.name,
              state,
              share,
              state == State.DONE ? "done" : "",
              outcome != null && worker.model.reportsWithAnswers()
                  ? worker.model.report()
                  : LoadReport.NONE);
      run.time.after(
          delay,
          node.inProcess(
              () -> {
                if (outcome != null && !ended && !givenUp) {
                  recordOutcome(outcome);
                  if (!accepted) {
                    // The 202 response is still in flight, and the connection is in use by it.
                    accepted = true;
                    release(worker);
                  }
                }
                node.receiveCallback(callback);
              }));
    }

    @Override
    public void started() {
      run.observer.jobStarted(run.time.now(), worker, request.id);
      sendCallback(State.STARTED, 0, null, 0);
    }

    @Override
    public void progress(double share) {
      sendCallback(State.RUNNING, share, null, MAX_CALLBACK_RETRIES);
    }

    @Override
    public void done() {
      sendCallback(State.DONE, 1, AttemptOutcome.OK, 0);
    }

    @Override
    public void failed() {
      sendCallback(State.FAILED, 0, AttemptOutcome.ERROR, 0);
    }

    @Override
    public void returned() {
      sendCallback(State.RETURNED, 0, AttemptOutcome.FULL, 0);
    }

    @Override
    public void lost() {
      sendCallback(State.LOST, 0, AttemptOutcome.RESET, 0);
    }
  }
}
