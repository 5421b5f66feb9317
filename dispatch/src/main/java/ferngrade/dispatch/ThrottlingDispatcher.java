package ferngrade.dispatch;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Implements {@link Dispatcher} by passing each event to the components that own the state. A
 * request is checked against its tenant's quota of this dispatcher's slot budget, then a worker is
 * selected, and the retry policy decides whether a failed attempt is repeated. The class reads no
 * clock: each event carries the time in ms. An instance must be used by one thread only.
 */
public final class ThrottlingDispatcher implements Dispatcher {
  private static final long CYCLE_TOKEN = 1;
  private static final long WATCH_TOKEN = 2;

  /**
   * Interval over which the dispatchers spread their first subscriptions to the endpoint list, so
   * that they do not overload discovery.
   */
  private static final double FIRST_WATCH_SPREAD_MS = 2000;

  /**
   * Minimum delay before the endpoint list is watched again after a failure; a random jitter is
   * added.
   */
  private static final double MIN_WATCH_BACKOFF_MS = 1000;

  private static final double WATCH_BACKOFF_JITTER_MS = 2000;

  private final DispatcherSettings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final PendingRequests requests = new PendingRequests();
  private final DeferredChecks checks;
  private final WorkerRegistry registry;
  private final ServiceTimeEstimator serviceTimes;
  private final SlotBudget budget;
  private final BudgetCycle budgetCycle;
  private final WaitEstimator waits;
  private final StartDeadlines deadlines;
  private final OutlierDetector outliers;
  private final FleetLoadMeter fleetLoad;
  private final SlowStart grants;
  private final SlowStartGate slowStart;
  private final RetryPolicy retries;
  private final HedgingPolicy hedging;
  private final WorkerSelector selector;
  private final AttemptOutcomeHandler outcomes;
  private final IdleCapacity idle;

  /**
   * Creates a dispatcher that starts its timers at {@code now}. The seed determines all random
   * choices.
   */
  public ThrottlingDispatcher(DispatcherSettings settings, long seed, double now, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    int dispatchers = settings.dispatchers();
    random = new SplittableRandom(seed);
    checks = new DeferredChecks(actions);
    registry = new WorkerRegistry(settings.zone(), settings.classes().size());
    serviceTimes = new ServiceTimeEstimator(settings.classes().size());
    budget = new SlotBudget(settings.liveWeights());
    budgetCycle = new BudgetCycle(settings, budget, now, actions);
    waits = new WaitEstimator(registry, serviceTimes, budget, dispatchers);
    deadlines = new StartDeadlines(serviceTimes, waits, budget);
    outliers = new OutlierDetector(registry, serviceTimes, random);
    grants = new SlowStart(settings.cold(), settings.me(), dispatchers);
    fleetLoad = new FleetLoadMeter(registry, outliers, grants);
    slowStart = new SlowStartGate(registry, grants, serviceTimes, budget, fleetLoad);
    retries = new RetryPolicy(settings.limits(), settings.roundMs());
    hedging = new HedgingPolicy(settings, registry, deadlines, retries);
    CandidateFilter filter = new CandidateFilter(retries, slowStart, outliers, deadlines, budget);
    CandidateCost cost = new CandidateCost(settings, registry, serviceTimes, waits, slowStart);
    selector = new WorkerSelector(registry, slowStart, filter, cost, outliers, random);
    idle = new IdleCapacity(registry, outliers, grants);
    outcomes = new AttemptOutcomeHandler(registry, outliers, budget, serviceTimes, retries, idle);
    startTimers();
  }

  private void startTimers() {
    actions.timer(random.nextDouble() * BudgetCycle.PERIOD_MS, CYCLE_TOKEN);
    if (settings.asks()) {
      double delay = 1 + FIRST_WATCH_SPREAD_MS * settings.me() / settings.dispatchers();
      actions.timer(delay, WATCH_TOKEN);
    }
  }

  /**
   * Returns the number of slots per second that this dispatcher may start, or NaN before the first
   * budget cycle.
   */
  public double slice() {
    return budget.slice();
  }

  @Override
  public BudgetState budgetState() {
    return budgetCycle.state(registry.heldSlots());
  }

  @Override
  public int excluded(double now) {
    return outliers.ejectedCount(now);
  }

  @Override
  public void sharedBy(double now, int count, int index) {
    grants.sharedBy(count, index);
  }

  @Override
  public void acceptNoMore(double now) {
    grants.stop();
  }

  @Override
  public void arrived(double now, Job job) {
    if (job.jobClass() >= settings.classes().size()) {
      throw new IllegalArgumentException("Job.jobClass is out of range: " + job.jobClass());
    }
    PendingRequest request = new PendingRequest(job, settings.classes().get(job.jobClass()));
    requests.add(request);
    double work = serviceTimes.requestArrived(request);
    if (budgetCycle.admit(job, work, now) || admitBeyondBudget(job)) {
      sendOrAnswer(request, now);
    } else {
      answer(request, BudgetCycle.PERIOD_MS, RejectionCause.QUOTA);
    }
  }

  /** Returns true if the job exceeds the budget but idle workers have capacity for it. */
  private boolean admitBeyondBudget(Job job) {
    return !budget.followsLoads() && idle.admit(job);
  }

  /**
   * Sends or retries the request if that is allowed. Otherwise answers it, unless an attempt is
   * still in flight.
   */
  private void sendOrAnswer(PendingRequest request, double now) {
    boolean overQuota =
        !request.attempts.isEmpty() && budgetCycle.exceedsQuota(request.job.tenant());
    boolean maySend = !overQuota && retries.maySend(request, now);
    WorkerStats worker =
        maySend ? selector.select(request, retries.groupAttempt(request), now) : null;
    if (worker != null && !deadlines.wouldStartLate(request, worker, now)) {
      send(request, worker, now);
    } else if (request.inFlight == 0) {
      answer(request, serviceTimes.mean(), notSentCause(overQuota, maySend, worker));
    }
  }

  private static RejectionCause notSentCause(
      boolean overQuota, boolean maySend, WorkerStats worker) {
    if (overQuota) {
      return RejectionCause.QUOTA;
    }
    if (!maySend) {
      return RejectionCause.NO_RETRY;
    }
    return worker == null ? RejectionCause.NO_WORKER : RejectionCause.START_TOO_LATE;
  }

  private void send(PendingRequest request, WorkerStats worker, double now) {
    Attempt attempt = new Attempt(worker, now);
    request.attempts.add(attempt);
    request.inFlight++;
    registry.attemptSent(worker, request.job, now);
    budget.attemptSent();
    if (request.attempts.size() == 1) {
      hedging.firstAttemptSent();
    }
    slowStart.attemptSent(request, worker, now);
    outliers.attemptSent(worker, request.job.jobClass(), now);
    actions.send(request.job.id(), worker.id, 0);
    if (settings.tellsStart()) {
      scheduleStartChecks(request, attempt);
    }
  }

  private void scheduleStartChecks(PendingRequest request, Attempt attempt) {
    WorkerStats worker = attempt.worker;
    checks.schedule(
        deadlines.lateAfter(request, worker), now -> budget.startDeadlinePassed(attempt));
    if (hedging.appliesTo(request)) {
      checks.schedule(hedging.delay(request, worker), now -> hedge(request, now));
    }
  }

  /**
   * Sends a request that is queued at a worker to a second worker. The queued attempt stays in
   * flight.
   */
  private void hedge(PendingRequest request, double now) {
    if (!hedging.stillWaits(request)) {
      return;
    }
    int newestNumber = request.attempts.size() - 1;
    Attempt newest = request.newest();
    if (newest.inFlight()) {
      waits.attemptStillWaits(newest, now);
    }
    WorkerStats worker =
        hedging.mayHedge(request, now)
            ? selector.selectPreferred(request, retries.groupAttempt(request), now)
            : null;
    if (worker == null) {
      return;
    }
    if (request.inFlight > 1 && newest.inFlight() && settings.limits().cancel()) {
      actions.cancel(request.job.id(), newestNumber);
    }
    hedging.hedgeSent();
    send(request, worker, now);
  }

  @Override
  public void started(double now, String id, int number) {
    Attempt attempt = requests.findAttempt(id, number);
    if (attempt == null || !attempt.inFlight()) {
      return;
    }
    PendingRequest request = requests.find(id);
    attempt.startedAt = now;
    cancelWaitingAttempts(request, number);
    outliers.attemptStarted(attempt.worker, request.job.jobClass());
    outliers.signOfLife(attempt.worker, now);
    waits.attemptStarted(attempt, now);
    outcomes.attemptStarted(request, attempt);
  }

  /**
   * Cancels the attempts that are queued at other workers, now that attempt {@code number} is
   * running.
   */
  private void cancelWaitingAttempts(PendingRequest request, int number) {
    if (!settings.limits().cancel()) {
      return;
    }
    for (int i = 0; i < request.attempts.size() && request.inFlight > 1; i++) {
      Attempt other = request.attempts.get(i);
      if (i != number && other.inFlight() && !other.running()) {
        actions.cancel(request.job.id(), i);
      }
    }
  }

  @Override
  public void progressed(double now, String id, int number, double share) {
    Attempt attempt = requests.findAttempt(id, number);
    if (attempt != null) {
      outliers.signOfLife(attempt.worker, now);
    }
  }

  @Override
  public void ended(
      double now,
      String id,
      int number,
      AttemptOutcome outcome,
      double took,
      boolean over,
      LoadReport report) {
    Attempt attempt = requests.findAttempt(id, number);
    if (attempt == null || !attempt.inFlight()) {
      return;
    }
    PendingRequest request = requests.find(id);
    attempt.outcome = outcome;
    request.inFlight--;
    registry.attemptEnded(attempt.worker, request.job);
    outcomes.attemptEnded(request, attempt, outcome, now);
    reportReceived(attempt.worker, report, now);
    request.completed |= over;
    if (request.completed) {
      cancelWaitingAttempts(request, number);
      requests.removeIfDone(request);
    } else {
      retryOrAnswer(request, outcome, now);
    }
  }

  private void reportReceived(WorkerStats worker, LoadReport report, double now) {
    if (!settings.liveWeights()) {
      registry.learnSlots(worker, report);
    }
    outliers.reportReceived(worker, report, now);
  }

  private void retryOrAnswer(PendingRequest request, AttemptOutcome outcome, double now) {
    if (outcome == AttemptOutcome.TIMEOUT && retries.deadlineReached(request, now)) {
      answer(request, 0, RejectionCause.DEADLINE);
    } else if (request.inFlight == 0 && outcome == AttemptOutcome.UNUSABLE) {
      // A retry would make the request fail at further workers and cause their ejection.
      fail(request);
    } else if (request.inFlight == 0) {
      sendOrAnswer(request, now);
    }
  }

  /** Rejects the request if the client can safely retry it; otherwise fails it. */
  private void answer(PendingRequest request, double retryAfter, RejectionCause cause) {
    if (!retries.mayReject(request)) {
      fail(request);
      return;
    }
    request.completed = true;
    double wait = Math.min(retryAfter, settings.limits().retryAfterMax());
    actions.refuse(request.job.id(), wait, cause);
    requests.removeIfDone(request);
  }

  private void fail(PendingRequest request) {
    request.completed = true;
    actions.fail(request.job.id());
    requests.removeIfDone(request);
  }

  @Override
  public void abandoned(double now, String id) {
    PendingRequest request = requests.find(id);
    if (request != null) {
      request.completed = true;
      requests.removeIfDone(request);
    }
  }

  @Override
  public void members(double now, EndpointListUpdate update, List<Worker> workers) {
    registry.update(update, workers);
  }

  @Override
  public void listFailed(double now) {
    if (settings.asks()) {
      double backoff = MIN_WATCH_BACKOFF_MS + WATCH_BACKOFF_JITTER_MS * random.nextDouble();
      actions.timer(backoff, WATCH_TOKEN);
    }
  }

  @Override
  public void timer(double now, long token) {
    if (token == CYCLE_TOKEN) {
      budgetCycle.run(fleetLoad, serviceTimes.meanWork(), now);
      idle.startCycle(now);
      slowStart.startCycle(now);
      actions.timer(BudgetCycle.PERIOD_MS, CYCLE_TOKEN);
    } else if (token == WATCH_TOKEN) {
      actions.watch();
    } else {
      checks.timerExpired(now, token);
    }
  }

  @Override
  public void heard(double now, int from, byte[] message) {
    budgetCycle.receive(from, message);
  }
}
