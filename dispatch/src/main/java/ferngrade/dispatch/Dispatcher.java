package ferngrade.dispatch;

import java.util.List;

/**
 * What a host tells the decision module of one dispatcher, and what the module asks of it. All
 * times are milliseconds on the host's clock and never go back; rates are per second; zones, kinds,
 * classes and tenants are positions in the settings' lists. One instance belongs to one thread; the
 * {@link Actions} are called from inside the events.
 */
public interface Dispatcher {
  /** A client's request has come in; exactly one final answer is owed from here on. */
  void arrived(double now, Job job);

  /** The worker has begun to work on this attempt. */
  void started(double now, String id, int attempt);

  /** The worker has done this share (0 to 1) of the attempt. */
  void progressed(double now, String id, int attempt, double share);

  /** The attempt's answer has begun to stream to the client; no deadline applies any more. */
  default void streaming(double now, String id, int attempt) {
    started(now, id, attempt);
  }

  /**
   * The attempt has ended after {@code took} ms; {@code over} says that the request needs no answer
   * any more.
   */
  void ended(
      double now,
      String id,
      int attempt,
      Outcome outcome,
      double took,
      boolean over,
      Report report);

  /** Nobody waits for this request any more; attempts still out are reported all the same. */
  void abandoned(double now, String id);

  /** News of the worker list: all of it, or the changed entries only. */
  void members(double now, News news, List<Worker> workers);

  /** The worker list could not be had, or the subscription to it has broken. */
  void listFailed(double now);

  /** The result of a health check, for a module that asks for any. */
  default void checked(double now, long worker, Outcome outcome, double took, Report report) {}

  /** A message from another dispatcher. */
  void heard(double now, int from, byte[] message);

  /** A timer asked for by {@link Actions#timer} has run out. */
  void timer(double now, long token);

  /**
   * Listed workers that take no jobs now by the module's own choice, say ejected after failures; 0
   * if none.
   */
  default int excluded(double now) {
    return 0;
  }

  /** What the module may ask of its host; carried out at once, in the order of the calls. */
  interface Actions {
    /**
     * Sends an attempt (numbered 0, 1, 2 ... for each request), given up after {@code timeout} ms.
     */
    void send(String id, long worker, double timeout);

    /**
     * Final answer: refused, a retry is harmless; {@code retryAfter} ms is the wait asked for, 0
     * for none.
     */
    void refuse(String id, double retryAfter);

    /** Final answer: failed, which promises nothing about the effect. */
    void fail(String id);

    /** Stops waiting for an attempt; whether the work stops is the worker's matter. */
    void cancel(String id, int attempt);

    /** Checks a worker's health. */
    void check(long worker);

    /** Sends at most 256 bytes to another dispatcher. */
    void tell(int peer, byte[] message);

    /** Asks for {@link Dispatcher#timer} after this many ms. */
    void timer(double after, long token);

    /** Subscribes to changes of the worker list. */
    void watch();

    /** Writes one line to the operators' log. */
    void log(String line);
  }

  /**
   * How an attempt ended; the constant says whether that proves that the job never ran. UNUSABLE:
   * the worker says that the request itself is at fault, so that it would fare no better elsewhere.
   */
  enum Outcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NEVER_SENT(true),
    UNUSABLE(false);

    /** True if an attempt that ended so is known not to have run. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /**
   * How often a request may run: SAFE any number, KEYED repeats are dropped by a group of workers,
   * UNSAFE once.
   */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** The workers that drop each other's repeats of a keyed request. */
  enum Scope {
    ALL,
    ZONE,
    CELL
  }

  /** What the list says of a worker. */
  enum State {
    READY,
    DRAINING,
    GONE
  }

  /**
   * CHANGES: changed entries only; WHOLE: the complete list; STORED: the complete list kept over a
   * restart.
   */
  enum News {
    CHANGES,
    WHOLE,
    STORED
  }

  /**
   * One entry of the worker list; {@code startedAt} is 0 if long ago, {@code cell} the group that
   * shares keys.
   */
  record Worker(
      long id, State state, int zone, int kind, int cell, double startedAt, double weight) {}

  /**
   * A client's request: {@code due} is the time at which the client gives up, {@code work} the
   * expected ms on a standard core (0 if unknown), {@code slots} and {@code memory} what the job
   * holds while it runs, {@code object} the mark of what a worker must have at hand for it, 0 for
   * nothing.
   */
  record Job(
      String id,
      int jobClass,
      int tenant,
      double due,
      double work,
      double slots,
      double memory,
      long object) {
    public Job {
      Check.that(id != null && !id.isEmpty(), "Job.id", id);
      Check.that(jobClass >= 0, "Job.jobClass", jobClass);
      Check.that(tenant >= 0, "Job.tenant", tenant);
      Check.that(!Double.isNaN(due), "Job.due", due);
      Check.that(work >= 0, "Job.work", work);
      Check.that(slots >= 0, "Job.slots", slots);
      Check.that(memory >= 0, "Job.memory", memory);
    }
  }

  /**
   * A worker's load report, NaN where a value is not reported: {@code queued} requests wait, {@code
   * held} wait or run, from all dispatchers.
   */
  record Report(double freeSlots, double freeMemory, double queued, double held) {
    /** No report came with the event. */
    public static final Report NONE = new Report(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** No worker is so large; a figure beyond it, or below 0, is none. */
    private static final double MOST = 1e6;

    public Report {
      freeSlots = figure(freeSlots);
      freeMemory = figure(freeMemory);
      queued = figure(queued);
      held = figure(held);
    }

    private static double figure(double told) {
      return told >= 0 && told <= MOST ? told : Double.NaN;
    }
  }

  /**
   * A class of jobs: an answer is in time within {@code aim} ms plus {@code stretch} times its own
   * work.
   */
  record JobClass(
      String name,
      Effect effect,
      Scope scope,
      double window,
      double aim,
      double stretch,
      double deadline,
      double worth,
      double lateWorth,
      int kind,
      int priority) {
    public JobClass {
      Check.that(effect != null, "JobClass.effect", effect);
      Check.that(scope != null, "JobClass.scope", scope);
      Check.that(window >= 0, "JobClass.window", window);
      Check.that(aim > 0, "JobClass.aim", aim);
      Check.that(stretch >= 0, "JobClass.stretch", stretch);
      Check.that(deadline > 0, "JobClass.deadline", deadline);
      Check.that(kind >= -1, "JobClass.kind", kind);
    }
  }

  /**
   * A tenant: its share of the service, and the requests a second, over all dispatchers, inside
   * that share.
   */
  record Tenant(String name, double share, double allowance) {
    public Tenant {
      Check.that(share >= 0, "Tenant.share", share);
      Check.that(allowance >= 0, "Tenant.allowance", allowance);
    }
  }

  /**
   * What the deployment permits; {@code retryAfterMax} is the longest wait that clients honour, 0
   * for none.
   */
  record Limits(
      int tries,
      boolean secondCopies,
      boolean cancel,
      boolean checks,
      boolean peers,
      double retryAfterMax) {
    public Limits {
      Check.that(tries >= 1, "Limits.tries", tries);
      Check.that(retryAfterMax >= 0, "Limits.retryAfterMax", retryAfterMax);
    }
  }

  /**
   * The rules for fresh workers: one starts with {@code startCapacity} of its capacity, is warm
   * after {@code coldMs}, and falls over when sent more than {@code fallMultiple} times its present
   * capacity for {@code tipMs}.
   */
  record ColdRule(double startCapacity, double coldMs, double fallMultiple, double tipMs) {
    public ColdRule {
      Check.that(startCapacity >= 0 && startCapacity <= 1, "ColdRule.startCapacity", startCapacity);
      Check.that(coldMs >= 0, "ColdRule.coldMs", coldMs);
      Check.that(fallMultiple > 0, "ColdRule.fallMultiple", fallMultiple);
      Check.that(tipMs > 0, "ColdRule.tipMs", tipMs);
    }
  }

  /**
   * What weighs how much in the judgement of a deployment: the worth served over all, and the share
   * of the worst class; 0 each where that is not told.
   */
  record Goal(double whole, double worstClass) {
    public Goal {
      Check.that(whole >= 0, "Goal.whole", whole);
      Check.that(worstClass >= 0, "Goal.worstClass", worstClass);
    }
  }

  /**
   * What a dispatcher is told at its start: its number among the {@code dispatchers}, its own zone,
   * the time between batches of events, the classes and tenants, and what the deployment permits.
   * {@code asks}: the worker list comes only to those that {@link Actions#watch watch} it. {@code
   * tellsStart}: workers report the start of each job. {@code liveWeights}: the list's weights are
   * the workers' sizes, each divided by 1 + the jobs that it holds for each core. {@code
   * crossCharge}: the share of a request's worth that crossing zones costs; {@code goal}: what the
   * deployment is judged by.
   */
  record Settings(
      int me,
      int dispatchers,
      int zone,
      double roundMs,
      List<JobClass> classes,
      List<Tenant> tenants,
      Limits limits,
      ColdRule cold,
      boolean asks,
      boolean tellsStart,
      boolean liveWeights,
      double crossCharge,
      Goal goal) {
    public Settings {
      Check.that(dispatchers >= 1, "Settings.dispatchers", dispatchers);
      Check.that(me >= 0 && me < dispatchers, "Settings.me", me);
      Check.that(zone >= 0, "Settings.zone", zone);
      Check.that(roundMs >= 0, "Settings.roundMs", roundMs);
      Check.that(classes != null && !classes.isEmpty(), "Settings.classes", classes);
      Check.that(tenants != null, "Settings.tenants", tenants);
      Check.that(limits != null, "Settings.limits", limits);
      Check.that(cold != null, "Settings.cold", cold);
      Check.that(crossCharge >= 0, "Settings.crossCharge", crossCharge);
      Check.that(goal != null, "Settings.goal", goal);
      classes = List.copyOf(classes);
      tenants = List.copyOf(tenants);
    }
  }

  /** Says plainly which field is wrong. */
  final class Check {
    private Check() {}

    static void that(boolean holds, String field, Object value) {
      if (!holds) {
        throw new IllegalArgumentException(field + " is out of range: " + value);
      }
    }
  }
}
