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
 * A worker's machine and its process: slots, cores that the jobs in slots share evenly, a bounded
 * queue, a cold start that warms evenly, and what becomes of it when it is pushed while cold.
 *
 * <p>All jobs in slots advance at one rate, so the model keeps one figure, the work that each of
 * them has been served since the beginning, and the figure at which each ends; a change of rate
 * moves the next end and nothing else. That is processor sharing in the form of a virtual clock
 * (Zhang, 1990).
 */
public final class WorkerModel {
  private final Scheduler time;
  private final KindSpec kind;
  private final UniformRandomProvider chance;
  private final double speed;
  private final List<Task> running = new ArrayList<>();
  private final List<Task> waiting = new ArrayList<>();
  private final Deque<Push> pushes = new ArrayDeque<>();
  private final Set<Long> objects = new LinkedHashSet<>();
  private final double fallMultiple;
  private final double tipMs;
  private final DoubleConsumer whenFallen;
  private double startedAt;
  private double served;
  private double settledAt;
  private double pushed;
  private double pushedInformed;
  private int slotsTaken;
  private double slowness = 1;
  private boolean hung;
  private boolean still;
  private boolean draining;
  private boolean up = true;
  private Scheduler.Handle next;
  private Scheduler.Handle pausing;
  private double reportedAt = Double.NEGATIVE_INFINITY;
  private LoadReport report = LoadReport.NONE;

  /** Hears what becomes of one job; the last call is the job's end. */
  public interface Ear {
    /** The work has begun. */
    void started();

    /** This share of it is done. */
    void progress(double share);

    /** It is done. */
    void done();

    /** It ended in an error. */
    void failed();

    /** It is handed back unstarted. */
    void returned();

    /** The process died. */
    void lost();
  }

  /**
   * What the process is to do: {@code fetch} more work if it has not got the {@code object}, 0 for
   * none.
   */
  public record Work(
      String id, double amount, int slots, int priority, long object, double fetch) {}

  private record Push(double at, double work, boolean informed) {}

  private final class Task {
    final Work work;
    final Ear ear;
    double startedAtServed;
    double endsAtServed;
    boolean ended;

    Task(Work work, Ear ear) {
      this.work = work;
      this.ear = ear;
    }

    void reportProgress() {
      if (!ended && up) {
        if (!hung && !still) {
          settle();
          ear.progress(Math.min(1, (served - startedAtServed) / (endsAtServed - startedAtServed)));
        }
        time.after(kind.progressMs, this::reportProgress);
      }
    }
  }

  /**
   * A worker that started at {@code startedAt}, 0 for long ago. {@code whenFallen} hears of its
   * fall with the share of the pressure that came from nodes that knew of its start.
   */
  public WorkerModel(
      Scheduler time,
      KindSpec kind,
      double startedAt,
      double fallMultiple,
      double tipMs,
      UniformRandomProvider chance,
      DoubleConsumer whenFallen) {
    this.time = time;
    this.kind = kind;
    this.chance = chance;
    this.startedAt = startedAt;
    this.fallMultiple = fallMultiple;
    this.tipMs = tipMs;
    this.whenFallen = whenFallen;
    this.speed = kind.speed * Draw.Spread.of(kind.speedSpread).draw(chance);
    this.settledAt = time.now();
    if (kind.pauseMs > 0) {
      pausing = time.after(Draw.exponential(chance, kind.pauseEvery), this::pause);
    }
  }

  // ---- What comes in ----

  /**
   * Offers a job; false is the answer 'full'. {@code informed}: the sender knew when the process
   * started.
   */
  public boolean offer(Work work, boolean informed, Ear ear) {
    if (!up) {
      throw new IllegalStateException("a process that is down hears nothing");
    }
    push(work.amount() * work.slots(), informed);
    if (!up || draining || work.slots() > kind.slots()) {
      return false;
    }
    boolean fits = slotsTaken + work.slots() <= kind.slots();
    boolean first = waiting.isEmpty() || kind.order == KindSpec.Order.BACKFILL;
    if (!(fits && first) && waiting.size() >= kind.queue()) {
      return false;
    }
    settle();
    waiting.add(new Task(work, ear));
    fill();
    return true;
  }

  /** A cancel: drops a waiting job where the kind does so; work that runs goes on. */
  public void cancel(String id) {
    if (up && kind.cancelDropsWaiting && waiting.removeIf(task -> task.work.id().equals(id))) {
      settle();
      fill();
    }
  }

  /** Adds work that has no job, such as a handshake: it delays all that runs. */
  public void burden(double work) {
    if (up && !running.isEmpty()) {
      settle();
      served -= Math.min(work / Math.max(1, Math.min(kind.cores, slotsTaken)), 50);
      schedule();
    }
  }

  /** From here on it takes nothing new; it may hand back what has not started. */
  public void drain() {
    draining = true;
    if (kind.drainReturns && up) {
      settle();
      List<Task> back = new ArrayList<>(waiting);
      waiting.clear();
      back.forEach(task -> task.ear.returned());
      schedule();
    }
  }

  /** The process ends; {@code tell}: its machine's agent says so of each job. */
  public void kill(boolean tell) {
    if (!up) {
      return;
    }
    up = false;
    if (next != null) {
      next.cancel();
    }
    if (pausing != null) {
      pausing.cancel();
    }
    List<Task> all = new ArrayList<>(running);
    all.addAll(waiting);
    running.clear();
    waiting.clear();
    slotsTaken = 0;
    for (Task task : all) {
      task.ended = true;
      if (tell) {
        task.ear.lost();
      }
    }
  }

  /** The process starts anew, cold. */
  public void restart() {
    kill(false);
    up = true;
    draining = false;
    hung = false;
    still = false;
    slowness = 1;
    startedAt = time.now();
    settledAt = startedAt;
    pushes.clear();
    objects.clear();
    pushed = 0;
    pushedInformed = 0;
  }

  /** Runs so many times slower from here on. */
  public void slow(double times) {
    settle();
    slowness = times;
    schedule();
  }

  /** Takes jobs and does nothing with them, or goes on. */
  public void hang(boolean hangs) {
    settle();
    hung = hangs;
    schedule();
  }

  // ---- What can be seen ----

  public boolean up() {
    return up;
  }

  /** True while it takes what it is sent and does nothing with it. */
  public boolean hung() {
    return hung;
  }

  /** When the process started; 0 for long ago. */
  public double startedAt() {
    return startedAt;
  }

  /** True if its answers bring its report. */
  public boolean reportsWithAnswers() {
    return kind.reportsWithAnswers;
  }

  public int running() {
    return running.size();
  }

  public int waiting() {
    return waiting.size();
  }

  public int freeSlots() {
    return kind.slots() - slotsTaken;
  }

  /** Its load report, which is as old as its period lets it be, and noisy. */
  public LoadReport report() {
    double now = time.now();
    if (now - reportedAt >= kind.reportPeriod) {
      reportedAt = now;
      report =
          new LoadReport(
              noisy(freeSlots()),
              Double.NaN,
              noisy(waiting.size()),
              kind.reportsWithAnswers ? noisy(running.size() + waiting.size()) : Double.NaN);
    }
    return report;
  }

  private double noisy(double figure) {
    return figure * (1 + kind.reportNoise * (2 * chance.nextDouble() - 1));
  }

  public boolean cold() {
    return startedAt > 0 && time.now() - startedAt < kind.coldMs;
  }

  /** The ms of work on a standard core that it can do in a ms at present. */
  public double capacity() {
    return kind.cores * speed * warmth(time.now()) / slowness;
  }

  /**
   * When a job of this work would be done if it came now, ms from now, as nobody outside can know.
   */
  public double finishIn(double work) {
    if (!up || hung || draining) {
      return Double.POSITIVE_INFINITY;
    }
    settle();
    double ahead = 0;
    for (Task task : running) {
      ahead += (task.endsAtServed - served) * task.work.slots();
    }
    for (Task task : waiting) {
      ahead += task.work.amount() * task.work.slots();
    }
    double own = work / (speed * warmth(time.now()) / slowness);
    boolean full = slotsTaken >= kind.slots();
    return own
        + (full ? ahead / capacity() / Math.max(1, running.size()) * (1 + waiting.size()) : 0);
  }

  // ---- How it works ----

  private void fill() {
    Iterator<Task> queue = inOrder().iterator();
    while (queue.hasNext()) {
      Task task = queue.next();
      if (slotsTaken + task.work.slots() <= kind.slots()) {
        waiting.remove(task);
        start(task);
      } else if (kind.order != KindSpec.Order.BACKFILL) {
        break;
      }
    }
    schedule();
  }

  private List<Task> inOrder() {
    if (waiting.isEmpty()) {
      return List.of();
    }
    List<Task> order = new ArrayList<>(waiting);
    if (kind.order == KindSpec.Order.PRIORITY) {
      order.sort((a, b) -> Integer.compare(b.work.priority(), a.work.priority()));
    }
    return order;
  }

  private void start(Task task) {
    running.add(task);
    slotsTaken += task.work.slots();
    task.startedAtServed = served;
    task.endsAtServed =
        served + task.work.amount() + (has(task.work.object()) ? 0 : task.work.fetch());
    if (!hung) {
      task.ear.started();
      if (kind.progressMs > 0) {
        time.after(kind.progressMs, task::reportProgress);
      }
    }
  }

  /**
   * True if the object is at hand, as it is from here on in place of the one not used for longest.
   */
  private boolean has(long object) {
    if (object == 0) {
      return true;
    }
    boolean had = objects.remove(object);
    objects.add(object);
    if (objects.size() > kind.kept()) {
      objects.remove(objects.iterator().next());
    }
    return had;
  }

  /** Brings the work served up to the present. */
  private void settle() {
    double now = time.now();
    if (now > settledAt) {
      served += rate() * (warmed(now) - warmed(settledAt));
      settledAt = now;
    }
  }

  /** Work that each job in a slot is served in a ms, for a warm process. */
  private double rate() {
    if (running.isEmpty() || hung || still) {
      return 0;
    }
    double held = slotsTaken + waiting.size();
    double excess = Math.max(0, held / kind.cores - kind.thrashAt);
    double efficiency = 1 / (1 + kind.thrash * excess);
    return speed / slowness * Math.min(1, kind.cores / slotsTaken) * efficiency;
  }

  private double warmth(double at) {
    double age = at - startedAt;
    boolean warm = startedAt <= 0 || age >= kind.coldMs;
    return warm ? 1 : kind.coldStart + (1 - kind.coldStart) * age / kind.coldMs;
  }

  /** The integral of the warmth since the start, up to {@code at}. */
  private double warmed(double at) {
    if (startedAt <= 0) {
      return at;
    }
    double age = at - startedAt;
    double cold = Math.min(age, kind.coldMs);
    return kind.coldStart * cold
        + (1 - kind.coldStart) * cold * cold / (2 * kind.coldMs)
        + Math.max(0, age - kind.coldMs);
  }

  /**
   * The time at which the integral of the warmth has grown by {@code gain} from now on: its
   * inverse.
   */
  private double timeFor(double gain) {
    double now = time.now();
    if (startedAt <= 0 || now - startedAt >= kind.coldMs) {
      return gain;
    }
    double target = warmed(now) + gain;
    double whenWarm = warmed(startedAt + kind.coldMs);
    double age;
    if (target >= whenWarm) {
      age = kind.coldMs + target - whenWarm;
    } else {
      double a = (1 - kind.coldStart) / (2 * kind.coldMs);
      double b = kind.coldStart;
      age = a == 0 ? target / b : (Math.sqrt(b * b + 4 * a * target) - b) / (2 * a);
    }
    return startedAt + age - now;
  }

  private void schedule() {
    if (next != null) {
      next.cancel();
      next = null;
    }
    double rate = rate();
    if (rate > 0) {
      double first = Double.POSITIVE_INFINITY;
      for (Task task : running) {
        first = Math.min(first, task.endsAtServed);
      }
      next = time.after(timeFor(Math.max(0, first - served) / rate), this::finish);
    }
  }

  private void finish() {
    settle();
    Task first = null;
    for (Task task : running) {
      if (first == null || task.endsAtServed < first.endsAtServed) {
        first = task;
      }
    }
    if (first == null) {
      return;
    }
    // The event was put off for this one; what is left of it is the rounding of doubles.
    served = Math.max(served, first.endsAtServed);
    running.remove(first);
    slotsTaken -= first.work.slots();
    first.ended = true;
    if (chance.nextDouble() < kind.errorRate) {
      first.ear.failed();
    } else {
      first.ear.done();
    }
    fill();
  }

  private void pause() {
    settle();
    still = true;
    schedule();
    pausing =
        time.after(
            kind.pauseMs,
            () -> {
              settle();
              still = false;
              schedule();
              pausing = time.after(Draw.exponential(chance, kind.pauseEvery), this::pause);
            });
  }

  /** Work that reaches a cold process adds pressure, also work that it turns away. */
  private void push(double work, boolean informed) {
    if (!cold()) {
      return;
    }
    double now = time.now();
    pushes.add(new Push(now, work, informed));
    pushed += work;
    pushedInformed += informed ? work : 0;
    while (pushes.peek().at() <= now - tipMs) {
      Push old = pushes.poll();
      pushed -= old.work();
      pushedInformed -= old.informed() ? old.work() : 0;
    }
    if (pushed > fallMultiple * capacity() * tipMs) {
      double share = pushedInformed / pushed;
      kill(true);
      whenFallen.accept(share);
    }
  }

  /** An ear that hands the one end of a keyed job on to its window. */
  static Ear ending(Ear ear, Consumer<KeyWindows.End> end) {
    return new Ear() {
      @Override
      public void started() {
        ear.started();
      }

      @Override
      public void progress(double share) {
        ear.progress(share);
      }

      @Override
      public void done() {
        ear.done();
        end.accept(KeyWindows.End.DONE);
      }

      @Override
      public void failed() {
        ear.failed();
        end.accept(KeyWindows.End.FAILED);
      }

      @Override
      public void returned() {
        ear.returned();
        end.accept(KeyWindows.End.RETURNED);
      }

      @Override
      public void lost() {
        ear.lost();
        end.accept(KeyWindows.End.LOST);
      }
    };
  }
}
