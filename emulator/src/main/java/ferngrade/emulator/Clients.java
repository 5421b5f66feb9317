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
 * Simulates all clients: an open-loop arrival process that never waits for answers, and the
 * reaction of each client to its answer. Latency is measured from the time at which a request was
 * due, so that a stalled service cannot hide the requests that queued up meanwhile.
 */
public final class Clients {
  /** The time after its deadline during which an answer still counts, in ms. */
  public static final double ANSWER_SLACK_MILLIS = 66;

  /** The longest step over which a varying rate is treated as constant, in ms. */
  private static final double MAX_RATE_STEP_MILLIS = 20;

  private final Scenario scenario;
  private final WorkloadSpec spec;
  private final Scheduler time;
  private final Observer observer;
  private final Transport transport;
  private final UniformRandomProvider arrivals;
  private final UniformRandomProvider jobs;
  private final UniformRandomProvider behavior;
  private final DiscreteSampler objects;
  private final double startedAt;
  private final double rate;
  private final double[] classShares;
  private final List<Draw.LognormalFactor> workSpreads;
  private final List<Draw.LognormalFactor> hintSpreads;
  private final double[] usages;
  private final double[] tenantFactors;
  private final double[] zoneShares;
  private final double[] zoneFactors;
  private final double[] allowances;
  private final double[] spentAllowances;
  private int openRequests;
  private final long idBase;
  private double rateFactor = 1;
  private double allowancePeriodStart = Double.NEGATIVE_INFINITY;
  private boolean inBurst;
  private double nextSwitchAt;
  private int nextTraceIndex;
  private long requestCount;

  /** Carries requests from clients to nodes. */
  public interface Transport {
    /** Sends a request; its answer is delivered to {@link Clients#answer}. */
    void submit(Request request);

    /** Closes the client's connection. */
    void disconnect(Request request);
  }

  /** Creates the clients of a scenario, whose requests are sent through {@code transport}. */
  public Clients(
      Scenario scenario,
      Scheduler time,
      RandomStreams streams,
      Observer observer,
      Transport transport) {
    this.scenario = scenario;
    this.spec = scenario.workload;
    this.time = time;
    this.observer = observer;
    this.transport = transport;
    this.arrivals = streams.stream("arrivals");
    this.jobs = streams.stream("jobs");
    this.behavior = streams.stream("habits");
    this.objects =
        spec.objects == 0
            ? null
            : RejectionInversionZipfSampler.of(
                streams.stream("objects"), spec.objects, spec.objectSkew);
    this.startedAt = time.now();
    this.rate = scenario.rate();
    this.classShares = spec.classes.stream().mapToDouble(jobClass -> jobClass.share).toArray();
    this.workSpreads =
        spec.classes.stream()
            .map(jobClass -> Draw.LognormalFactor.of(jobClass.workSpread))
            .toList();
    this.hintSpreads =
        spec.classes.stream().map(jobClass -> Draw.LognormalFactor.of(jobClass.hintNoise)).toList();
    this.usages = spec.tenants.stream().mapToDouble(tenant -> tenant.usage).toArray();
    this.tenantFactors = new double[usages.length];
    Arrays.fill(tenantFactors, 1);
    this.zoneShares = new double[scenario.zones.size()];
    Arrays.fill(zoneShares, 1);
    this.zoneFactors = zoneShares.clone();
    this.allowances = scenario.allowances();
    this.spentAllowances = new double[usages.length];
    this.idBase = streams.seed("ids") & 0xffffff;
  }

  /** Starts the arrivals. */
  public void begin() {
    if (spec.trace.isEmpty()) {
      scheduleNextArrival();
    } else {
      followTrace();
    }
  }

  /** Multiplies the rate of all arrivals by {@code factor}. */
  void multiplyRate(double factor) {
    rateFactor *= factor;
  }

  /** Multiplies the arrival rate of one tenant by {@code factor}. */
  void multiplyTenantRate(int tenant, double factor) {
    tenantFactors[tenant] *= factor;
  }

  /** Multiplies the arrival rate of one zone by {@code factor}. */
  void multiplyZoneRate(int zone, double factor) {
    zoneFactors[zone] *= factor;
  }

  /** Returns the number of requests whose client is waiting for an answer. */
  public int openRequests() {
    return openRequests;
  }

  // ---- Arrivals ----

  private void scheduleNextArrival() {
    double elapsed = time.now() - startedAt;
    if (elapsed >= scenario.duration) {
      return;
    }
    double wait = Draw.exponential(arrivals, 1000 / Math.max(1e-9, currentRate(elapsed)));
    if (wait > MAX_RATE_STEP_MILLIS) {
      // The arrival process is memoryless: after a step in which the rate may have changed, the
      // waiting time can be drawn again.
      time.after(MAX_RATE_STEP_MILLIS, this::scheduleNextArrival);
    } else {
      time.after(
          wait,
          () -> {
            arrive();
            scheduleNextArrival();
          });
    }
  }

  private double currentRate(double elapsed) {
    double boostedUsage = 0;
    double usage = 0;
    for (int i = 0; i < usages.length; i++) {
      boostedUsage += usages[i] * tenantFactors[i];
      usage += usages[i];
    }
    double shape =
        switch (spec.shape) {
          case STEADY -> 1;
          case WAVE -> 1 + spec.swing * StrictMath.sin(2 * Math.PI * elapsed / spec.period);
          case BURSTY -> burstFactor(elapsed);
        };
    return rate
        * rateFactor
        * shape
        * (usage == 0 ? 1 : boostedUsage / usage)
        * Arrays.stream(zoneFactors).average().orElse(1);
  }

  private double burstFactor(double elapsed) {
    while (elapsed >= nextSwitchAt) {
      inBurst = !inBurst;
      nextSwitchAt += Draw.exponential(arrivals, spec.period / 2);
    }
    return inBurst ? 1 + spec.swing : 1 - spec.swing;
  }

  private void arrive() {
    int jobClass = pick(classShares, null);
    ClassSpec classSpec = spec.classes.get(jobClass);
    create(
        jobClass,
        usages.length == 0 ? 0 : pick(usages, tenantFactors),
        classSpec.work * workSpreads.get(jobClass).draw(jobs));
  }

  private void followTrace() {
    if (nextTraceIndex < spec.trace.size()) {
      WorkloadSpec.Arrival next = spec.trace.get(nextTraceIndex++);
      time.after(
          startedAt + next.at() - time.now(),
          () -> {
            create(next.jobClass(), next.tenant(), next.work());
            followTrace();
          });
    }
  }

  private int pick(double[] shares, double[] factors) {
    double sum = 0;
    for (int i = 0; i < shares.length; i++) {
      sum += shares[i] * (factors == null ? 1 : factors[i]);
    }
    double remaining = jobs.nextDouble() * sum;
    int picked = 0;
    while (picked < shares.length - 1) {
      remaining -= shares[picked] * (factors == null ? 1 : factors[picked]);
      if (remaining < 0) {
        break;
      }
      picked++;
    }
    return picked;
  }

  private void create(int jobClass, int tenant, double work) {
    ClassSpec classSpec = spec.classes.get(jobClass);
    double now = time.now();
    if (now - allowancePeriodStart >= 1000) {
      allowancePeriodStart = now;
      Arrays.fill(spentAllowances, 0);
    }
    boolean withinAllowance =
        allowances.length == 0 || ++spentAllowances[tenant] <= Math.max(1, allowances[tenant]);
    double value = classSpec.worth * work * (withinAllowance ? 1 : spec.overShareWorth);
    String key =
        classSpec.effect == Idempotency.KEYED
            ? "k" + Long.toHexString(idBase << 32 | requestCount)
            : null;
    Request request =
        new Request(
            id(),
            jobClass,
            tenant,
            pick(zoneShares, zoneFactors),
            work,
            work * hintSpreads.get(jobClass).draw(jobs),
            key,
            now,
            now + classSpec.deadline,
            value,
            objects == null ? 0 : objects.sample(),
            null);
    submit(request);
  }

  private String id() {
    return "r" + Long.toHexString(idBase << 32 | requestCount++);
  }

  private void submit(Request request) {
    double now = time.now();
    observer.requestDue(now, request);
    boolean leavesEarly = behavior.nextDouble() < spec.impatient;
    double wait =
        leavesEarly
            ? behavior.nextDouble() * (request.deadline - now)
            : request.deadline + ANSWER_SLACK_MILLIS - now;
    request.giveUpTimer = time.after(wait, () -> giveUp(request, leavesEarly));
    openRequests++;
    transport.submit(request);
  }

  private void giveUp(Request request, boolean early) {
    openRequests--;
    request.ended = true;
    observer.requestEnded(time.now(), request, Answer.LEFT);
    transport.disconnect(request);
    if (early && mayRetry(request)) {
      retry(request, 0);
    }
  }

  // ---- Answers ----

  /**
   * Delivers an answer to its client. {@code retryAfter} is the wait before a retry that the answer
   * asks for, in ms, or 0 if it asks for none.
   */
  public void answer(Request request, Answer answer, double retryAfter) {
    double now = time.now();
    if (request.ended) {
      observer.lateAnswer(now, request, answer);
      return;
    }
    openRequests--;
    request.giveUpTimer.cancel();
    request.ended = true;
    observer.requestEnded(now, request, answer);
    boolean retryable = answer == Answer.REFUSED || answer == Answer.UNREACHED;
    boolean failed = answer == Answer.FAILED || answer == Answer.BROKEN;
    if (retryable || (failed && mayRetry(request))) {
      retry(request, retryAfter);
    }
  }

  /** Returns true if the client may retry the request even though its job may have run. */
  private boolean mayRetry(Request request) {
    ClassSpec classSpec = spec.classes.get(request.jobClass);
    boolean keyed =
        classSpec.effect == Idempotency.KEYED && classSpec.scope == IdempotencyScope.ALL;
    return classSpec.effect == Idempotency.SAFE
        || (keyed && time.now() < request.first.due + classSpec.window);
  }

  private void retry(Request last, double retryAfter) {
    if (last.retryNumber >= spec.retries) {
      return;
    }
    double backoff =
        spec.backoff
            * (spec.exponential ? Math.scalb(1, last.retryNumber) : 1)
            * (0.5 + behavior.nextDouble());
    double wait = retryAfter > 0 && behavior.nextDouble() < spec.honour ? retryAfter : backoff;
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
                  last.estimatedWork,
                  last.key,
                  time.now(),
                  last.first.deadline,
                  last.value,
                  last.object,
                  last.first));
        });
  }
}
