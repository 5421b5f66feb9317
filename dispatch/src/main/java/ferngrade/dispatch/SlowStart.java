package ferngrade.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Slow start: what one dispatcher may send to a worker that is warming up. Such a worker fails from
 * what all dispatchers send it together within one window, so its budget is dealt out as grants,
 * each worth one request of mean work, to one dispatcher after another. A grant that is not used
 * expires. No message is needed: every dispatcher derives its grants from the worker's age and its
 * own number. In any window the dispatchers together use the grants of two windows at most, and one
 * more, however many they are.
 */
final class SlowStart {
  /**
   * Share of the limit that is dealt out in a window. The grants of two windows can be used within
   * one; the rest is for requests that arrive late and for errors of the estimate.
   */
  private static final double LIMIT_SHARE = 0.35;

  /**
   * Share of the slack for chance that is dealt out in a window beyond that; two windows can meet
   * here as well.
   */
  private static final double SLACK_SHARE = 0.25;

  /** Limit from which on the slack for chance is the smaller one. */
  private static final double LARGE_LIMIT = 30;

  /**
   * Windows after which an unused grant expires: one dispatcher of many has few requests to use it
   * for.
   */
  private static final double GRANT_LIFETIME = 1;

  /**
   * Grants of a window, at the least: the slack of the limit covers them while its size is unknown.
   */
  private static final double LEAST_GRANTS = 1;

  /** Share of a request's cost that must be granted when it is sent; later grants pay the rest. */
  private static final double COVERED_SHARE = 0.5;

  /** Spreads the first turns of workers; odd and not a divisor of common fleet sizes. */
  private static final long TURN_STRIDE = 31;

  private final SlowStartPolicy rule;
  private final int me;
  private final int dispatchers;

  /** The processes of this dispatcher that run side by side, and the number of this one. */
  private int processes = 1;

  private int process;
  private boolean stopped;
  private final Map<Long, Account> accounts = new HashMap<>();

  SlowStart(SlowStartPolicy rule, int me, int dispatchers) {
    this.rule = rule;
    this.me = me;
    this.dispatchers = dispatchers;
  }

  /**
   * This is one of {@code count} processes of the dispatcher, number {@code index} of them from 0:
   * each has the grants of a dispatcher of its own in a fleet of so many more. All accounts are
   * opened anew.
   */
  void sharedBy(int count, int index) {
    processes = count;
    process = index;
    accounts.values().forEach(account -> account.received = Double.NaN);
  }

  /** From now on this process has no grants: others have them. */
  void stop() {
    stopped = true;
  }

  /** Between how many the grants of a worker are divided. */
  int participants() {
    return dispatchers * processes;
  }

  /** A request sent to a worker: when, and its work in requests of mean work. */
  private record Sent(double at, double cost) {}

  /** The grants of one process of a worker, counted from its start. */
  private static final class Account {
    final Deque<Sent> recent = new ArrayDeque<>();
    double startedAt;

    /** Grants up to {@code receivedAt}, with the fraction of the next; NaN before the first use. */
    double received = Double.NaN;

    double receivedAt;

    /** Grants that are used up, expired or owed. */
    double used;
  }

  /** True while the worker may fail from a load that it could bear later. */
  boolean warmingUp(Worker worker, double now) {
    return worker.startedAt() > 0 && now - worker.startedAt() < rule.coldMs();
  }

  /** The share of its capacity that a worker of this age has at the least. */
  double warmth(Worker worker, double now) {
    return rule.coldMs() == 0 ? 1 : warmthAt(age(worker, now));
  }

  /**
   * True if a request of this cost, in requests of mean work, may be sent now to a worker that
   * carries {@code capacity} of them a second once it is warm.
   */
  boolean allows(Worker worker, double cost, double capacity, double now) {
    if (!warmingUp(worker, now)) {
      return true;
    }
    if (stopped) {
      return false;
    }
    Account account = account(worker);
    receive(account, worker, capacity, now);
    return Math.floor(account.received) - account.used >= COVERED_SHARE * cost;
  }

  /**
   * Counts a request that is being sent, also to a warm worker: it may have restarted unnoticed.
   */
  void sent(Worker worker, double cost, double now) {
    if (rule.coldMs() == 0) {
      return;
    }
    Account account = account(worker);
    account.used += cost;
    account.recent.add(new Sent(now, cost));
    while (account.recent.peek().at() <= now - rule.tipMs()) {
      account.recent.remove();
    }
  }

  private Account account(Worker worker) {
    Account account = accounts.computeIfAbsent(worker.id(), id -> new Account());
    if (account.startedAt != worker.startedAt()) {
      account.startedAt = worker.startedAt();
      account.received = Double.NaN;
    }
    return account;
  }

  /** Adds the grants since the last call and drops those that have expired. */
  private void receive(Account account, Worker worker, double capacity, double now) {
    if (Double.isNaN(account.received)) {
      open(account, worker, capacity, now);
    }
    double span = now - account.receivedAt;
    double middle = (age(worker, now) + age(worker, account.receivedAt)) / 2;
    account.received += grants(capacity, middle) * span / rule.tipMs();
    account.receivedAt = now;
    double unexpired = grants(capacity, age(worker, now)) * GRANT_LIFETIME;
    account.used = Math.max(account.used, Math.floor(account.received - unexpired));
  }

  /**
   * The first look at a process. Grants from before are void: an earlier process of this dispatcher
   * may have used them. Requests that were on their way when its start became known are paid for,
   * but for no longer than they stay in the window.
   */
  private void open(Account account, Worker worker, double capacity, double now) {
    double age = age(worker, now);
    int participants = participants();
    long number = (long) me * processes + process;
    double turn = Math.floorMod(number + worker.id() * TURN_STRIDE, (long) participants);
    account.received = turn / participants + grants(capacity, age / 2) * age / rule.tipMs();
    account.receivedAt = now;
    double early =
        account.recent.stream()
            .filter(each -> each.at() > now - rule.tipMs())
            .filter(each -> each.at() >= worker.startedAt())
            .mapToDouble(Sent::cost)
            .sum();
    account.used =
        Math.floor(account.received) + Math.min(early, Math.max(1, grants(capacity, age)));
  }

  /** The grants of this dispatcher in one window, at this age of the worker. */
  private double grants(double capacity, double age) {
    double limit = rule.fallMultiple() * warmthAt(age) * capacity * rule.tipMs() / 1000;
    double dealt = LIMIT_SHARE * limit + SLACK_SHARE * slack(limit);
    return Math.max(LEAST_GRANTS, dealt) / participants();
  }

  /** What chance may add to the limit before the worker fails. */
  private static double slack(double limit) {
    double root = Math.sqrt(limit);
    return limit < LARGE_LIMIT ? 3 * root + 3 : 2 * root + 2;
  }

  private double warmthAt(double age) {
    return rule.startCapacity() + (1 - rule.startCapacity()) * Math.min(1, age / rule.coldMs());
  }

  /** A start that the clocks put into the future counts as now. */
  private static double age(Worker worker, double now) {
    return Math.max(0, now - worker.startedAt());
  }
}
