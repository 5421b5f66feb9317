package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A dispatcher at work, without any protocol of its own: it gathers what is ready, hands it to the
 * decision module in one go, and then carries out what the module asked for. It owns the table of
 * requests and their attempts and sees to it that each request gets one final answer.
 *
 * <p>All methods belong to one thread, the one on which {@code loop} runs its tasks.
 */
public final class RequestCoordinator {
  /**
   * How long a worker may take to say that it has taken a job, ms; it does so before it begins. One
   * that does not, say because it hangs on all jobs of a class, would hold the job until its end,
   * and the module would take its place for one in work. A pause of the worker's machine is
   * shorter.
   */
  private static final double ACCEPTANCE = 1000;

  /** The node's own answer where the module owes one, ms after the request's end. */
  private static final double GUARD = 10;

  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private final WorkerTransport workers;
  private final PeerTransport peers;
  private final RateLimitedLog log;
  private final RequestLimits room;
  private final Dispatcher module;
  private final EndpointList members = new EndpointList();
  private final StartTimes startTimes;
  private final Map<String, PendingRequest> exchanges = new HashMap<>();
  private final RecentIds finished;
  private final MaintenanceOverrides maintenance = new MaintenanceOverrides();
  private final NodeMetrics figures = new NodeMetrics();

  /** The list of an earlier process while nothing has been told; null from then on. */
  private List<Endpoint> stored;

  private long bytes;
  private List<Runnable> ready = new ArrayList<>();
  private List<Runnable> asked = new ArrayList<>();
  private boolean scheduled;

  /** The process ends: {@link #answerAllBy} has been called. */
  private boolean ending;

  /** The parties around a node. {@code loop} runs tasks later, in order, on the node's thread. */
  public record Surroundings(
      Clock clock,
      Timers timers,
      Executor loop,
      WorkerTransport workers,
      PeerTransport peers,
      RateLimitedLog log) {}

  /**
   * What the node may hold at a time, so that its memory stays bounded: requests, and bytes of
   * their bodies. Beyond that requests are refused with {@code retryAfter} ms, 0 for no advice.
   */
  public record RequestLimits(int requests, long bytes, double retryAfter) {}

  /** A node around the module that {@code start} makes, within this room. */
  public RequestCoordinator(
      Surroundings around, RequestLimits room, Function<Actions, Dispatcher> start) {
    this.clock = around.clock();
    this.timers = around.timers();
    this.loop = around.loop();
    this.workers = around.workers();
    this.peers = around.peers();
    this.log = around.log();
    this.room = room;
    this.finished = new RecentIds(room.requests());
    this.startTimes = new StartTimes(clock);
    this.module = start.apply(new Requests());
    offer(() -> {});
  }

  /** True once a worker list is known, so that requests can be served. */
  public boolean ready() {
    return !members.isEmpty();
  }

  /** The requests that the node holds or still has attempts out for. */
  public int open() {
    return exchanges.size();
  }

  // ---- What comes in ----

  /**
   * Takes a request; exactly one method of {@code reply} will be called. False: its id has been
   * used.
   */
  public boolean request(Job job, JobRequest call, ResponseHandler reply) {
    if (exchanges.containsKey(job.id()) || finished.contains(job.id())) {
      return false;
    }
    if (exchanges.size() >= room.requests() || bytes + call.body().length > room.bytes()) {
      refuseForRoom(job, reply);
      return true;
    }
    PendingRequest exchange = new PendingRequest(job, call, reply, figures);
    exchanges.put(job.id(), exchange);
    bytes += call.body().length;
    exchange.guard = timers.after(job.due() - clock.now() + GUARD, () -> overdue(exchange));
    offer(() -> module.arrived(clock.now(), job));
    return true;
  }

  /** Refuses a request that the module is not to see, because there is no room for it. */
  public void refuseForRoom(Job job, ResponseHandler reply) {
    refuse(job, reply, room.retryAfter());
  }

  /**
   * Refuses a request that the module is not to see, say because the node stops; {@code retryAfter}
   * in ms.
   */
  public void refuse(Job job, ResponseHandler reply, double retryAfter) {
    figures.refused(job.jobClass());
    reply.refused(retryAfter);
  }

  /**
   * The process ends: each request that is held has its final answer at {@code end} on the clock,
   * though its client would wait longer.
   */
  public void answerAllBy(double end) {
    ending = true;
    double left = end - clock.now();
    exchanges.values().stream()
        .filter(each -> !each.over() && each.job.due() > end)
        .forEach(
            each -> {
              each.guard.cancel();
              each.guard = timers.after(left, () -> overdue(each));
            });
  }

  /** The client of this request has gone. */
  public void clientGone(String id) {
    PendingRequest exchange = exchanges.get(id);
    if (exchange != null && !exchange.over()) {
      exchange.abandoned();
      offer(
          () -> {
            module.abandoned(clock.now(), id);
            release(exchange);
          });
      // A worker begins with the last byte: what is dialled or half written must not come to that
      // any more.
      exchange.attempts.stream()
          .filter(attempt -> !attempt.written)
          .forEach(attempt -> giveUp(attempt, AttemptOutcome.CANCELLED, AttemptOutcome.NEVER_SENT));
    }
  }

  /** True if this node has or had the request with this id, as far as it remembers. */
  public boolean knowsOf(String id) {
    return exchanges.containsKey(id) || finished.contains(id);
  }

  /**
   * A worker's word on a job; false: it fits no attempt that is out, is old or unknown, and
   * ignored.
   */
  public boolean news(WorkerCallback news) {
    PendingRequest exchange = exchanges.get(news.id());
    Attempt attempt = exchange == null ? null : exchange.writtenTo(news.from());
    if (attempt == null) {
      return false;
    }
    attempt.calledBack = true;
    offer(
        () -> {
          switch (news.state()) {
            case STARTED -> {
              if (!attempt.ended) {
                module.started(clock.now(), news.id(), attempt.number);
              }
            }
            case RUNNING -> {
              if (!attempt.ended) {
                module.progressed(clock.now(), news.id(), attempt.number, news.share());
              }
            }
            case DONE -> {
              if (!attempt.ended) {
                exchange.served(news.result());
              }
              end(attempt, AttemptOutcome.OK, news.report());
            }
            case FAILED -> end(attempt, AttemptOutcome.ERROR, news.report());
            case RETURNED -> end(attempt, AttemptOutcome.FULL, news.report());
            case LOST -> end(attempt, AttemptOutcome.RESET, news.report());
            default -> throw new IllegalStateException("no such state: " + news.state());
          }
        });
    return true;
  }

  /** News of the worker list, whose start times are by the wall clock. */
  public void members(EndpointListUpdate news, List<Endpoint> entries) {
    stored = null;
    tell(news, maintenance.over(news, startTimes.translate(news, entries)));
  }

  /** The source of the list says that nothing has changed. */
  public void listUnchanged() {
    startTimes.unchanged();
  }

  /**
   * The worker list as an earlier process had it. It may be old, and what the source of the list
   * holds counts as told from this process's first moment: so it counts only once the source could
   * not be heard.
   */
  public void stored(List<Endpoint> entries) {
    stored = entries;
  }

  private void tell(EndpointListUpdate news, List<Endpoint> entries) {
    // Known at once, not with the next batch: the drain rule counts from the telling.
    members.update(news, entries);
    List<Worker> told = entries.stream().map(Endpoint::worker).toList();
    offer(() -> module.members(clock.now(), news, told));
  }

  /**
   * Operators put a worker in maintenance: from now on it is told to the decisions as one that
   * drains, whatever the list says, until {@link #giveBack}. False: nobody has that name.
   */
  public boolean takeOut(String name) {
    if (!maintenance.knows(name)) {
      return false;
    }
    Endpoint entry = maintenance.take(name);
    if (entry != null) {
      tell(EndpointListUpdate.CHANGES, List.of(entry));
    }
    return true;
  }

  /**
   * Operators take a worker back from maintenance; it returns cold. False: nobody has that name.
   */
  public boolean giveBack(String name) {
    if (!maintenance.knows(name)) {
      return false;
    }
    Endpoint entry = maintenance.giveBack(name, clock.now());
    if (entry != null) {
      tell(EndpointListUpdate.CHANGES, List.of(entry));
    }
    return true;
  }

  /** What is in maintenance, for a later process to take over. */
  public MaintenanceOverrides.Saved maintenanceSaved() {
    return maintenance.saved().translated(startTimes::toWall);
  }

  /** Takes over the maintenance that an earlier process saved. */
  public void restoreMaintenance(MaintenanceOverrides.Saved saved) {
    maintenance.restore(saved.translated(startTimes::toMonotonic));
  }

  /** The figures for operators, as they stand now. */
  public NodeMetrics.Snapshot figures() {
    int inFlight = (int) exchanges.values().stream().filter(exchange -> !exchange.over()).count();
    return figures.snapshot(
        inFlight, maintenance.listedAll(), maintenance.listedOut() + module.excluded(clock.now()));
  }

  /**
   * The source of the list does not answer as one that can be reached does: the stored list counts,
   * if none was told.
   */
  public void sourceSilent() {
    if (stored != null) {
      members(EndpointListUpdate.STORED, stored);
    }
  }

  /** The worker list could not be had; the last one stays. */
  public void listFailed() {
    sourceSilent();
    offer(() -> module.listFailed(clock.now()));
  }

  /** A message from another node. */
  public void heard(int from, byte[] message) {
    offer(() -> module.heard(clock.now(), from, message));
  }

  // ---- The loop ----

  private void offer(Runnable event) {
    ready.add(event);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::turn);
    }
  }

  private void turn() {
    scheduled = false;
    List<Runnable> events = ready;
    ready = new ArrayList<>();
    events.forEach(this::guarded);
    List<Runnable> actions = asked;
    asked = new ArrayList<>();
    actions.forEach(this::guarded);
  }

  /**
   * One bad event must not take the others down; the request's guard still gives its final answer.
   */
  private void guarded(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException broken) {
      StackTraceElement[] trace = broken.getStackTrace();
      log.line(
          "module failed",
          "module failed: " + broken + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }

  private void overdue(PendingRequest exchange) {
    if (ending) {
      // A process that ends may be held up just then: its attempts have run out of time in this
      // turn, too.
      offer(() -> cutShort(exchange));
    } else if (exchange.failed()) {
      log.line("request " + exchange.job.id() + " had no answer at its end");
      offer(
          () -> {
            module.abandoned(clock.now(), exchange.job.id());
            release(exchange);
          });
    }
  }

  /** Gives the request up with all its attempts, and answers it by what they may have done. */
  private void cutShort(PendingRequest exchange) {
    if (exchange.over()) {
      return;
    }
    List<Attempt> running =
        exchange.attempts.stream().filter(each -> !each.ended && each.sending != null).toList();
    // None is begun or written to its end from here on; only then is it known which have been.
    running.forEach(each -> each.sending.giveUp(() -> {}));
    exchange.givenUp();
    module.abandoned(clock.now(), exchange.job.id());
    running.forEach(
        each ->
            end(
                each,
                each.written ? AttemptOutcome.CANCELLED : AttemptOutcome.NEVER_SENT,
                LoadReport.NONE));
    release(exchange);
  }

  private void release(PendingRequest exchange) {
    if (exchange.over() && exchange.out == 0 && exchanges.remove(exchange.job.id(), exchange)) {
      exchange.guard.cancel();
      finished.add(exchange.job.id());
      bytes -= exchange.call.body().length;
    }
  }

  private void end(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
    if (attempt.ended) {
      return;
    }
    attempt.ended(outcome);
    PendingRequest exchange = attempt.exchange;
    exchange.out--;
    double now = clock.now();
    module.ended(
        now,
        exchange.job.id(),
        attempt.number,
        outcome,
        now - attempt.sentAt,
        exchange.over(),
        report);
    release(exchange);
  }

  // ---- What the module asks for ----

  private void send(String id, long worker, double timeout) {
    PendingRequest exchange = exchanges.get(id);
    if (exchange == null) {
      log.line("send for a request that is over: " + id);
      return;
    }
    double now = clock.now();
    Endpoint member = members.get(worker);
    boolean barred = exchange.barred(worker);
    Attempt attempt = new Attempt(exchange, worker, member, now);
    exchange.attempts.add(attempt);
    exchange.out++;
    double left = exchange.job.due() - now;
    if (exchange.over()
        || left <= 0
        || barred
        || member == null
        || member.worker().state() != WorkerState.READY) {
      offer(() -> end(attempt, AttemptOutcome.NEVER_SENT, LoadReport.NONE));
      return;
    }
    double patience = timeout > 0 ? Math.min(timeout, left) : left;
    attempt.timeout =
        timers.after(
            patience, () -> giveUp(attempt, AttemptOutcome.TIMEOUT, AttemptOutcome.CONNECT_FAILED));
    attempt.acceptance = timers.after(ACCEPTANCE, () -> notAccepted(attempt));
    attempt.sending =
        workers.send(exchange.call, member.address(), patience, new Listener(attempt));
  }

  private void cancel(String id, int number) {
    PendingRequest exchange = exchanges.get(id);
    if (exchange != null && number < exchange.attempts.size()) {
      giveUp(exchange.attempts.get(number), AttemptOutcome.CANCELLED, AttemptOutcome.NEVER_SENT);
    }
  }

  private void giveUp(Attempt attempt, AttemptOutcome ifWritten, AttemptOutcome ifNot) {
    if (!attempt.ended && attempt.sending != null) {
      offer(
          () -> {
            if (!attempt.ended) {
              attempt.sending.giveUp(() -> {});
              end(
                  attempt,
                  attempt.written ? ifWritten : unwritten(attempt, ifNot),
                  LoadReport.NONE);
            }
          });
    }
  }

  /**
   * How an attempt ends that was not written: a worker is not to blame for what this machine
   * lacked.
   */
  private static AttemptOutcome unwritten(Attempt attempt, AttemptOutcome otherwise) {
    return attempt.sending.delayedLocally() ? AttemptOutcome.NEVER_SENT : otherwise;
  }

  /**
   * The worker has not taken the job, and its client still waits: another attempt may follow. That
   * must not overtake the word to this worker, whose 202 may be under way.
   */
  private void notAccepted(Attempt attempt) {
    if (!attempt.ended && !attempt.written && attempt.sending.delayedLocally()) {
      attempt.acceptance = timers.after(ACCEPTANCE, () -> notAccepted(attempt));
    } else if (!attempt.ended && !attempt.calledBack) {
      attempt.sending.giveUp(
          () ->
              offer(
                  () ->
                      end(
                          attempt,
                          attempt.written
                              ? AttemptOutcome.TIMEOUT
                              : unwritten(attempt, AttemptOutcome.CONNECT_FAILED),
                          LoadReport.NONE)));
    }
  }

  private void check(long worker) {
    Endpoint member = members.get(worker);
    if (member != null) {
      double asked = clock.now();
      workers.check(
          member.address(),
          (outcome, report) ->
              offer(
                  () -> {
                    double now = clock.now();
                    module.checked(now, worker, outcome, now - asked, report);
                  }));
    }
  }

  /** Hears what becomes of one attempt on its way. */
  private final class Listener implements WorkerTransport.Listener {
    private final Attempt attempt;

    Listener(Attempt attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean mayStart() {
      // A dial may outlast what it was for: the client may have gone, or another attempt have been
      // served.
      return !attempt.ended
          && !attempt.exchange.over()
          && members.stands(attempt.member)
          && attempt.exchange.clientPresent();
    }

    @Override
    public void written() {
      attempt.written = true;
      figures.attempt();
    }

    @Override
    public void taken() {
      attempt.acceptance.cancel();
    }

    @Override
    public void ended(AttemptOutcome outcome, LoadReport report) {
      offer(() -> end(attempt, outcome, report));
    }
  }

  /**
   * Notes down what the module asks for; it is carried out when all events have been handed over.
   */
  private final class Requests implements Actions {
    @Override
    public void send(String id, long worker, double timeout) {
      asked.add(() -> RequestCoordinator.this.send(id, worker, timeout));
    }

    @Override
    public void refuse(String id, double retryAfter) {
      answer(id, exchange -> exchange.refused(retryAfter));
    }

    @Override
    public void fail(String id) {
      answer(id, PendingRequest::failed);
    }

    private void answer(String id, Consumer<PendingRequest> how) {
      asked.add(
          () -> {
            PendingRequest exchange = exchanges.get(id);
            if (exchange != null) {
              how.accept(exchange);
              release(exchange);
            }
          });
    }

    @Override
    public void cancel(String id, int attempt) {
      asked.add(() -> RequestCoordinator.this.cancel(id, attempt));
    }

    @Override
    public void check(long worker) {
      asked.add(() -> RequestCoordinator.this.check(worker));
    }

    @Override
    public void tell(int peer, byte[] message) {
      asked.add(() -> peers.tell(peer, message));
    }

    @Override
    public void timer(double after, long token) {
      asked.add(() -> timers.after(after, () -> offer(() -> module.timer(clock.now(), token))));
    }

    @Override
    public void watch() {
      // The list comes unasked: a discovery watch is always up.
    }

    @Override
    public void log(String line) {
      asked.add(() -> log.line(line));
    }
  }
}
