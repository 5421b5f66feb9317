package ferngrade.emulator;

import ferngrade.dispatch.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Models a worker's machine and process: slots, cores that are shared evenly among the jobs in
 * slots, a bounded queue, a cold start with a linear warm-up, and a crash from overload while cold.
 *
 * <p>All jobs in slots progress at the same rate. The model therefore keeps a single counter of the
 * work that each running job has received since the model was created, and for each job the counter
 * value at which it completes; a change of rate only moves the next completion. This is processor
 * sharing in the form of a virtual clock (Zhang, 1990).
 */
public final class WorkerModel {
  private final Scheduler time;
  private final WorkerTypeSpec spec;
  private final UniformRandomProvider random;
  private final double speed;
  private final List<Task> running = new ArrayList<>();
  private final List<Task> waiting = new ArrayList<>();
  private final Deque<ColdOffer> coldOffers = new ArrayDeque<>();
  private final Set<Long> cachedObjects = new LinkedHashSet<>();
  private final double overloadFactor;
  private final double overloadWindowMs;
  private final DoubleConsumer onOverload;
  private double startedAt;
  private double servedWork;
  private double advancedAt;
  private double offeredWork;
  private double informedOfferedWork;
  private int slotsInUse;
  private double slowdown = 1;
  private boolean hung;
  private boolean paused;
  private boolean draining;
  private boolean up = true;
  private Scheduler.Handle nextCompletion;
  private Scheduler.Handle nextPause;
  private double reportedAt = Double.NEGATIVE_INFINITY;
  private LoadReport report = LoadReport.NONE;

  /** Receives the progress of one job; the last call reports its outcome. */
  public interface JobListener {
    /** Called when the worker starts the job. */
    void started();

    /** Called with the share of the work that is done, from 0 to 1. */
    void progress(double share);

    /** Called when the job completes. */
    void done();

    /** Called when the job ends with an error. */
    void failed();

    /** Called when a draining worker returns the job without having started it. */
    void returned();

    /** Called when the worker's process ended before the job did. */
    void lost();
  }

  /**
   * A job as the worker receives it. {@code amount} is the work in ms on a standard core; {@code
   * fetch} is added to the amount if the worker has not cached {@code object}. {@code object} is 0
   * for a job without an object.
   */
  public record Work(
      String id, double amount, int slots, int priority, long object, double fetch) {}

  private record ColdOffer(double at, double work, boolean informed) {}

  private final class Task {
    final Work work;
    final JobListener listener;
    double servedWorkAtStart;
    double servedWorkAtEnd;
    boolean ended;

    Task(Work work, JobListener listener) {
      this.work = work;
      this.listener = listener;
    }

    void reportProgress() {
      if (!ended && up) {
        if (!hung && !paused) {
          advance();
          listener.progress(
              Math.min(
                  1, (servedWork - servedWorkAtStart) / (servedWorkAtEnd - servedWorkAtStart)));
        }
        time.after(spec.progressMs, this::reportProgress);
      }
    }
  }

  /**
   * Creates a worker whose process started at {@code startedAt}, 0 if it started long ago. {@code
   * onOverload} is called when the worker crashes from overload while cold, with the share of the
   * offered work that came from nodes that knew when the process started.
   */
  public WorkerModel(
      Scheduler time,
      WorkerTypeSpec spec,
      double startedAt,
      double overloadFactor,
      double overloadWindowMs,
      UniformRandomProvider random,
      DoubleConsumer onOverload) {
    this.time = time;
    this.spec = spec;
    this.random = random;
    this.startedAt = startedAt;
    this.overloadFactor = overloadFactor;
    this.overloadWindowMs = overloadWindowMs;
    this.onOverload = onOverload;
    this.speed = spec.speed * Draw.LognormalFactor.of(spec.speedSpread).draw(random);
    this.advancedAt = time.now();
    if (spec.pauseMs > 0) {
      nextPause = time.after(Draw.exponential(random, spec.pauseEvery), this::beginPause);
    }
  }

  // ---- Jobs and lifecycle ----

  /**
   * Offers a job to the worker. Returns false if the worker rejects it as full. {@code informed} is
   * true if the sending node knew when the process started.
   */
  public boolean offer(Work work, boolean informed, JobListener listener) {
    if (!up) {
      throw new IllegalStateException("a job was offered to a process that is down");
    }
    countColdOffer(work.amount() * work.slots(), informed);
    if (!up || draining || work.slots() > spec.slots()) {
      return false;
    }
    boolean fits = slotsInUse + work.slots() <= spec.slots();
    boolean maySkipQueue = waiting.isEmpty() || spec.order == WorkerTypeSpec.Order.BACKFILL;
    if (!(fits && maySkipQueue) && waiting.size() >= spec.queueCapacity()) {
      return false;
    }
    advance();
    waiting.add(new Task(work, listener));
    startWaitingJobs();
    return true;
  }

  /** Drops a waiting job if this type of worker supports it; a running job continues. */
  public void cancel(String id) {
    if (up && spec.cancelDropsWaiting && waiting.removeIf(task -> task.work.id().equals(id))) {
      advance();
      startWaitingJobs();
    }
  }

  /** Adds work that belongs to no job, for example a handshake; it delays all running jobs. */
  public void addOverhead(double work) {
    if (up && !running.isEmpty()) {
      advance();
      servedWork -= Math.min(work / Math.max(1, Math.min(spec.cores, slotsInUse)), 50);
      schedule();
    }
  }

  /** Rejects new jobs from now on and, if this type of worker does so, returns waiting jobs. */
  public void drain() {
    draining = true;
    if (spec.drainReturns && up) {
      advance();
      List<Task> returned = new ArrayList<>(waiting);
      waiting.clear();
      returned.forEach(task -> task.listener.returned());
      schedule();
    }
  }

  /**
   * Ends the process. With {@code notifyListeners}, the agent on its machine reports each job as
   * lost.
   */
  public void kill(boolean notifyListeners) {
    if (!up) {
      return;
    }
    up = false;
    if (nextCompletion != null) {
      nextCompletion.cancel();
    }
    if (nextPause != null) {
      nextPause.cancel();
    }
    List<Task> all = new ArrayList<>(running);
    all.addAll(waiting);
    running.clear();
    waiting.clear();
    slotsInUse = 0;
    for (Task task : all) {
      task.ended = true;
      if (notifyListeners) {
        task.listener.lost();
      }
    }
  }

  /** Restarts the process, which is cold again. */
  public void restart() {
    kill(false);
    up = true;
    draining = false;
    hung = false;
    paused = false;
    slowdown = 1;
    startedAt = time.now();
    advancedAt = startedAt;
    coldOffers.clear();
    cachedObjects.clear();
    offeredWork = 0;
    informedOfferedWork = 0;
  }

  /** Divides the worker's speed by {@code factor} from now on. */
  public void setSlowdown(double factor) {
    advance();
    slowdown = factor;
    schedule();
  }

  /** Hangs the worker, which then accepts jobs but does not execute them, or ends the hang. */
  public void setHung(boolean begins) {
    advance();
    hung = begins;
    schedule();
  }

  // ---- Observable state ----

  public boolean up() {
    return up;
  }

  /** Returns true while the worker accepts jobs but does not execute them. */
  public boolean hung() {
    return hung;
  }

  /** Returns the time at which the process started, in ms; 0 if it started long ago. */
  public double startedAt() {
    return startedAt;
  }

  /** Returns true if the callback that ends a job carries the worker's load report. */
  public boolean reportsWithAnswers() {
    return spec.reportsWithAnswers;
  }

  public int runningCount() {
    return running.size();
  }

  public int waitingCount() {
    return waiting.size();
  }

  public int freeSlots() {
    return spec.slots() - slotsInUse;
  }

  /** Returns the load report, which is up to one report period old and contains noise. */
  public LoadReport report() {
    double now = time.now();
    if (now - reportedAt >= spec.reportPeriod) {
      reportedAt = now;
      report =
          new LoadReport(
              noisy(freeSlots()),
              Double.NaN,
              noisy(waiting.size()),
              spec.reportsWithAnswers ? noisy(running.size() + waiting.size()) : Double.NaN);
    }
    return report;
  }

  private double noisy(double value) {
    return value * (1 + spec.reportNoise * (2 * random.nextDouble() - 1));
  }

  public boolean cold() {
    return startedAt > 0 && time.now() - startedAt < spec.coldMs;
  }

  /** Returns the current capacity, in ms of work on a standard core per ms. */
  public double capacity() {
    return spec.cores * speed * warmth(time.now()) / slowdown;
  }

  /**
   * Estimates from the true state, which no client can observe, how many ms a job with this work
   * would take if it arrived now; infinite if the worker would not complete it.
   */
  public double estimateCompletionTime(double work) {
    if (!up || hung || draining) {
      return Double.POSITIVE_INFINITY;
    }
    advance();
    double workAhead = 0;
    for (Task task : running) {
      workAhead += (task.servedWorkAtEnd - servedWork) * task.work.slots();
    }
    for (Task task : waiting) {
      workAhead += task.work.amount() * task.work.slots();
    }
    double ownTime = work / (speed * warmth(time.now()) / slowdown);
    boolean full = slotsInUse >= spec.slots();
    return ownTime
        + (full ? workAhead / capacity() / Math.max(1, running.size()) * (1 + waiting.size()) : 0);
  }

  // ---- Execution ----

  private void startWaitingJobs() {
    Iterator<Task> queue = queueInServiceOrder().iterator();
    while (queue.hasNext()) {
      Task task = queue.next();
      if (slotsInUse + task.work.slots() <= spec.slots()) {
        waiting.remove(task);
        start(task);
      } else if (spec.order != WorkerTypeSpec.Order.BACKFILL) {
        break;
      }
    }
    schedule();
  }

  private List<Task> queueInServiceOrder() {
    if (waiting.isEmpty()) {
      return List.of();
    }
    List<Task> order = new ArrayList<>(waiting);
    if (spec.order == WorkerTypeSpec.Order.PRIORITY) {
      order.sort((a, b) -> Integer.compare(b.work.priority(), a.work.priority()));
    }
    return order;
  }

  private void start(Task task) {
    running.add(task);
    slotsInUse += task.work.slots();
    task.servedWorkAtStart = servedWork;
    task.servedWorkAtEnd =
        servedWork + task.work.amount() + (cacheObject(task.work.object()) ? 0 : task.work.fetch());
    if (!hung) {
      task.listener.started();
      if (spec.progressMs > 0) {
        time.after(spec.progressMs, task::reportProgress);
      }
    }
  }

  /**
   * Returns true if the object was already cached. If it was not, adds it to the cache, and evicts
   * the least recently used object if the cache is full.
   */
  private boolean cacheObject(long object) {
    if (object == 0) {
      return true;
    }
    boolean wasCached = cachedObjects.remove(object);
    cachedObjects.add(object);
    if (cachedObjects.size() > spec.cachedObjects()) {
      cachedObjects.remove(cachedObjects.iterator().next());
    }
    return wasCached;
  }

  /** Advances the counter of received work to the current time. */
  private void advance() {
    double now = time.now();
    if (now > advancedAt) {
      servedWork += rate() * (cumulativeWarmth(now) - cumulativeWarmth(advancedAt));
      advancedAt = now;
    }
  }

  /** Returns the work that each running job of a warm process receives per ms. */
  private double rate() {
    if (running.isEmpty() || hung || paused) {
      return 0;
    }
    double jobsHeld = slotsInUse + waiting.size();
    double excess = Math.max(0, jobsHeld / spec.cores - spec.thrashAt);
    double efficiency = 1 / (1 + spec.thrash * excess);
    return speed / slowdown * Math.min(1, spec.cores / slotsInUse) * efficiency;
  }

  private double warmth(double at) {
    double age = at - startedAt;
    boolean warm = startedAt <= 0 || age >= spec.coldMs;
    return warm ? 1 : spec.coldStart + (1 - spec.coldStart) * age / spec.coldMs;
  }

  /** Returns the integral of the warmth from the start of the process up to {@code at}. */
  private double cumulativeWarmth(double at) {
    if (startedAt <= 0) {
      return at;
    }
    double age = at - startedAt;
    double cold = Math.min(age, spec.coldMs);
    return spec.coldStart * cold
        + (1 - spec.coldStart) * cold * cold / (2 * spec.coldMs)
        + Math.max(0, age - spec.coldMs);
  }

  /**
   * Returns the ms from now until the integral of the warmth has grown by {@code gain}. This
   * inverts {@link #cumulativeWarmth}.
   */
  private double timeUntilWarmthGain(double gain) {
    double now = time.now();
    if (startedAt <= 0 || now - startedAt >= spec.coldMs) {
      return gain;
    }
    double target = cumulativeWarmth(now) + gain;
    double cumulativeWhenWarm = cumulativeWarmth(startedAt + spec.coldMs);
    double age;
    if (target >= cumulativeWhenWarm) {
      age = spec.coldMs + target - cumulativeWhenWarm;
    } else {
      double a = (1 - spec.coldStart) / (2 * spec.coldMs);
      double b = spec.coldStart;
      age = a == 0 ? target / b : (Math.sqrt(b * b + 4 * a * target) - b) / (2 * a);
    }
    return startedAt + age - now;
  }

  private void schedule() {
    if (nextCompletion != null) {
      nextCompletion.cancel();
      nextCompletion = null;
    }
    double rate = rate();
    if (rate > 0) {
      double nextEnd = Double.POSITIVE_INFINITY;
      for (Task task : running) {
        nextEnd = Math.min(nextEnd, task.servedWorkAtEnd);
      }
      nextCompletion =
          time.after(
              timeUntilWarmthGain(Math.max(0, nextEnd - servedWork) / rate), this::finishNextJob);
    }
  }

  private void finishNextJob() {
    advance();
    Task first = null;
    for (Task task : running) {
      if (first == null || task.servedWorkAtEnd < first.servedWorkAtEnd) {
        first = task;
      }
    }
    if (first == null) {
      return;
    }
    // The event was scheduled for the completion of this job, so any remaining work is a rounding
    // error.
    servedWork = Math.max(servedWork, first.servedWorkAtEnd);
    running.remove(first);
    slotsInUse -= first.work.slots();
    first.ended = true;
    if (random.nextDouble() < spec.errorRate) {
      first.listener.failed();
    } else {
      first.listener.done();
    }
    startWaitingJobs();
  }

  private void beginPause() {
    advance();
    paused = true;
    schedule();
    nextPause =
        time.after(
            spec.pauseMs,
            () -> {
              advance();
              paused = false;
              schedule();
              nextPause = time.after(Draw.exponential(random, spec.pauseEvery), this::beginPause);
            });
  }

  /**
   * Counts the work offered to a cold process within the last {@code overloadWindowMs}, including
   * rejected work, and crashes the process if it exceeds {@code overloadFactor} times the current
   * capacity.
   */
  private void countColdOffer(double work, boolean informed) {
    if (!cold()) {
      return;
    }
    double now = time.now();
    coldOffers.add(new ColdOffer(now, work, informed));
    offeredWork += work;
    informedOfferedWork += informed ? work : 0;
    while (coldOffers.peek().at() <= now - overloadWindowMs) {
      ColdOffer expired = coldOffers.poll();
      offeredWork -= expired.work();
      informedOfferedWork -= expired.informed() ? expired.work() : 0;
    }
    if (offeredWork > overloadFactor * capacity() * overloadWindowMs) {
      double informedShare = informedOfferedWork / offeredWork;
      kill(true);
      onOverload.accept(informedShare);
    }
  }

  /** Wraps a listener so that the end of a keyed job is also passed to {@code onOutcome}. */
  static JobListener notifyingOutcome(
      JobListener listener, Consumer<KeyWindows.Outcome> onOutcome) {
    return new JobListener() {
      @Override
      public void started() {
        listener.started();
      }

      @Override
      public void progress(double share) {
        listener.progress(share);
      }

      @Override
      public void done() {
        listener.done();
        onOutcome.accept(KeyWindows.Outcome.DONE);
      }

      @Override
      public void failed() {
        listener.failed();
        onOutcome.accept(KeyWindows.Outcome.FAILED);
      }

      @Override
      public void returned() {
        listener.returned();
        onOutcome.accept(KeyWindows.Outcome.RETURNED);
      }

      @Override
      public void lost() {
        listener.lost();
        onOutcome.accept(KeyWindows.Outcome.LOST);
      }
    };
  }
}
