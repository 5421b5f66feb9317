package ferngrade.emulator;

import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.IdempotencyScope;
import ferngrade.emulator.Request.Answer;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/**
 * All clients: an open loop of arrivals that waits for nothing, and what each client does with its
 * answer. A latency counts from the time at which a try was due, so that a service that stalls
 * cannot hide what piled up meanwhile.
 */
public final class Clients {
  /** How long past its deadline an answer still counts, ms. */
  public static final double ANSWER_SLACK = 66;

  /** The longest step over which a rate that moves is taken as constant, ms. */
  private static final double STEP = 20;

  private final Scenario scenario;
  private final WorkloadSpec spec;
  private final Scheduler time;
  private final Observer observer;
  private final Carrier carrier;
  private final UniformRandomProvider arrivals;
  private final UniformRandomProvider jobs;
  private final UniformRandomProvider habits;
  private final DiscreteSampler objects;
  private final double start;
  private final double rate;
  private final double[] classShares;
  private final List<Draw.Spread> works;
  private final List<Draw.Spread> hints;
  private final double[] usages;
  private final double[] boosts;
  private final double[] zones;
  private final double[] surges;
  private final double[] allowances;
  private final double[] spent;
  private int waiting;
  private final long idBase;
  private double boost = 1;
  private double second = Double.NEGATIVE_INFINITY;
  private boolean high;
  private double switchAt;
  private int traced;
  private long numbers;

  /** Takes requests to the nodes, and the word that a client has left. */
  public interface Carrier {
    /** Sends a try on its way; its answer comes by {@link Clients#answer}. */
    void submit(Request request);

    /** The client closes its connection. */
    void leave(Request request);
  }

  /** All clients of a scenario, whose tries {@code carrier} takes to the nodes. */
  public Clients(
      Scenario scenario, Scheduler time, Streams streams, Observer observer, Carrier carrier) {
    this.scenario = scenario;
    this.spec = scenario.workload;
    this.time = time;
    this.observer = observer;
    this.carrier = carrier;
    this.arrivals = streams.stream("arrivals");
    this.jobs = streams.stream("jobs");
    this.habits = streams.stream("habits");
    this.objects =
        spec.objects == 0
            ? null
            : RejectionInversionZipfSampler.of(
                streams.stream("objects"), spec.objects, spec.objectSkew);
    this.start = time.now();
    this.rate = scenario.rate();
    this.classShares = spec.classes.stream().mapToDouble(each -> each.share).toArray();
    this.works = spec.classes.stream().map(each -> Draw.Spread.of(each.workSpread)).toList();
    this.hints = spec.classes.stream().map(each -> Draw.Spread.of(each.hintNoise)).toList();
    this.usages = spec.tenants.stream().mapToDouble(each -> each.usage).toArray();
    this.boosts = new double[usages.length];
    Arrays.fill(boosts, 1);
    this.zones = new double[scenario.zones.size()];
    Arrays.fill(zones, 1);
    this.surges = zones.clone();
    this.allowances = scenario.allowances();
    this.spent = new double[usages.length];
    this.idBase = streams.seed("ids") & 0xffffff;
  }

  /** Lets the arrivals begin. */
  public void begin() {
    if (spec.trace.isEmpty()) {
      draw();
    } else {
      follow();
    }
  }

  /** All arrivals times so much. */
  void boost(double times) {
    boost *= times;
  }

  /** One tenant's arrivals times so much. */
  void boost(int tenant, double times) {
    boosts[tenant] *= times;
  }

  /** One zone's arrivals times so much. */
  void surge(int zone, double times) {
    surges[zone] *= times;
  }

  /** Tries whose client still waits. */
  public int open() {
    return waiting;
  }

  // ---- Arrivals ----

  private void draw() {
    double passed = time.now() - start;
    if (passed >= scenario.duration) {
      return;
    }
    double next = Draw.exponential(arrivals, 1000 / Math.max(1e-9, present(passed)));
    if (next > STEP) {
      // Arrivals have no memory: where the rate may have moved meanwhile the wait is drawn anew.
      time.after(STEP, this::draw);
    } else {
      time.after(
          next,
          () -> {
            arrive();
            draw();
          });
    }
  }

  private double present(double passed) {
    double tenants = 0;
    double usage = 0;
    for (int i = 0; i < usages.length; i++) {
      tenants += usages[i] * boosts[i];
      usage += usages[i];
    }
    double shape =
        switch (spec.shape) {
          case STEADY -> 1;
          case WAVE -> 1 + spec.swing * Math.sin(2 * Math.PI * passed / spec.period);
          case BURSTY -> bursty(passed);
        };
    return rate
        * boost
        * shape
        * (usage == 0 ? 1 : tenants / usage)
        * Arrays.stream(surges).average().orElse(1);
  }

  private double bursty(double passed) {
    while (passed >= switchAt) {
      high = !high;
      switchAt += Draw.exponential(arrivals, spec.period / 2);
    }
    return high ? 1 + spec.swing : 1 - spec.swing;
  }

  private void arrive() {
    int jobClass = pick(classShares, null);
    ClassSpec each = spec.classes.get(jobClass);
    create(
        jobClass,
        usages.length == 0 ? 0 : pick(usages, boosts),
        each.work * works.get(jobClass).draw(jobs));
  }

  private void follow() {
    if (traced < spec.trace.size()) {
      WorkloadSpec.Arrival next = spec.trace.get(traced++);
      time.after(
          start + next.at() - time.now(),
          () -> {
            create(next.jobClass(), next.tenant(), next.work());
            follow();
          });
    }
  }

  private int pick(double[] shares, double[] times) {
    double sum = 0;
    for (int i = 0; i < shares.length; i++) {
      sum += shares[i] * (times == null ? 1 : times[i]);
    }
    double at = jobs.nextDouble() * sum;
    int picked = 0;
    while (picked < shares.length - 1) {
      at -= shares[picked] * (times == null ? 1 : times[picked]);
      if (at < 0) {
        break;
      }
      picked++;
    }
    return picked;
  }

  private void create(int jobClass, int tenant, double work) {
    ClassSpec each = spec.classes.get(jobClass);
    double now = time.now();
    if (now - second >= 1000) {
      second = now;
      Arrays.fill(spent, 0);
    }
    boolean within = allowances.length == 0 || ++spent[tenant] <= Math.max(1, allowances[tenant]);
    double worth = each.worth * work * (within ? 1 : spec.overShareWorth);
    String key =
        each.effect == Idempotency.KEYED ? "k" + Long.toHexString(idBase << 32 | numbers) : null;
    Request request =
        new Request(
            id(),
            jobClass,
            tenant,
            pick(zones, surges),
            work,
            work * hints.get(jobClass).draw(jobs),
            key,
            now,
            now + each.deadline,
            worth,
            objects == null ? 0 : objects.sample(),
            null);
    submit(request);
  }

  private String id() {
    return "r" + Long.toHexString(idBase << 32 | numbers++);
  }

  private void submit(Request request) {
    double now = time.now();
    observer.due(now, request);
    boolean leaves = habits.nextDouble() < spec.impatient;
    double wait =
        leaves
            ? habits.nextDouble() * (request.deadline - now)
            : request.deadline + ANSWER_SLACK - now;
    request.patience = time.after(wait, () -> leave(request, leaves));
    waiting++;
    carrier.submit(request);
  }

  private void leave(Request request, boolean early) {
    waiting--;
    request.over = true;
    observer.ended(time.now(), request, Answer.LEFT);
    carrier.leave(request);
    if (early && repeatable(request)) {
      retry(request, 0);
    }
  }

  // ---- Answers ----

  /**
   * An answer has reached its client; {@code retryAfter} ms is the wait that it asks for, 0 for
   * none.
   */
  public void answer(Request request, Answer answer, double retryAfter) {
    double now = time.now();
    if (request.over) {
      observer.stray(now, request, answer);
      return;
    }
    waiting--;
    request.patience.cancel();
    request.over = true;
    observer.ended(now, request, answer);
    boolean harmless = answer == Answer.REFUSED || answer == Answer.UNREACHED;
    boolean bad = answer == Answer.FAILED || answer == Answer.BROKEN;
    if (harmless || (bad && repeatable(request))) {
      retry(request, retryAfter);
    }
  }

  /** True if a client may ask again although the first may have run. */
  private boolean repeatable(Request request) {
    ClassSpec each = spec.classes.get(request.jobClass);
    boolean keyed = each.effect == Idempotency.KEYED && each.scope == IdempotencyScope.ALL;
    return each.effect == Idempotency.SAFE
        || (keyed && time.now() < request.first.due + each.window);
  }

  private void retry(Request last, double retryAfter) {
    if (last.tries >= spec.retries) {
      return;
    }
    double backoff =
        spec.backoff
            * (spec.exponential ? Math.scalb(1, last.tries) : 1)
            * (0.5 + habits.nextDouble());
    double wait = retryAfter > 0 && habits.nextDouble() < spec.honour ? retryAfter : backoff;
    if (time.now() + wait >= last.first.deadline) {
      return;
    }
    time.after(
        wait,
        () -> {
          submit(
              new Request(
                  id(),
                  last.jobClass,
                  last.tenant,
                  last.zone,
                  last.work,
                  last.hint,
                  last.key,
                  time.now(),
                  last.first.deadline,
                  last.worth,
                  last.object,
                  last.first));
        });
  }
}
