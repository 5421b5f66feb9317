package ferngrade.emulator;

import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.emulator.Request.Answer;
import ferngrade.node.Endpoint;
import ferngrade.node.JobRequest;
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
 * One node's process in virtual time: the program's own {@link RequestCoordinator} and decisions,
 * unchanged, on an emulated machine that can die, start again and stand still.
 */
final class VirtualNode {
  private static final byte[] NO_BODY = new byte[0];

  /** What a node may hold; the machine's memory is not what these runs are about. */
  private static final RequestCoordinator.RequestLimits ROOM =
      new RequestCoordinator.RequestLimits(200_000, 1L << 40, 500);

  final int number;
  final int zone;
  private final VirtualRun run;
  private final Map<String, Request> held = new HashMap<>();
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private VirtualWorkers transport;
  private RequestCoordinator node;
  private Dispatcher module;
  private int incarnation;
  private boolean up;
  private int pauses;
  private long replies;

  VirtualNode(VirtualRun run, int number) {
    this.run = run;
    this.number = number;
    this.zone = run.scenario.zoneOfNode(number);
  }

  boolean up() {
    return up;
  }

  /** The slice of the budget that it holds; NaN where its decisions know of none. */
  double slice() {
    return up && module instanceof ThrottlingDispatcher choice ? choice.slice() : Double.NaN;
  }

  // ---- The process ----

  void start(List<Endpoint> known) {
    up = true;
    incarnation++;
    deferred.clear();
    held.clear();
    VirtualTime time = run.time;
    Timers timers = new Timers(time, (millis, wake) -> time.after(millis, here(wake)));
    transport = new VirtualWorkers(run, this);
    long seed = run.streams.seed("node-" + number + "-" + incarnation);
    node =
        new RequestCoordinator(
            new RequestCoordinator.Dependencies(
                time,
                timers,
                task -> time.after(0, here(task)),
                transport,
                (peer, message) -> run.tell(this, peer, message),
                new RateLimitedLog(time, line -> {})),
            ROOM,
            actions -> module(actions, seed));
    run.observer.node(time.now(), number, true);
    hear(EndpointListUpdate.STORED, known);
  }

  private Dispatcher module(Dispatcher.Actions actions, long seed) {
    MutantModule[] mutant = new MutantModule[1];
    Dispatcher.Actions asked =
        run.mutation == Mutation.NONE ? actions : MutantModule.counting(actions, mutant);
    module =
        run.policy.start(
            run.scenario.settings(number, run.allowances),
            seed,
            run.time.now(),
            asked,
            run.truth(this));
    if (run.mutation == Mutation.NONE) {
      return module;
    }
    mutant[0] = new MutantModule(run.mutation, module, actions);
    return mutant[0];
  }

  void kill() {
    if (!up) {
      return;
    }
    up = false;
    incarnation++;
    double now = run.time.now();
    run.observer.node(now, number, false);
    for (Request request : new ArrayList<>(held.values())) {
      run.observer.lost(now, request, "its node was killed");
      run.time.after(run.network.client(), () -> run.clients.answer(request, Answer.BROKEN, 0));
    }
    held.clear();
    transport.close();
  }

  /** Stands still, or goes on: what came meanwhile is done then, in its order. */
  void pause(boolean begins) {
    if (begins && pauses++ == 0) {
      run.observer.paused(run.time.now(), number, true);
    }
    if (!begins && --pauses == 0) {
      run.observer.paused(run.time.now(), number, false);
      while (!deferred.isEmpty()) {
        deferred.poll().run();
      }
    }
  }

  /** A task of this process: it dies with it, and waits while it stands still. */
  Runnable here(Runnable task) {
    int mine = incarnation;
    return () -> {
      if (mine != incarnation) {
        return;
      }
      if (pauses > 0) {
        deferred.add(task);
      } else {
        task.run();
      }
    };
  }

  // ---- What reaches it ----

  void take(Request request) {
    double now = run.time.now();
    held.put(request.id, request);
    run.observer.taken(now, number, request);
    ClassSpec spec = run.scenario.workload.classes.get(request.jobClass);
    Job job =
        new Job(
            request.id,
            request.jobClass,
            request.tenant,
            now + request.deadline - request.due,
            request.hint,
            spec.slots,
            0,
            run.scenario.workload.tellObjects ? request.object : 0);
    JobRequest call = new JobRequest(request.id, "POST", "/api", request.key, NO_BODY);
    ResponseHandler reply = run.mutation.reply(new ClientReply(request), run.time, replies++);
    if (!node.request(job, call, reply)) {
      answer(request, Answer.FAILED, 0);
    }
  }

  void leave(Request request) {
    if (held.remove(request.id) != null) {
      node.clientDisconnected(request.id);
    }
  }

  void hear(EndpointListUpdate news, List<Endpoint> entries) {
    double now = run.time.now();
    boolean late = run.mutation == Mutation.LATE_DRAIN && news == EndpointListUpdate.CHANGES;
    if (run.tells(news, entries)) {
      for (Endpoint entry : entries) {
        run.observer.told(
            now,
            number,
            run.fleet.byId(entry.worker().id()),
            entry.worker().state(),
            entry.worker().startedAt());
      }
    }
    if (late) {
      run.time.after(Mutation.LATE, here(() -> node.updateEndpoints(news, entries)));
    } else {
      node.updateEndpoints(news, entries);
    }
  }

  void broken(EmulatedWorker worker) {
    if (up) {
      transport.broken(worker);
    }
  }

  void hear(int from, byte[] message) {
    node.peerMessageReceived(from, message);
  }

  /** A worker's call-back; false: it fits nothing that this process knows. */
  boolean hear(WorkerCallback news) {
    return node.callback(news);
  }

  /** The request that the node holds under an id; null once it is answered. */
  Request held(String id) {
    return held.get(id);
  }

  private void answer(Request request, Answer answer, double retryAfter) {
    double now = run.time.now();
    if (held.remove(request.id) == null && request.over) {
      // The client has left; nobody hears it.
      return;
    }
    run.observer.answered(now, number, request, answer, retryAfter);
    run.time.after(run.network.client(), () -> run.clients.answer(request, answer, retryAfter));
  }

  /** The way back to one client. */
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
