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

/**
 * Coordinates requests without any protocol of its own: it gathers events, hands them to the
 * dispatcher in one turn, and then carries out what the dispatcher requested. It owns the table of
 * pending requests and ensures that each request gets one final answer; attempts are run by {@link
 * AttemptRunner}, the endpoint list is kept by {@link EndpointRegistry}.
 *
 * <p>All methods belong to one thread, the one on which {@code loop} runs its tasks.
 */
public final class RequestCoordinator {
  /** The node fails a request itself this long after its deadline, ms, if it is still pending. */
  static final double GUARD = 10;

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
  private final NodeMetrics metrics = new NodeMetrics();
  private final TraceLog traces;

  /** Bytes of the bodies of the pending requests. */
  private long bytes;

  private boolean readyLogged;

  private Runnable whenReady = () -> {};

  /** The process ends: {@link #answerAllBy} has been called. */
  private boolean ending;

  /** What a coordinator uses. {@code loop} runs tasks later, in order, on the node's thread. */
  public record Surroundings(
      Clock clock,
      Timers timers,
      Executor loop,
      WorkerTransport workers,
      PeerTransport peers,
      RateLimitedLog log) {}

  /**
   * Bounds on the node's memory: pending requests, and bytes of their bodies. Beyond them requests
   * are rejected with a Retry-After of {@code retryAfter} ms, 0 for none.
   */
  public record RequestLimits(int requests, long bytes, double retryAfter) {}

  /** A coordinator around the dispatcher that {@code start} makes. */
  public RequestCoordinator(
      Surroundings around, RequestLimits limits, Function<Actions, Dispatcher> start) {
    this.clock = around.clock();
    this.timers = around.timers();
    this.workers = around.workers();
    this.peers = around.peers();
    this.log = around.log();
    this.limits = limits;
    this.traces = new TraceLog(clock, log);
    this.finished = new RecentIds(limits.requests());
    this.turns = new TurnQueue(around.loop(), log);
    this.endpoints = new EndpointRegistry(clock, this::endpointsChanged);
    this.attempts = new AttemptRunner(around, turns, endpoints, metrics, this::attemptEnded);
    this.dispatcher = start.apply(new RequestedActions());
    turns.schedule();
  }

  /** True once an endpoint list is known, so that requests can be served. */
  public boolean ready() {
    return !endpoints.isEmpty();
  }

  /** Has a task run when an endpoint list first becomes known. */
  public void whenReady(Runnable task) {
    whenReady = task;
  }

  /** The number of requests that are pending or still have attempts in flight. */
  public int open() {
    return pending.size();
  }

  // ---- Requests of clients ----

  /**
   * Accepts a request; exactly one method of {@code reply} will be called.
   *
   * @return false if its id has been used, and no method will be called
   */
  public boolean request(Job job, JobRequest call, ResponseHandler reply) {
    if (pending.containsKey(job.id()) || finished.contains(job.id())) {
      return false;
    }
    if (pending.size() >= limits.requests() || bytes + call.body().length > limits.bytes()) {
      rejectForCapacity(job, reply);
      return true;
    }
    PendingRequest request = new PendingRequest(job, call, reply, metrics, clock);
    pending.put(job.id(), request);
    bytes += call.body().length;
    request.guard = timers.after(job.due() - clock.now() + GUARD, () -> overdue(request));
    turns.event(() -> dispatcher.arrived(clock.now(), job));
    return true;
  }

  /** Rejects a request that the dispatcher does not see, for lack of capacity. */
  public void rejectForCapacity(Job job, ResponseHandler reply) {
    reject(job, reply, limits.retryAfter(), RejectionReason.CAPACITY);
  }

  /**
   * Rejects a request that the dispatcher does not see, for example because the node shuts down;
   * {@code retryAfter} in ms, 0 for none.
   */
  public void reject(Job job, ResponseHandler reply, double retryAfter, RejectionReason reason) {
    metrics.refused(job.jobClass(), reason);
    reply.refused(retryAfter);
  }

  /**
   * The process ends: each pending request has its final answer at {@code end} on the clock, even
   * if its deadline is later.
   */
  public void answerAllBy(double end) {
    ending = true;
    double left = end - clock.now();
    pending.values().stream()
        .filter(each -> !each.completed() && each.job.due() > end)
        .forEach(
            each -> {
              each.guard.cancel();
              each.guard = timers.after(left, () -> overdue(each));
            });
  }

  /** The requests without a final answer, by what they wait for and the age of the oldest, ms. */
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

  /** The client of this request has gone. */
  public void clientGone(String id) {
    PendingRequest request = pending.get(id);
    if (request != null && !request.completed()) {
      request.abandoned();
      turns.event(
          () -> {
            dispatcher.abandoned(clock.now(), id);
            release(request);
          });
      // A worker begins with the last byte: attempts not written completely must not get there.
      request.attempts.stream().filter(attempt -> !attempt.written).forEach(attempts::cancel);
    }
  }

  /** True if this node has or had the request with this id, as far as it remembers. */
  public boolean knowsOf(String id) {
    return pending.containsKey(id) || finished.contains(id);
  }

  /**
   * A worker's callback on a job.
   *
   * @return false if it fits no attempt in flight, being late or of an unknown job; it is ignored
   */
  public boolean callback(WorkerCallback callback) {
    PendingRequest request = pending.get(callback.id());
    Attempt attempt = request == null ? null : request.writtenTo(callback.from());
    if (attempt == null) {
      return false;
    }
    attempt.calledBack = true;
    turns.event(
        () -> {
          switch (callback.state()) {
            case STARTED -> {
              if (!attempt.ended) {
                dispatcher.started(clock.now(), callback.id(), attempt.number);
              }
            }
            case RUNNING -> {
              if (!attempt.ended) {
                dispatcher.progressed(clock.now(), callback.id(), attempt.number, callback.share());
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
            default -> throw new IllegalStateException("no such state: " + callback.state());
          }
        });
    return true;
  }

  // ---- The endpoint list ----

  /** An update of the endpoint list, whose start times are by the wall clock. */
  public void members(EndpointListUpdate kind, List<Endpoint> entries) {
    endpoints.update(kind, entries);
  }

  private void endpointsChanged(EndpointListUpdate kind, List<Worker> workerUpdates) {
    if (!readyLogged && ready()) {
      readyLogged = true;
      log.line("ready: a worker list of " + endpoints.listed() + " is known");
      whenReady.run();
    }
    turns.event(() -> dispatcher.members(clock.now(), kind, workerUpdates));
  }

  /** Discovery reports that nothing has changed. */
  public void listUnchanged() {
    endpoints.unchanged();
  }

  /**
   * The endpoint list of an earlier process. It may be old, and what discovery holds counts from
   * this process's first moment: so it is used only once discovery could not be reached.
   */
  public void stored(List<Endpoint> entries) {
    endpoints.store(entries);
  }

  /** Discovery has not answered as quickly as it does when it can be reached. */
  public void discoverySilent() {
    endpoints.useStored();
  }

  /** The endpoint list could not be read; the last one stays. */
  public void listFailed() {
    discoverySilent();
    turns.event(() -> dispatcher.listFailed(clock.now()));
  }

  // ---- Operators and peers ----

  /**
   * Operators put a worker in maintenance: until {@link #endMaintenance} the dispatcher sees it as
   * draining, whatever discovery says. False: nobody has that name.
   */
  public boolean startMaintenance(String name) {
    return endpoints.startMaintenance(name);
  }

  /** Operators end a worker's maintenance; it starts slowly. False: nobody has that name. */
  public boolean endMaintenance(String name) {
    return endpoints.endMaintenance(name);
  }

  /**
   * Takes over a decision on a worker that another process of this node made, with times by the
   * wall clock; {@code notBefore} on the monotonic clock. False if it is known or superseded.
   */
  public boolean mergeMaintenance(MaintenanceEntry decision, double notBefore) {
    return endpoints.mergeMaintenance(decision, notBefore);
  }

  /** The latest decision on this worker, with times by the wall clock; null if there is none. */
  public MaintenanceEntry maintenanceDecision(String worker) {
    return endpoints.maintenanceDecision(worker);
  }

  /** The latest decision on each worker that operators have named, with times by the wall clock. */
  public List<MaintenanceEntry> maintenanceDecisions() {
    return endpoints.maintenanceDecisions();
  }

  /** What is in maintenance, for a later process to take over. */
  public MaintenanceOverrides.Saved savedMaintenance() {
    return endpoints.savedMaintenance();
  }

  /** Takes over the maintenance that an earlier process saved. */
  public void restoreMaintenance(MaintenanceOverrides.Saved saved) {
    endpoints.restoreMaintenance(saved);
  }

  /** The dispatcher's slot budget; null where it has none. */
  public BudgetState budgetState() {
    return dispatcher.budgetState();
  }

  /** The metrics for operators, as of now. */
  public NodeMetrics.Snapshot metrics() {
    int inFlight = (int) pending.values().stream().filter(request -> !request.completed()).count();
    return metrics.snapshot(
        inFlight, endpoints.listed(), endpoints.inMaintenance() + dispatcher.excluded(clock.now()));
  }

  /**
   * This process is one of {@code count} processes of the node that run now, number {@code index}
   * of them from 0.
   */
  public void sharedBy(int count, int index) {
    turns.event(() -> dispatcher.sharedBy(clock.now(), count, index));
  }

  /** No more requests are accepted: grants for workers that warm up are left to others. */
  public void acceptNoMore() {
    turns.event(() -> dispatcher.acceptNoMore(clock.now()));
  }

  /** A message from another node. */
  public void heard(int from, byte[] message) {
    turns.event(() -> dispatcher.heard(clock.now(), from, message));
  }

  // ---- The end of requests and attempts ----

  private void overdue(PendingRequest request) {
    // The process may have been paused: what has come until now, and attempts whose timeouts are
    // due, are handed over in this turn, too, and come first.
    request.attempts.forEach(attempts::readPending);
    turns.event(
        () -> {
          if (ending) {
            cutShort(request);
          } else {
            failOverdue(request);
          }
        });
  }

  private void failOverdue(PendingRequest request) {
    if (request.failed()) {
      traces.write(request, "no-answer-at-deadline");
      dispatcher.abandoned(clock.now(), request.job.id());
      release(request);
    }
  }

  /** Cancels the request with all its attempts, and answers it by what they may have done. */
  private void cutShort(PendingRequest request) {
    if (request.completed()) {
      return;
    }
    List<Attempt> running =
        request.attempts.stream().filter(each -> !each.ended && each.sending != null).toList();
    // None is begun or written completely from here on; only then is it known which have been.
    running.forEach(each -> each.sending.giveUp(() -> {}));
    request.givenUp();
    traces.write(request, "cut-short-by-shutdown");
    dispatcher.abandoned(clock.now(), request.job.id());
    running.forEach(
        each ->
            attempts.end(
                each,
                each.written ? AttemptOutcome.CANCELLED : AttemptOutcome.NEVER_SENT,
                LoadReport.NONE));
    release(request);
  }

  private void release(PendingRequest request) {
    if (request.completed()
        && request.attemptsInFlight == 0
        && pending.remove(request.job.id(), request)) {
      request.guard.cancel();
      if (request.answeredLate() && request.answer() != FinalAnswer.FAILED) {
        traces.write(request, "answered-late");
      }
      finished.add(request.job.id());
      bytes -= request.call.body().length;
    }
  }

  private void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
    PendingRequest request = attempt.request;
    double now = clock.now();
    dispatcher.ended(
        now,
        request.job.id(),
        attempt.number,
        outcome,
        now - attempt.sentAt,
        request.completed(),
        report);
    release(request);
  }

  // ---- What the dispatcher requests ----

  private void send(String id, long worker, double timeout) {
    PendingRequest request = pending.get(id);
    if (request == null) {
      log.line("send for a completed request: " + id);
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
                    dispatcher.checked(now, worker, outcome, now - requestedAt, report);
                  }));
    }
  }

  /** Queues what the dispatcher requests, until all events of the turn have been handed over. */
  private final class RequestedActions implements Actions {
    @Override
    public void send(String id, long worker, double timeout) {
      turns.action(() -> RequestCoordinator.this.send(id, worker, timeout));
    }

    @Override
    public void refuse(String id, double retryAfter) {
      answer(id, request -> request.refused(retryAfter, RejectionReason.DISPATCHER));
    }

    @Override
    public void refuse(String id, double retryAfter, RejectionCause cause) {
      metrics.rejectedFor(cause);
      refuse(id, retryAfter);
    }

    @Override
    public void fail(String id) {
      answer(id, PendingRequest::failed);
    }

    private void answer(String id, Consumer<PendingRequest> how) {
      turns.action(
          () -> {
            PendingRequest request = pending.get(id);
            if (request != null) {
              how.accept(request);
              release(request);
            }
          });
    }

    @Override
    public void cancel(String id, int attempt) {
      turns.action(() -> RequestCoordinator.this.cancel(id, attempt));
    }

    @Override
    public void check(long worker) {
      turns.action(() -> RequestCoordinator.this.check(worker));
    }

    @Override
    public void tell(int peer, byte[] message) {
      turns.action(() -> peers.tell(peer, message));
    }

    @Override
    public void timer(double after, long token) {
      turns.action(
          () -> timers.after(after, () -> turns.event(() -> dispatcher.timer(clock.now(), token))));
    }

    @Override
    public void watch() {
      // Not needed: a discovery watch is always open.
    }

    @Override
    public void log(String line) {
      turns.action(() -> log.line(line));
    }
  }
}
