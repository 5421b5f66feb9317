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
 * The way from one node to the workers in virtual time: connections, delays, losses and silence.
 */
final class VirtualWorkers implements WorkerTransport {
  /** How often and for how long a worker tries a call-back that is not answered. */
  private static final int CALLBACK_TRIES = 10;

  private static final double CALLBACK_AGAIN = 500;
  private static final double CHECK_TIMEOUT = 300;

  private final VirtualRun run;
  private final VirtualNode node;
  private final IdentityHashMap<EmulatedWorker, Link> links = new IdentityHashMap<>();
  private final Set<Transfer> unanswered = new LinkedHashSet<>();
  private boolean closed;

  /** The idle connections to one worker: when each fell idle, the newest last. */
  private static final class Link {
    final Deque<Double> idle = new ArrayDeque<>(2);
  }

  VirtualWorkers(VirtualRun run, VirtualNode node) {
    this.run = run;
    this.node = node;
  }

  /** The process has ended: its connections are gone. */
  void close() {
    closed = true;
    links.forEach((worker, link) -> worker.connections -= link.idle.size());
    links.clear();
    for (Transfer each : List.copyOf(unanswered)) {
      each.disconnect();
    }
  }

  /**
   * The worker's process has died: what it has not answered is reset, and its idle connections are
   * closed.
   */
  void broken(EmulatedWorker worker) {
    Link link = links.remove(worker);
    if (link != null) {
      worker.connections -= link.idle.size();
    }
    List<Transfer> hit = new ArrayList<>();
    unanswered.forEach(
        each -> {
          if (each.worker == worker) {
            hit.add(each);
          }
        });
    hit.forEach(
        each -> run.time.after(run.network.stream(worker.zone, node.zone), node.here(each::reset)));
  }

  @Override
  public AttemptHandle send(
      JobRequest call, InetSocketAddress address, double patience, Listener listener) {
    EmulatedWorker worker = run.fleet.at(address);
    Transfer transfer = new Transfer(worker, node.held(call.id()), listener);
    Link link = links.get(worker);
    while (link != null && !link.idle.isEmpty()) {
      double since = link.idle.pollLast();
      if (run.time.now() - since < run.scenario.network.connectionIdle) {
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
    double there = run.network.stream(node.zone, worker.zone);
    double back = run.network.stream(worker.zone, node.zone);
    boolean silent = worker.vanished || there + back == Network.NEVER;
    if (silent) {
      run.time.after(
          spec.connectTimeout, node.here(() -> transfer.over(AttemptOutcome.CONNECT_FAILED)));
    } else if (!worker.model.up() || worker.connections >= worker.mostConnections) {
      run.time.after(there + back, node.here(() -> transfer.over(AttemptOutcome.CONNECT_FAILED)));
    } else {
      worker.connections++;
      transfer.connected = true;
      worker.model.burden(worker.handshakeWork());
      run.time.after(spec.handshakeTrips * (there + back), node.here(transfer::begin));
    }
  }

  private void release(EmulatedWorker worker) {
    if (!closed && worker.model.up() && !worker.vanished) {
      links.computeIfAbsent(worker, key -> new Link()).idle.add(run.time.now());
    } else {
      worker.connections--;
    }
  }

  @Override
  public void check(InetSocketAddress address, BiConsumer<AttemptOutcome, LoadReport> listener) {
    EmulatedWorker worker = run.fleet.at(address);
    double way =
        run.network.stream(node.zone, worker.zone) + run.network.stream(worker.zone, node.zone);
    boolean silent = worker.vanished || worker.model.hung() || way >= CHECK_TIMEOUT;
    run.time.after(
        Math.min(way, CHECK_TIMEOUT),
        node.here(
            () -> {
              if (silent) {
                listener.accept(AttemptOutcome.TIMEOUT, LoadReport.NONE);
              } else if (!worker.model.up()) {
                listener.accept(AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
              } else {
                worker.model.burden(1);
                listener.accept(AttemptOutcome.OK, worker.model.report());
              }
            }));
  }

  /** One attempt on its way. */
  private final class Transfer implements AttemptHandle, WorkerModel.Ear {
    private final EmulatedWorker worker;
    private final Request request;
    private final Listener listener;
    private boolean connected;
    private boolean written;
    private boolean taken;
    private boolean givenUp;
    private boolean over;
    private boolean flying;

    Transfer(EmulatedWorker worker, Request request, Listener listener) {
      this.worker = worker;
      this.request = request;
      this.listener = listener;
    }

    // -- The node's end --

    void begin() {
      if (givenUp) {
        release(worker);
        return;
      }
      if (!listener.mayStart()) {
        release(worker);
        over(AttemptOutcome.NEVER_SENT);
        return;
      }
      written = true;
      unanswered.add(this);
      run.observer.sent(run.time.now(), node.number, worker, request);
      listener.written();
      double way = run.network.stream(node.zone, worker.zone);
      if (way == Network.NEVER) {
        return;
      }
      flying = true;
      worker.inFlight += request.work;
      boolean resets = run.network.resets();
      run.time.after(
          way,
          () -> {
            land();
            if (resets) {
              toNode(this::reset);
            } else {
              arrive();
            }
          });
    }

    private void land() {
      if (flying) {
        flying = false;
        worker.inFlight -= request.work;
      }
    }

    /** The attempt has ended as the transport sees it. */
    void over(AttemptOutcome outcome) {
      if (!over && !givenUp) {
        end(outcome);
        listener.ended(outcome, LoadReport.NONE);
      }
    }

    private void end(AttemptOutcome outcome) {
      over = true;
      unanswered.remove(this);
      run.observer.attemptOver(run.time.now(), node.number, worker, request, outcome);
    }

    void reset() {
      if (!taken) {
        disconnect();
        over(AttemptOutcome.RESET);
      }
    }

    void disconnect() {
      unanswered.remove(this);
      if (connected && !taken) {
        connected = false;
        worker.connections--;
      }
    }

    @Override
    public void cancel(Runnable whenNotified) {
      if (!givenUp && !over) {
        giveUp();
      }
      whenNotified.run();
    }

    private void giveUp() {
      givenUp = true;
      if (taken) {
        double way = run.network.stream(node.zone, worker.zone);
        if (way != Network.NEVER) {
          run.time.after(way, () -> worker.model.cancel(request.id));
        }
      } else if (written) {
        disconnect();
      }
      end(written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED);
    }

    // -- The worker's end --

    private void arrive() {
      if (worker.vanished || worker.model.hung()) {
        return;
      }
      if (!worker.model.up()) {
        toNode(this::reset);
        return;
      }
      if (givenUp && !connected) {
        // The connection ended before the request had come whole; the worker never saw it.
        return;
      }
      if (run.fleet.offer(worker, request, run.informed(node.number, worker), this)) {
        toNode(
            () -> {
              if (!givenUp && !over) {
                taken = true;
                unanswered.remove(this);
                release(worker);
                listener.accepted();
              }
            });
      } else {
        toNode(
            () -> {
              if (!givenUp && !over) {
                release(worker);
                over(AttemptOutcome.FULL);
              }
            });
      }
    }

    private void toNode(Runnable task) {
      double way = run.network.stream(worker.zone, node.zone);
      if (way != Network.NEVER) {
        run.time.after(way, node.here(task));
      }
    }

    private void callBack(State state, double share, AttemptOutcome outcome, int tries) {
      if (worker.vanished) {
        return;
      }
      double way = run.network.stream(worker.zone, node.zone);
      if (way == Network.NEVER || !node.up()) {
        if (tries < CALLBACK_TRIES) {
          run.time.after(CALLBACK_AGAIN, () -> callBack(state, share, outcome, tries + 1));
        }
        return;
      }
      WorkerCallback news =
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
          way,
          node.here(
              () -> {
                if (outcome != null && !over && !givenUp) {
                  end(outcome);
                  if (!taken) {
                    // The 202 is still on its way, and the connection with it.
                    taken = true;
                    release(worker);
                  }
                }
                node.hear(news);
              }));
    }

    @Override
    public void started() {
      run.observer.started(run.time.now(), worker, request.id);
      callBack(State.STARTED, 0, null, 0);
    }

    @Override
    public void progress(double share) {
      callBack(State.RUNNING, share, null, CALLBACK_TRIES);
    }

    @Override
    public void done() {
      callBack(State.DONE, 1, AttemptOutcome.OK, 0);
    }

    @Override
    public void failed() {
      callBack(State.FAILED, 0, AttemptOutcome.ERROR, 0);
    }

    @Override
    public void returned() {
      callBack(State.RETURNED, 0, AttemptOutcome.FULL, 0);
    }

    @Override
    public void lost() {
      callBack(State.LOST, 0, AttemptOutcome.RESET, 0);
    }
  }
}
