package ferngrade.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests that one dispatcher sends to a worker that is warming up. Such a worker fails
 * if all dispatchers together send too much work to it within one window. Its budget is therefore
 * divided into grants, which are assigned to the dispatchers in turn. One grant covers a request of
 * mean work, and a request with twice the mean work costs two grants. An unused grant expires. The
 * dispatchers exchange no messages: each one derives its grants from the worker's age and its own
 * number. In any window all dispatchers together use at most the grants of two windows plus one,
 * regardless of their number. Event thread only.
 */
final class SlowStart {
  /**
   * Share of the limit that is granted per window. The grants of two windows can be used within one
   * window; the rest of the limit covers requests that arrive late and estimation errors.
   */
  private static final double LIMIT_SHARE = 0.35;

  /**
   * Share of the tolerance for random variation that is granted per window in addition to {@link
   * #LIMIT_SHARE}. As with the limit, the grants of two windows can be used within one window.
   */
  private static final double TOLERANCE_SHARE = 0.25;

  /**
   * Limit, in requests per window, from which the tolerance is two standard deviations plus 2.
   * Below it, the tolerance is three standard deviations plus 3.
   */
  private static final double LARGE_LIMIT = 30;

  /**
   * Lifetime of an unused grant in windows. Grants do not expire sooner because a single dispatcher
   * of a large fleet has few requests that could use a grant.
   */
  private static final double GRANT_LIFETIME_WINDOWS = 1;

  /**
   * Minimum number of grants per window for all dispatchers together. The tolerance of the limit
   * covers them while the worker's capacity is unknown.
   */
  private static final double MIN_GRANTS = 1;

  /**
   * Share of a request's cost that must be granted when it is sent; later grants cover the rest.
   */
  private static final double MIN_COVERED_SHARE = 0.5;

  /**
   * Offsets the first grant of each worker so that dispatchers do not all begin with the same
   * worker. The number is odd and does not divide common fleet sizes.
   */
  private static final long OFFSET_STRIDE = 31;

  private final SlowStartPolicy policy;
  private final int dispatcherIndex;
  private final int dispatcherCount;

  /** Number of processes of this dispatcher that run at the same time. */
  private int processCount = 1;

  /** Zero-based number of this process. */
  private int processIndex;

  private boolean stopped;
  private final Map<Long, Account> accounts = new HashMap<>();

  SlowStart(SlowStartPolicy policy, int dispatcherIndex, int dispatcherCount) {
    this.policy = policy;
    this.dispatcherIndex = dispatcherIndex;
    this.dispatcherCount = dispatcherCount;
  }

  /**
   * Sets the number of concurrent processes of the dispatcher and the zero-based number of this
   * one. Each process gets the grants that a dispatcher would get in a fleet with {@code count}
   * times as many dispatchers. All accounts are reopened.
   */
  void setProcesses(int count, int index) {
    processCount = count;
    processIndex = index;
    accounts.values().forEach(account -> account.receivedGrants = Double.NaN);
  }

  /** Stops the use of grants by this process; they are left to the other processes. */
  void stop() {
    stopped = true;
  }

  /**
   * Returns the total number of processes of all dispatchers; the grants of a worker are divided
   * among them.
   */
  int participants() {
    return dispatcherCount * processCount;
  }

  /**
   * A request sent to a worker at time {@code at} (ms). The cost is in grants; a request of mean
   * work costs 1.
   */
  private record SentRequest(double at, double cost) {}

  /** The grants of this process for one worker, counted from the start of the worker's process. */
  private static final class Account {
    final Deque<SentRequest> recentRequests = new ArrayDeque<>();
    double startedAt;

    /**
     * Number of grants received until {@code receivedAt}, including the fraction of the next one;
     * NaN before the first use.
     */
    double receivedGrants = Double.NaN;

    double receivedAt;

    /** Number of grants that are used, expired or owed for requests already sent. */
    double usedGrants;
  }

  /** Returns true while the worker may fail under a load that it can sustain once it is warm. */
  boolean warmingUp(Worker worker, double now) {
    return worker.startedAt() > 0 && now - worker.startedAt() < policy.warmUpMs();
  }

  /** Returns the minimum share of its capacity that a worker of this age has. */
  double capacityShare(Worker worker, double now) {
    return policy.warmUpMs() == 0 ? 1 : capacityShareAt(age(worker, now));
  }

  /**
   * Returns true if a request of this cost, in requests of mean work, may be sent now to a worker
   * that serves {@code capacity} requests of mean work per second once it is warm.
   */
  boolean allows(Worker worker, double cost, double capacity, double now) {
    if (!warmingUp(worker, now)) {
      return true;
    }
    if (stopped) {
      return false;
    }
    Account account = account(worker);
    addGrants(account, worker, capacity, now);
    return Math.floor(account.receivedGrants) - account.usedGrants >= MIN_COVERED_SHARE * cost;
  }

  /**
   * Counts a request that is being sent. Requests to a warm worker are counted too, because it may
   * have restarted without this dispatcher being notified yet.
   */
  void requestSent(Worker worker, double cost, double now) {
    if (policy.warmUpMs() == 0) {
      return;
    }
    Account account = account(worker);
    account.usedGrants += cost;
    account.recentRequests.add(new SentRequest(now, cost));
    while (account.recentRequests.peek().at() <= now - policy.overloadWindowMs()) {
      account.recentRequests.remove();
    }
  }

  private Account account(Worker worker) {
    Account account = accounts.computeIfAbsent(worker.id(), id -> new Account());
    if (account.startedAt != worker.startedAt()) {
      account.startedAt = worker.startedAt();
      account.receivedGrants = Double.NaN;
    }
    return account;
  }

  /** Adds the grants received since the last call and drops the expired ones. */
  private void addGrants(Account account, Worker worker, double capacity, double now) {
    if (Double.isNaN(account.receivedGrants)) {
      openAccount(account, worker, capacity, now);
    }
    double elapsed = now - account.receivedAt;
    double meanAge = (age(worker, now) + age(worker, account.receivedAt)) / 2;
    account.receivedGrants +=
        grantsPerWindow(capacity, meanAge) * elapsed / policy.overloadWindowMs();
    account.receivedAt = now;
    double unexpiredGrants = grantsPerWindow(capacity, age(worker, now)) * GRANT_LIFETIME_WINDOWS;
    account.usedGrants =
        Math.max(account.usedGrants, Math.floor(account.receivedGrants - unexpiredGrants));
  }

  /**
   * Opens the account of a worker process. Earlier grants are void because a previous process of
   * this dispatcher may have used them. Requests sent to the process during the last window, before
   * its start was known, are charged. The charge is at most the grants of one window, or one grant
   * if that is more.
   */
  private void openAccount(Account account, Worker worker, double capacity, double now) {
    double age = age(worker, now);
    int participants = participants();
    long processNumber = (long) dispatcherIndex * processCount + processIndex;
    double offset = Math.floorMod(processNumber + worker.id() * OFFSET_STRIDE, (long) participants);
    account.receivedGrants =
        offset / participants
            + grantsPerWindow(capacity, age / 2) * age / policy.overloadWindowMs();
    account.receivedAt = now;
    double alreadySent =
        account.recentRequests.stream()
            .filter(sent -> sent.at() > now - policy.overloadWindowMs())
            .filter(sent -> sent.at() >= worker.startedAt())
            .mapToDouble(SentRequest::cost)
            .sum();
    account.usedGrants =
        Math.floor(account.receivedGrants)
            + Math.min(alreadySent, Math.max(1, grantsPerWindow(capacity, age)));
  }

  /** Returns the number of grants of this process per window for a worker of this age. */
  private double grantsPerWindow(double capacity, double age) {
    double limit =
        policy.overloadFactor()
            * capacityShareAt(age)
            * capacity
            * policy.overloadWindowMs()
            / 1000;
    double granted = LIMIT_SHARE * limit + TOLERANCE_SHARE * tolerance(limit);
    return Math.max(MIN_GRANTS, granted) / participants();
  }

  /**
   * Returns the tolerance: the number of requests per window by which random variation may exceed
   * the limit without making the worker fail.
   */
  private static double tolerance(double limit) {
    double deviation = Math.sqrt(limit);
    return limit < LARGE_LIMIT ? 3 * deviation + 3 : 2 * deviation + 2;
  }

  private double capacityShareAt(double age) {
    return policy.startCapacity()
        + (1 - policy.startCapacity()) * Math.min(1, age / policy.warmUpMs());
  }

  /**
   * Returns the worker's age in ms. A start time in the future, from clocks that differ, counts as
   * age 0.
   */
  private static double age(Worker worker, double now) {
    return Math.max(0, now - worker.startedAt());
  }
}
