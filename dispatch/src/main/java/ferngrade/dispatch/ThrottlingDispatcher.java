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
  private static final long BUDGET_CYCLE_TOKEN = 1;
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
  private final SlowStart slowStart;
  private final SlowStartGate slowStartGate;
  private final RetryPolicy retries;
  private final HedgingPolicy hedging;
  private final WorkerSelector selector;
  private final AttemptOutcomeHandler outcomeHandler;
  private final IdleCapacity idleCapacity;

  /**
   * Creates a dispatcher that starts its timers at {@code now}. The seed determines all random
   * choices.
   */
  public ThrottlingDispatcher(DispatcherSettings settings, long seed, double now, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    int dispatcherCount = settings.dispatcherCount();
    random = new SplittableRandom(seed);
    checks = new DeferredChecks(actions);
    registry = new WorkerRegistry(settings.zone(), settings.classes().size());
    serviceTimes = new ServiceTimeEstimator(settings.classes().size());
    budget = new SlotBudget(settings.weightsIncludeLoad());
    budgetCycle = new BudgetCycle(settings, budget, now, actions);
    waits = new WaitEstimator(registry, serviceTimes, budget, dispatcherCount);
    deadlines = new StartDeadlines(serviceTimes, waits, budget);
    outliers = new OutlierDetector(registry, serviceTimes, random);
    slowStart = new SlowStart(settings.slowStart(), settings.dispatcherIndex(), dispatcherCount);
    fleetLoad = new FleetLoadMeter(registry, outliers, slowStart);
    slowStartGate = new SlowStartGate(registry, slowStart, serviceTimes, budget, fleetLoad);
    retries = new RetryPolicy(settings.limits(), settings.eventBatchIntervalMs());
    hedging = new HedgingPolicy(settings, registry, deadlines, retries);
    CandidateFilter filter =
        new CandidateFilter(retries, slowStartGate, outliers, deadlines, budget);
    CandidateCost cost = new CandidateCost(settings, registry, serviceTimes, waits, slowStartGate);
    selector = new WorkerSelector(registry, slowStartGate, filter, cost, outliers, random);
    idleCapacity = new IdleCapacity(registry, outliers, slowStart);
    outcomeHandler =
        new AttemptOutcomeHandler(registry, outliers, budget, serviceTimes, retries, idleCapacity);
    startTimers();
  }

  private void startTimers() {
    actions.scheduleTimer(random.nextDouble() * BudgetCycle.PERIOD_MS, BUDGET_CYCLE_TOKEN);
    if (settings.watchesEndpoints()) {
      double delay =
          1 + FIRST_WATCH_SPREAD_MS * settings.dispatcherIndex() / settings.dispatcherCount();
      actions.scheduleTimer(delay, WATCH_TOKEN);
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
    return budgetCycle.state(registry.slotsInFlight());
  }

  @Override
  public int ejectedWorkerCount(double now) {
    return outliers.ejectedCount(now);
  }

  @Override
  public void processesChanged(double now, int processCount, int processIndex) {
    slowStart.setProcesses(processCount, processIndex);
  }

  @Override
  public void drainingStarted(double now) {
    slowStart.stop();
  }

  @Override
  public void requestArrived(double now, Job job) {
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
    return !budget.followsLoads() && idleCapacity.admit(job);
  }

  /**
   * Sends or retries the request if that is allowed. Otherwise answers it, unless an attempt is
   * still in flight.
   */
  private void sendOrAnswer(PendingRequest request, double now) {
    boolean overQuota =
        !request.attempts.isEmpty() && budgetCycle.exceedsQuota(request.job.tenant());
    boolean sendAllowed = !overQuota && retries.maySend(request, now);
    WorkerStats worker =
        sendAllowed ? selector.select(request, retries.groupAttempt(request), now) : null;
    if (worker != null && !deadlines.wouldStartLate(request, worker, now)) {
      send(request, worker, now);
    } else if (request.inFlight == 0) {
      answer(request, serviceTimes.mean(), rejectionCause(overQuota, sendAllowed, worker));
    }
  }

  private static RejectionCause rejectionCause(
      boolean overQuota, boolean sendAllowed, WorkerStats worker) {
    if (overQuota) {
      return RejectionCause.QUOTA;
    }
    if (!sendAllowed) {
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
    slowStartGate.attemptSent(request, worker, now);
    outliers.attemptSent(worker, request.job.jobClass(), now);
    actions.send(request.job.id(), worker.id, 0);
    if (settings.workersReportStart()) {
      scheduleStartChecks(request, attempt);
    }
  }

  private void scheduleStartChecks(PendingRequest request, Attempt attempt) {
    WorkerStats worker = attempt.worker;
    checks.schedule(
        deadlines.maxStartDelay(request, worker), now -> budget.startDeadlinePassed(attempt));
    if (hedging.appliesTo(request)) {
      checks.schedule(hedging.delay(request, worker), now -> hedge(request, now));
    }
  }

  /**
   * Sends a request that is queued at a worker to a second worker. The queued attempt stays in
   * flight.
   */
  private void hedge(PendingRequest request, double now) {
    if (!hedging.isWaiting(request)) {
      return;
    }
    int newestAttemptNumber = request.attempts.size() - 1;
    Attempt newestAttempt = request.newestAttempt();
    if (newestAttempt.inFlight()) {
      waits.attemptStillWaits(newestAttempt, now);
    }
    WorkerStats worker =
        hedging.mayHedge(request, now)
            ? selector.selectPreferred(request, retries.groupAttempt(request), now)
            : null;
    if (worker == null) {
      return;
    }
    if (request.inFlight > 1 && newestAttempt.inFlight() && settings.limits().cancellation()) {
      actions.cancel(request.job.id(), newestAttemptNumber);
    }
    hedging.hedgeSent();
    send(request, worker, now);
  }

  @Override
  public void attemptStarted(double now, String requestId, int attemptNumber) {
    Attempt attempt = requests.findAttempt(requestId, attemptNumber);
    if (attempt == null || !attempt.inFlight()) {
      return;
    }
    PendingRequest request = requests.find(requestId);
    attempt.startedAt = now;
    cancelWaitingAttempts(request, attemptNumber);
    outliers.attemptStarted(attempt.worker, request.job.jobClass());
    outliers.responseReceived(attempt.worker, now);
    waits.attemptStarted(attempt, now);
    outcomeHandler.attemptStarted(request, attempt);
  }

  /**
   * Cancels the attempts that are queued at other workers, now that attempt {@code attemptNumber}
   * is running.
   */
  private void cancelWaitingAttempts(PendingRequest request, int attemptNumber) {
    if (!settings.limits().cancellation()) {
      return;
    }
    for (int i = 0; i < request.attempts.size() && request.inFlight > 1; i++) {
      Attempt otherAttempt = request.attempts.get(i);
      if (i != attemptNumber && otherAttempt.inFlight() && !otherAttempt.running()) {
        actions.cancel(request.job.id(), i);
      }
    }
  }

  @Override
  public void attemptProgressed(double now, String requestId, int attemptNumber, double share) {
    Attempt attempt = requests.findAttempt(requestId, attemptNumber);
    if (attempt != null) {
      outliers.responseReceived(attempt.worker, now);
    }
  }

  @Override
  public void attemptEnded(
      double now,
      String requestId,
      int attemptNumber,
      AttemptOutcome outcome,
      double durationMs,
      boolean completed,
      LoadReport report) {
    Attempt attempt = requests.findAttempt(requestId, attemptNumber);
    if (attempt == null || !attempt.inFlight()) {
      return;
    }
    PendingRequest request = requests.find(requestId);
    attempt.outcome = outcome;
    request.inFlight--;
    registry.attemptEnded(attempt.worker, request.job);
    outcomeHandler.attemptEnded(request, attempt, outcome, now);
    reportReceived(attempt.worker, report, now);
    request.completed |= completed;
    if (request.completed) {
      cancelWaitingAttempts(request, attemptNumber);
      requests.removeIfDone(request);
    } else {
      retryOrAnswer(request, outcome, now);
    }
  }

  private void reportReceived(WorkerStats worker, LoadReport report, double now) {
    if (!settings.weightsIncludeLoad()) {
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
  private void answer(PendingRequest request, double retryAfterMs, RejectionCause cause) {
    if (!retries.mayReject(request)) {
      fail(request);
      return;
    }
    request.completed = true;
    double cappedRetryAfterMs = Math.min(retryAfterMs, settings.limits().maxRetryAfterMs());
    actions.reject(request.job.id(), cappedRetryAfterMs, cause);
    requests.removeIfDone(request);
  }

  private void fail(PendingRequest request) {
    request.completed = true;
    actions.fail(request.job.id());
    requests.removeIfDone(request);
  }

  @Override
  public void requestAbandoned(double now, String requestId) {
    PendingRequest request = requests.find(requestId);
    if (request != null) {
      request.completed = true;
      requests.removeIfDone(request);
    }
  }

  @Override
  public void endpointsUpdated(double now, EndpointListUpdate update, List<Worker> workers) {
    registry.update(update, workers);
  }

  @Override
  public void endpointWatchFailed(double now) {
    if (settings.watchesEndpoints()) {
      double backoff = MIN_WATCH_BACKOFF_MS + WATCH_BACKOFF_JITTER_MS * random.nextDouble();
      actions.scheduleTimer(backoff, WATCH_TOKEN);
    }
  }

  @Override
  public void timerExpired(double now, long token) {
    if (token == BUDGET_CYCLE_TOKEN) {
      budgetCycle.run(fleetLoad, serviceTimes.meanWork(), now);
      idleCapacity.startCycle(now);
      slowStartGate.startCycle(now);
      actions.scheduleTimer(BudgetCycle.PERIOD_MS, BUDGET_CYCLE_TOKEN);
    } else if (token == WATCH_TOKEN) {
      actions.watchEndpoints();
    } else {
      checks.timerExpired(now, token);
    }
  }

  @Override
  public void peerMessageReceived(double now, int sender, byte[] message) {
    budgetCycle.receive(sender, message);
  }
}
