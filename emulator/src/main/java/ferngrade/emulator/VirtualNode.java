package ferngrade.emulator;

import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.emulator.Request.Answer;
import ferngrade.node.Endpoint;
import ferngrade.node.JobRequest;
import ferngrade.node.MemoryBudget;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.ResponseHandler;
import ferngrade.node.Timers;
import ferngrade.node.WorkerCallback;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs one node process in virtual time: the unmodified production {@link RequestCoordinator} and
 * dispatcher on an emulated machine that can crash, restart and pause.
 */
final class VirtualNode {
  private static final byte[] NO_BODY = new byte[0];

  /** Limits that are high enough never to be reached: these runs do not model a node's memory. */
  private static final RequestCoordinator.RequestLimits REQUEST_LIMITS =
      new RequestCoordinator.RequestLimits(200_000, MemoryBudget.unlimited(), 500);

  final int number;
  final int zone;
  private final VirtualRun run;
  private final Map<String, Request> openRequests = new HashMap<>();
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private VirtualWorkers transport;
  private RequestCoordinator coordinator;
  private Dispatcher dispatcher;
  private int incarnation;
  private boolean up;
  private int openPauses;
  private long replyCount;

  VirtualNode(VirtualRun run, int number) {
    this.run = run;
    this.number = number;
    this.zone = run.scenario.zoneOfNode(number);
  }

  boolean up() {
    return up;
  }

  /** Returns the node's slice of the budget, or NaN if its dispatcher has no slices. */
  double slice() {
    return up && dispatcher instanceof ThrottlingDispatcher throttling
        ? throttling.slice()
        : Double.NaN;
  }

  // ---- Process lifecycle ----

  void start(List<Endpoint> known) {
    up = true;
    incarnation++;
    deferred.clear();
    openRequests.clear();
    VirtualTime time = run.time;
    Timers timers = new Timers(time, (millis, wake) -> time.after(millis, inProcess(wake)));
    transport = new VirtualWorkers(run, this);
    long seed = run.streams.seed("node-" + number + "-" + incarnation);
    coordinator =
        new RequestCoordinator(
            new RequestCoordinator.Dependencies(
                time,
                timers,
                task -> time.after(0, inProcess(task)),
                transport,
                (peer, message) -> run.sendToPeers(this, peer, message),
                new RateLimitedLog(time, line -> {})),
            REQUEST_LIMITS,
            actions -> createDispatcher(actions, seed));
    run.observer.nodeStateChanged(time.now(), number, true);
    receiveEndpoints(EndpointListUpdate.STORED, known);
  }

  private Dispatcher createDispatcher(Dispatcher.Actions actions, long seed) {
    MutantDispatcher[] mutant = new MutantDispatcher[1];
    Dispatcher.Actions dispatcherActions =
        run.mutation == Mutation.NONE ? actions : MutantDispatcher.counting(actions, mutant);
    dispatcher =
        run.policy.createDispatcher(
            run.scenario.settings(number, run.allowances),
            seed,
            run.time.now(),
            dispatcherActions,
            run.fleetState(this));
    if (run.mutation == Mutation.NONE) {
      return dispatcher;
    }
    mutant[0] = new MutantDispatcher(run.mutation, dispatcher, actions);
    return mutant[0];
  }

  void kill() {
    if (!up) {
      return;
    }
    up = false;
    incarnation++;
    double now = run.time.now();
    run.observer.nodeStateChanged(now, number, false);
    for (Request request : new ArrayList<>(openRequests.values())) {
      run.observer.requestLost(now, request, "its node was killed");
      run.time.after(
          run.network.clientDelay(), () -> run.clients.answer(request, Answer.BROKEN, 0));
    }
    openRequests.clear();
    transport.close();
  }

  /** Pauses or resumes the process. Tasks that arrive meanwhile run in order on resumption. */
  void pause(boolean begins) {
    if (begins && openPauses++ == 0) {
      run.observer.nodePauseChanged(run.time.now(), number, true);
    }
    if (!begins && --openPauses == 0) {
      run.observer.nodePauseChanged(run.time.now(), number, false);
      while (!deferred.isEmpty()) {
        deferred.poll().run();
      }
    }
  }

  /**
   * Binds a task to the current process: the task is dropped if the process has ended, and deferred
   * while it is paused.
   */
  Runnable inProcess(Runnable task) {
    int boundIncarnation = incarnation;
    return () -> {
      if (boundIncarnation != incarnation) {
        return;
      }
      if (openPauses > 0) {
        deferred.add(task);
      } else {
        task.run();
      }
    };
  }

  // ---- Incoming requests and messages ----

  void accept(Request request) {
    double now = run.time.now();
    openRequests.put(request.id, request);
    run.observer.requestAccepted(now, number, request);
    ClassSpec spec = run.scenario.workload.classes.get(request.jobClass);
    Job job =
        new Job(
            request.id,
            request.jobClass,
            request.tenant,
            now + request.deadline - request.due,
            request.estimatedWork,
            spec.slots,
            0,
            run.scenario.workload.tellObjects ? request.object : 0);
    JobRequest jobRequest = new JobRequest(request.id, "POST", "/api", request.key, NO_BODY);
    ResponseHandler replyHandler =
        run.mutation.wrap(new ClientReply(request), run.time, replyCount++);
    if (!coordinator.request(job, jobRequest, replyHandler)) {
      answer(request, Answer.FAILED, 0);
    }
  }

  void clientDisconnected(Request request) {
    if (openRequests.remove(request.id) != null) {
      coordinator.clientDisconnected(request.id);
    }
  }

  void receiveEndpoints(EndpointListUpdate update, List<Endpoint> entries) {
    double now = run.time.now();
    boolean late = run.mutation == Mutation.LATE_DRAIN && update == EndpointListUpdate.CHANGES;
    if (run.observesEntries(update, entries)) {
      for (Endpoint entry : entries) {
        run.observer.workerListed(
            now,
            number,
            run.fleet.byId(entry.worker().id()),
            entry.worker().state(),
            entry.worker().startedAt());
      }
    }
    if (late) {
      run.time.after(
          Mutation.LIST_DELAY_MILLIS,
          inProcess(() -> coordinator.updateEndpoints(update, entries)));
    } else {
      coordinator.updateEndpoints(update, entries);
    }
  }

  void workerProcessEnded(EmulatedWorker worker) {
    if (up) {
      transport.workerProcessEnded(worker);
    }
  }

  void receivePeerMessage(int from, byte[] message) {
    coordinator.peerMessageReceived(from, message);
  }

  /** Passes on a worker's callback; returns false if it matches no attempt of this process. */
  boolean receiveCallback(WorkerCallback callback) {
    return coordinator.callback(callback);
  }

  /** Returns the open request with this id, or null if it has been answered. */
  Request openRequest(String id) {
    return openRequests.get(id);
  }

  private void answer(Request request, Answer answer, double retryAfter) {
    double now = run.time.now();
    if (openRequests.remove(request.id) == null && request.ended) {
      // The client has disconnected: the answer has no receiver.
      return;
    }
    run.observer.requestAnswered(now, number, request, answer, retryAfter);
    run.time.after(
        run.network.clientDelay(), () -> run.clients.answer(request, answer, retryAfter));
  }

  /** Delivers the node's answer to one client. */
  private final class ClientReply implements ResponseHandler {
    private final Request request;

    ClientReply(Request request) {
      this.request = request;
    }

    @Override
    public void served(String result) {
      answer(request, Answer.SERVED, 0);
    }

    @Override
    public void rejected(double retryAfter) {
      answer(request, Answer.REFUSED, retryAfter);
    }

    @Override
    public void failed() {
      answer(request, Answer.FAILED, 0);
    }
  }
}
