package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.BudgetState;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.RejectionCause;
import ferngrade.dispatch.Worker;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Coordinates client requests independently of any protocol. Collects events, passes them to the
 * dispatcher together in one turn of the loop, and then runs the actions that the dispatcher
 * requested. Owns the table of pending requests and ensures that each request gets exactly one
 * final answer. {@link AttemptRunner} runs the attempts, and {@link EndpointRegistry} maintains the
 * endpoint list.
 *
 * <p>All methods must be called on the thread on which {@code loop} runs its tasks.
 */
public final class RequestCoordinator {
  /**
   * The delay after a request's deadline, ms, after which the node itself fails a request that is
   * still pending.
   */
  static final double FINAL_ANSWER_GRACE_MILLIS = 10;

  private final Clock clock;
  private final Timers timers;
  private final WorkerTransport workers;
  private final PeerTransport peers;
  private final RateLimitedLog log;
  private final RequestLimits limits;
  private final TurnQueue turns;
  private final EndpointRegistry endpoints;
  private final AttemptRunner attempts;
  private final Dispatcher dispatcher;
  private final Map<String, PendingRequest> pending = new HashMap<>();
  private final RecentIds finished;
  private RequestIds ids = RequestIds.SINGLE_PROCESS;
  private final NodeMetrics metrics = new NodeMetrics();
  private final TraceLog traces;

  private boolean readyLogged;

  private Runnable onReady = () -> {};

  /** True once {@link #answerAllBy} has been called because the process shuts down. */
  private boolean shuttingDown;

  /**
   * The collaborators of a coordinator. {@code loop} runs tasks later, in submission order, on the
   * node's thread.
   */
  public record Dependencies(
      Clock clock,
      Timers timers,
      Executor loop,
      WorkerTransport workers,
      PeerTransport peers,
      RateLimitedLog log) {}

  /**
   * Limits the pending requests: their number and the memory reserved for them. Requests beyond
   * either limit are rejected with a Retry-After of {@code retryAfter} ms, or with none if it is 0.
   */
  public record RequestLimits(int requests, MemoryBudget memory, double retryAfter) {}

  /**
   * Creates a coordinator for the dispatcher that {@code start} returns. {@code start} receives the
   * actions that the dispatcher can request.
   */
  public RequestCoordinator(
      Dependencies dependencies, RequestLimits limits, Function<Actions, Dispatcher> start) {
    this.clock = dependencies.clock();
    this.timers = dependencies.timers();
    this.workers = dependencies.workers();
    this.peers = dependencies.peers();
    this.log = dependencies.log();
    this.limits = limits;
    this.traces = new TraceLog(clock, log);
    this.finished = new RecentIds(limits.requests());
    this.turns = new TurnQueue(dependencies.loop(), log);
    this.endpoints = new EndpointRegistry(clock, this::endpointsChanged);
    this.attempts = new AttemptRunner(dependencies, turns, endpoints, metrics, this::attemptEnded);
    this.dispatcher = start.apply(new RequestedActions());
    turns.schedule();
  }

  /** Returns true once an endpoint list is known, so that requests can be served. */
  public boolean ready() {
    return !endpoints.isEmpty();
  }

  /** Sets the task that runs when an endpoint list first becomes known. */
  public void onReady(Runnable task) {
    onReady = task;
  }

  /** Returns the number of requests that are unanswered or still have attempts in flight. */
  public int openRequestCount() {
    return pending.size();
  }

  // ---- Client requests ----

  /**
   * Accepts a request. Exactly one method of {@code reply} will be called.
   *
   * @return false if the id has been used before; no method of {@code reply} is called then
   */
  public boolean request(Job job, JobRequest call, ResponseHandler reply) {
    if (hasUsedId(job.id()) || ids.usedElsewhere(job.id())) {
      return false;
    }
    if (pending.size() >= limits.requests()
        || !limits.memory().tryReserve(MemoryBudget.Use.JOBS, call.memoryBytes())) {
      rejectForCapacity(job, reply);
      return true;
    }
    PendingRequest request = new PendingRequest(job, call, reply, metrics, clock);
    pending.put(job.id(), request);
    request.overdueTimer =
        timers.after(
            job.deadline() - clock.now() + FINAL_ANSWER_GRACE_MILLIS, () -> overdue(request));
    ids.claim(job.id(), outcome -> idClaimed(request, outcome));
    return true;
  }

  /** Handles the outcome of the claim of a request's id; the client may have left meanwhile. */
  private void idClaimed(PendingRequest request, RequestIds.Claim outcome) {
    if (request.completed()) {
      return;
    }
    if (outcome == RequestIds.Claim.GRANTED) {
      request.admitted = true;
      turns.event(() -> dispatcher.requestArrived(clock.now(), request.job));
      return;
    }
    if (outcome == RequestIds.Claim.IN_USE) {
      request.idInUse();
    } else {
      request.rejected(limits.retryAfter(), RejectionReason.ID_UNCONFIRMED);
    }
    release(request);
  }

  /** Sets what keeps ids unique among the processes of the node. */
  public void setRequestIds(RequestIds requestIds) {
    ids = requestIds;
  }

  /** Returns true if a request with this id is pending or has finished here. */
  public boolean hasUsedId(String id) {
    return pending.containsKey(id) || finished.contains(id);
  }

  /** Returns the ids of the finished requests that are remembered and of the pending ones. */
  public List<String> usedIds() {
    return Stream.concat(finished.stream(), pending.keySet().stream()).toList();
  }

  /** Rejects a request for lack of capacity, without passing it to the dispatcher. */
  public void rejectForCapacity(Job job, ResponseHandler reply) {
    reject(job, reply, limits.retryAfter(), RejectionReason.CAPACITY);
  }

  /**
   * Rejects a request without passing it to the dispatcher, for example because the node shuts
   * down. {@code retryAfter} is the Retry-After in ms, or 0 for none.
   */
  public void reject(Job job, ResponseHandler reply, double retryAfter, RejectionReason reason) {
    metrics.rejected(job.jobClass(), reason);
    reply.rejected(retryAfter);
  }

  /**
   * Ensures that each pending request has its final answer at {@code end} on the monotonic clock,
   * even if its deadline is later. Called when the process shuts down.
   */
  public void answerAllBy(double end) {
    shuttingDown = true;
    double remaining = end - clock.now();
    pending.values().stream()
        .filter(request -> !request.completed() && request.job.deadline() > end)
        .forEach(
            request -> {
              request.overdueTimer.cancel();
              request.overdueTimer = timers.after(remaining, () -> overdue(request));
            });
  }

  /**
   * Returns the number of requests without a final answer and the age of the oldest one, ms, for
   * each state in which there are any.
   */
  public Map<RequestState, OpenRequests> openByState() {
    Map<RequestState, OpenRequests> open = new EnumMap<>(RequestState.class);
    double now = clock.now();
    for (PendingRequest request : pending.values()) {
      if (!request.completed()) {
        open.merge(
            RequestTrace.state(request),
            new OpenRequests(1, now - request.readAt),
            OpenRequests::plus);
      }
    }
    return open;
  }

  /**
   * Records that the client of this request has disconnected, and cancels the attempts that are not
   * fully written.
   */
  public void clientDisconnected(String id) {
    PendingRequest request = pending.get(id);
    if (request != null && !request.completed()) {
      request.abandoned();
      turns.event(
          () -> {
            abandonAtDispatcher(request);
            release(request);
          });
      // A worker starts a job once it has received the last byte, so attempts that are not fully
      // written must not be completed.
      request.attempts.stream().filter(attempt -> !attempt.written).forEach(attempts::cancel);
    }
  }

  /**
   * Returns true if a request with this id may have been sent by another process of the node:
   * unless it was sent by this process, and the id is not known to be another process's, too.
   */
  public boolean mayBelongElsewhere(String id) {
    PendingRequest request = pending.get(id);
    boolean sentHere = request == null ? finished.contains(id) : request.admitted;
    return !sentHere || ids.usedElsewhere(id);
  }

  /**
   * Processes a worker's callback about a job.
   *
   * @return false if the callback matches no attempt in flight, because it is late or the job is
   *     unknown; the callback is ignored then
   */
  public boolean callback(WorkerCallback callback) {
    PendingRequest request = pending.get(callback.id());
    Attempt attempt = request == null ? null : request.runningAttemptOn(callback.from());
    if (attempt == null) {
      return false;
    }
    attempt.calledBack = true;
    turns.event(
        () -> {
          switch (callback.state()) {
            case STARTED -> {
              if (!attempt.ended) {
                dispatcher.attemptStarted(clock.now(), callback.id(), attempt.number);
              }
            }
            case RUNNING -> {
              if (!attempt.ended) {
                dispatcher.attemptProgressed(
                    clock.now(), callback.id(), attempt.number, callback.share());
              }
            }
            case DONE -> {
              if (!attempt.ended) {
                request.served(callback.result());
              }
              attempts.end(attempt, AttemptOutcome.OK, callback.report());
            }
            case FAILED -> attempts.end(attempt, AttemptOutcome.ERROR, callback.report());
            case RETURNED -> attempts.end(attempt, AttemptOutcome.FULL, callback.report());
            case LOST -> attempts.end(attempt, AttemptOutcome.RESET, callback.report());
            default ->
                throw new IllegalStateException("unknown callback state: " + callback.state());
          }
        });
    return true;
  }

  // ---- The endpoint list ----

  /**
   * Applies an update of the endpoint list. The start times of its entries are wall clock times.
   */
  public void updateEndpoints(EndpointListUpdate updateType, List<Endpoint> entries) {
    endpoints.update(updateType, entries);
  }

  private void endpointsChanged(EndpointListUpdate updateType, List<Worker> workerUpdates) {
    if (!readyLogged && ready()) {
      readyLogged = true;
      log.line("ready: a worker list of " + endpoints.listedCount() + " is known");
      onReady.run();
    }
    turns.event(() -> dispatcher.endpointsUpdated(clock.now(), updateType, workerUpdates));
  }

  /** Records that discovery has confirmed the current endpoint list. */
  public void endpointsConfirmed() {
    endpoints.listConfirmed();
  }

  /**
   * Keeps the endpoint list that an earlier process stored. The list may be outdated, and the list
   * that discovery holds is authoritative from the moment this process starts, so the stored list
   * is used only after discovery could not be reached.
   */
  public void keepStoredEndpoints(List<Endpoint> entries) {
    endpoints.keepStored(entries);
  }

  /**
   * Puts the stored endpoint list into effect, because discovery has not answered within its usual
   * response time.
   */
  public void discoveryUnresponsive() {
    endpoints.useStored();
  }

  /**
   * Reports to the dispatcher that the endpoint list could not be read. The last known list stays
   * in effect.
   */
  public void endpointWatchFailed() {
    discoveryUnresponsive();
    turns.event(() -> dispatcher.endpointWatchFailed(clock.now()));
  }

  // ---- Operators and peers ----

  /**
   * Starts a worker's maintenance on behalf of operators: until {@link #endMaintenance} the
   * dispatcher sees the worker as draining, whatever state discovery reports. Returns false if no
   * worker has this name.
   */
  public boolean startMaintenance(String name) {
    return endpoints.startMaintenance(name);
  }

  /**
   * Ends a worker's maintenance on behalf of operators; the worker then goes through slow start.
   * Returns false if no worker has this name.
   */
  public boolean endMaintenance(String name) {
    return endpoints.endMaintenance(name);
  }

  /**
   * Applies a decision on a worker that another process of this node made, with times of the wall
   * clock. {@code notBefore} is a lower bound for these times on the monotonic clock. Returns false
   * if the decision is already known or superseded.
   */
  public boolean mergeMaintenance(MaintenanceEntry decision, double notBefore) {
    return endpoints.mergeMaintenance(decision, notBefore);
  }

  /**
   * Returns the latest decision on this worker, with times of the wall clock; null if there is
   * none.
   */
  public MaintenanceEntry maintenanceDecision(String worker) {
    return endpoints.maintenanceDecision(worker);
  }

  /**
   * Returns the latest decision on each worker for which operators have made one, with times of the
   * wall clock.
   */
  public List<MaintenanceEntry> maintenanceDecisions() {
    return endpoints.maintenanceDecisions();
  }

  /** Returns the maintenance state, for a later process to restore. */
  public MaintenanceOverrides.Saved savedMaintenance() {
    return endpoints.savedMaintenance();
  }

  /** Restores the maintenance state that an earlier process saved. */
  public void restoreMaintenance(MaintenanceOverrides.Saved saved) {
    endpoints.restoreMaintenance(saved);
  }

  /** Returns the state of the dispatcher's slot budget; null if the dispatcher has no budget. */
  public BudgetState budgetState() {
    return dispatcher.budgetState();
  }

  /** Returns the current metrics for operators. */
  public NodeMetrics.Snapshot metrics() {
    int inFlight = (int) pending.values().stream().filter(request -> !request.completed()).count();
    return metrics.snapshot(
        inFlight,
        endpoints.listedCount(),
        endpoints.inMaintenanceCount() + dispatcher.ejectedWorkerCount(clock.now()));
  }

  /**
   * Informs the dispatcher that {@code count} processes of the node run now and that this process
   * has the index {@code index} among them, counted from 0.
   */
  public void setProcessCount(int count, int index) {
    turns.event(() -> dispatcher.processesChanged(clock.now(), count, index));
  }

  /**
   * Informs the dispatcher that this process accepts no more requests, so that the other processes
   * of the node can use its capacity grants for workers that are warming up.
   */
  public void stopAccepting() {
    turns.event(() -> dispatcher.drainingStarted(clock.now()));
  }

  /** Processes a message from another node. */
  public void peerMessageReceived(int from, byte[] message) {
    turns.event(() -> dispatcher.peerMessageReceived(clock.now(), from, message));
  }

  // ---- Completion of requests and attempts ----

  private void overdue(PendingRequest request) {
    // The process may have been paused. Input that has arrived by now, and attempts whose timeouts
    // are due, are processed in this turn too, ahead of this event.
    request.attempts.forEach(attempts::readPending);
    turns.event(
        () -> {
          if (shuttingDown) {
            cancelAtShutdown(request);
          } else {
            failOverdue(request);
          }
        });
  }

  private void failOverdue(PendingRequest request) {
    if (!request.admitted) {
      request.rejected(limits.retryAfter(), RejectionReason.ID_UNCONFIRMED);
      release(request);
    } else if (request.failed()) {
      traces.write(request, "no-answer-at-deadline");
      abandonAtDispatcher(request);
      release(request);
    }
  }

  private void abandonAtDispatcher(PendingRequest request) {
    if (request.admitted) {
      dispatcher.requestAbandoned(clock.now(), request.job.id());
    }
  }

  /**
   * Cancels the request and all its attempts. The final answer depends on whether an attempt may
   * have run.
   */
  private void cancelAtShutdown(PendingRequest request) {
    if (request.completed()) {
      return;
    }
    List<Attempt> inFlight =
        request.attempts.stream()
            .filter(attempt -> !attempt.ended && attempt.handle != null)
            .toList();
    // No attempt can start or finish its write after this, so only now is it certain which attempts
    // were fully written.
    inFlight.forEach(attempt -> attempt.handle.cancel(() -> {}));
    request.cancelledByShutdown();
    traces.write(request, "cut-short-by-shutdown");
    abandonAtDispatcher(request);
    inFlight.forEach(
        attempt ->
            attempts.end(
                attempt,
                attempt.written ? AttemptOutcome.CANCELLED : AttemptOutcome.NEVER_SENT,
                LoadReport.NONE));
    release(request);
  }

  private void release(PendingRequest request) {
    if (request.completed()
        && request.attemptsInFlight == 0
        && pending.remove(request.job.id(), request)) {
      request.overdueTimer.cancel();
      if (request.answeredLate() && request.answer() != FinalAnswer.FAILED) {
        traces.write(request, "answered-late");
      }
      if (request.admitted) {
        finished.add(request.job.id());
      }
      limits.memory().release(MemoryBudget.Use.JOBS, request.call.memoryBytes());
    }
  }

  private void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
    PendingRequest request = attempt.request;
    double now = clock.now();
    dispatcher.attemptEnded(
        now,
        request.job.id(),
        attempt.number,
        outcome,
        now - attempt.sentAt,
        request.completed(),
        report);
    release(request);
  }

  // ---- Actions that the dispatcher requests ----

  private void send(String id, long worker, double timeout) {
    PendingRequest request = pending.get(id);
    if (request == null) {
      log.line("dispatcher requested an attempt for a completed request: " + id);
    } else {
      attempts.start(request, worker, timeout);
    }
  }

  private void cancel(String id, int number) {
    PendingRequest request = pending.get(id);
    if (request != null && number < request.attempts.size()) {
      attempts.cancel(request.attempts.get(number));
    }
  }

  private void check(long worker) {
    Endpoint endpoint = endpoints.get(worker);
    if (endpoint != null) {
      double requestedAt = clock.now();
      workers.check(
          endpoint.address(),
          (outcome, report) ->
              turns.event(
                  () -> {
                    double now = clock.now();
                    dispatcher.healthCheckCompleted(
                        now, worker, outcome, now - requestedAt, report);
                  }));
    }
  }

  /**
   * Queues the actions that the dispatcher requests until all events of the turn have been
   * processed.
   */
  private final class RequestedActions implements Actions {
    @Override
    public void send(String id, long worker, double timeout) {
      turns.action(() -> RequestCoordinator.this.send(id, worker, timeout));
    }

    @Override
    public void reject(String id, double retryAfter) {
      answer(id, request -> request.rejected(retryAfter, RejectionReason.DISPATCHER));
    }

    @Override
    public void reject(String id, double retryAfter, RejectionCause cause) {
      metrics.rejectedFor(cause);
      reject(id, retryAfter);
    }

    @Override
    public void fail(String id) {
      answer(id, PendingRequest::failed);
    }

    private void answer(String id, Consumer<PendingRequest> answer) {
      turns.action(
          () -> {
            PendingRequest request = pending.get(id);
            if (request != null) {
              answer.accept(request);
              release(request);
            }
          });
    }

    @Override
    public void cancel(String id, int attempt) {
      turns.action(() -> RequestCoordinator.this.cancel(id, attempt));
    }

    @Override
    public void checkHealth(long worker) {
      turns.action(() -> RequestCoordinator.this.check(worker));
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
      turns.action(() -> peers.send(peer, message));
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
      turns.action(
          () ->
              timers.after(
                  delayMs, () -> turns.event(() -> dispatcher.timerExpired(clock.now(), token))));
    }

    @Override
    public void watchEndpoints() {
      // Nothing to do: the discovery watch is always open.
    }

    @Override
    public void log(String line) {
      turns.action(() -> log.line(line));
    }
  }
}
