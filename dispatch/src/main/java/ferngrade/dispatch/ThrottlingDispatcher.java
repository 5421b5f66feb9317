package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * All decisions of one dispatcher, behind {@link Dispatcher}. A job passes, in this order: its
 * tenant's level inside this dispatcher's slice of the slot budget, the pick of a worker, and, when
 * an attempt ends badly, the guard that says whether it may go out again. Nothing here reads a
 * clock; time comes with events.
 */
public final class ThrottlingDispatcher implements Dispatcher {
  // ---- Constants ----

  /**
   * Cycle of the budget, ms: several cycles fit into the shortest trouble that matters, a few
   * seconds.
   */
  private static final double CYCLE = 500;

  /** Weight of the newest cycle in a worker's starts a second, which one dispatcher sees few of. */
  private static final double START_WEIGHT = 0.15;

  /** Cycles from its first start on before a dispatcher takes its own starts for its share. */
  private static final int TRAFFIC_FROM = 6;

  /**
   * Part of what the fleet has idle that one dispatcher may take at once, whatever it had before.
   */
  private static final double SPARE = 0.5;

  /**
   * A slice is at most so many times its share of what the fleet can do; it could never grow
   * otherwise.
   */
  private static final double AMPLE = 1.75;

  /**
   * What is taken off that where every worker has a job waiting for each core; more count no more.
   */
  private static final double TIGHT = 0.55;

  /** How far a slice moves to its share in a cycle; all the way it would swing with each list. */
  private static final double SETTLE = 0.6;

  /** Part of the cores that must be busy for a share to be told by it. */
  private static final double LEAST_BUSY = 0.05;

  /**
   * Jobs queued for each core from which on a fleet is crowded, where passing over queues feeds
   * others.
   */
  private static final double DEEP = 0.35;

  /**
   * Weight of one job in the mean work: cold budgets go by it, and must not swing with single jobs.
   */
  private static final double WORK_WEIGHT = 0.02;

  /** Ms in which the list comes to show a job sent. */
  private static final double RECENT = 1000;

  /** Share by which a slice in demand grows in a cycle: back from a half in 2 s. */
  private static final double GROW = 0.2;

  /**
   * Cut of a slice, times the refused share of its attempts: it settles where a twentieth is
   * refused.
   */
  private static final double TRIM = 4;

  /** The least that one cut leaves: the refusals of one burst must not stop a dispatcher. */
  private static final double CUT_LEAVES = 0.3;

  /**
   * A slice is at most so many times what is asked, so that a trim is felt within a cycle or two.
   */
  private static final double SLACK = 1.5;

  /** Slots a second that a slice keeps in any case, so that a silent dispatcher can start again. */
  private static final double FLOOR = 1;

  /**
   * Weight of the newest cycle in the counts that a cut goes by: of few jobs, some are late by
   * chance.
   */
  private static final double COUNT_WEIGHT = 0.2;

  /** Workers looked at for a job in its own zone, and as many elsewhere; of fewer, all. */
  private static final int SCAN = 8;

  /**
   * Workers looked at, all of them, for a job that needs an object, which one not looked at may
   * have.
   */
  private static final int OBJECT_SCAN = 32;

  /**
   * Share of its spare time from which on a job's wait counts as a refusal: queues have begun to
   * build.
   */
  private static final double LATE = 0.75;

  /** Share of its spare time after which a job that has not started is tried elsewhere too. */
  private static final double PATIENCE = 0.2;

  /** Moves earned by each first send, and the most that may be saved up. */
  private static final double MOVE_SHARE = 0.05;

  private static final double MOVES_SAVED = 3;

  /** Weight of the learned speed in a pick: a slow worker in time is as good as a fast one. */
  private static final double SPEED = 0.3;

  /**
   * Weight of one wait in a worker's own mean, and the ms in which that mean fades into its
   * group's.
   */
  private static final double WAIT_WEIGHT = 0.3;

  private static final double WAIT_MEMORY = 3000;

  /** What a fetch of an object counts as, in mean work: its time, and its part of the store. */
  private static final double FETCH = 1.2;

  /** Weight of one outcome in a learned mean. */
  private static final double LEARN = 0.1;

  /**
   * A zone's charge as a delay: charge x aim x this; half the jobs in time are lost over half an
   * aim.
   */
  private static final double CHARGE_DELAY = 2;

  /** First and longest ejection of a worker that fails, ms. */
  private static final double EJECT_FIRST = 1000;

  private static final double EJECT_MOST = 16000;

  /**
   * First and longest time for which a worker gets no jobs of a class that it does not take, ms.
   */
  private static final double SHUN_FIRST = 8000;

  private static final double SHUN_MOST = 32000;

  /** Share of the fleet that may be ejected at a time. */
  private static final double EJECT_SHARE = 0.4;

  /** Sends to a zone without any sign of life before it is taken for cut off. */
  private static final int SILENT_SENDS = 4;

  /** Silence of a zone, ms on top of a mean service time. */
  private static final double SILENCE = 100;

  /**
   * The least that a job counts in a slow start, in requests of mean work: hints of its work are
   * rough.
   */
  private static final double LEAST_COST = 0.5;

  /** Free slots from which on one is free: reports are a little noisy. */
  private static final double FREE = 0.5;

  private static final long CYCLE_TOKEN = 1;
  private static final long WATCH_TOKEN = 2;

  private final DispatcherSettings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final SlowStart slowStart;
  private final Map<Long, WorkerStats> nodes = new HashMap<>();
  private final PendingRequests requests = new PendingRequests();
  private final RetryPolicy retries;
  private final DeferredChecks checks;
  private List<WorkerStats> local = new ArrayList<>();
  private List<WorkerStats> remote = new ArrayList<>();
  private final Map<Integer, ZoneStats> zones = new HashMap<>();
  private final double[] classService;
  private double service = 100;
  private long served;

  /** Starts a dispatcher's decisions at {@code now}; the seed is its only source of chance. */
  public ThrottlingDispatcher(DispatcherSettings settings, long seed, double now, Actions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.slowStart = new SlowStart(settings.cold(), settings.me(), settings.dispatchers());
    this.classService = new double[settings.classes().size()];
    this.lastCycle = now;
    this.retries = new RetryPolicy(settings.limits(), settings.roundMs());
    this.checks = new DeferredChecks(actions);
    this.quotas = new TenantQuotas(settings.tenants());
    this.priorities = new ClassPriorities(settings.classes(), settings.goal());
    this.diffusion = new BudgetDiffusion(settings.me(), settings.dispatchers(), quotas);
    actions.timer(random.nextDouble() * CYCLE, CYCLE_TOKEN);
    if (settings.asks()) {
      actions.timer(1 + 2000.0 * settings.me() / settings.dispatchers(), WATCH_TOKEN);
    }
  }

  // ---- Budget: this dispatcher's slice x of the slots that may be started, in slots a second ----

  private double lastCycle;
  private double slice = Double.NaN;
  private int sent;
  private int refused;
  private double lastCut = Double.NEGATIVE_INFINITY;
  private double accepted;
  private double sentMean;
  private double refusedMean;
  private double acceptedMean;
  private boolean loads;
  private int traffic;
  private boolean crowded;
  private int warm;
  private final TenantQuotas quotas;
  private final ClassPriorities priorities;
  private final BudgetDiffusion diffusion;

  private void cycle(double now) {
    double seconds = Math.max(1, now - lastCycle) / 1000;
    lastCycle = now;
    diffusion.startCycle();
    quotas.endCycle(seconds);
    priorities.endCycle();
    double share = fleetShare(seconds, now);
    if (loads) {
      slice = Math.max(FLOOR, slice + SETTLE * (share - slice));
    } else {
      growOrTrim(seconds);
    }
    if (settings.limits().peers() && diffusion.peers().length > 0) {
      slice = Math.max(FLOOR, slice + diffusion.step());
      sendToPeers();
    }
    quotas.divide(slice);
    sent = 0;
    accepted = 0;
    refused = 0;
    actions.timer(CYCLE, CYCLE_TOKEN);
  }

  /** The slots a second that this dispatcher may start. */
  public double slice() {
    return slice;
  }

  /**
   * The slots a second that this dispatcher may start, by the load of each worker over all
   * dispatchers, where the list tells it: its own starts over the busy part of the workers that can
   * be reached is its share of what these can do. All see the same loads: the sum follows a lost
   * zone without a word.
   */
  private double fleetShare(double seconds, double now) {
    double size = 0;
    double busy = 0;
    double queued = 0;
    double rate = 0;
    warm = 0;
    for (WorkerStats node : nodes.values()) {
      node.startRate += START_WEIGHT * (node.startedSlots / seconds - node.startRate);
      node.startedSlots = 0;
      boolean ready = node.listed && node.entry.state() == WorkerState.READY;
      if (ready && node.ejectedUntil <= now && !silent(zone(node.entry.zone()), now)) {
        double capacity =
            node.group.size * (cold(node, now) ? slowStart.warmth(node.entry, now) : 1);
        size += capacity;
        busy += capacity * Math.min(1, node.load);
        queued += capacity * Math.max(0, Math.min(2, node.load) - 1);
        rate += node.startRate;
      }
      warm += ready && !cold(node, now) ? 1 : 0;
    }
    traffic += traffic > 0 || rate > 0 ? 1 : 0;
    loads = settings.liveWeights() && traffic >= TRAFFIC_FROM && busy > LEAST_BUSY * size;
    crowded = queued > DEEP * size;
    double own = rate / (1 - Math.pow(1 - START_WEIGHT, traffic)) * size / busy;
    return Math.max(own * (AMPLE - TIGHT * queued / size), SPARE * (size - busy) * 1000 / meanWork);
  }

  private void growOrTrim(double seconds) {
    sentMean += COUNT_WEIGHT * (sent - sentMean);
    refusedMean += COUNT_WEIGHT * (refused - refusedMean);
    acceptedMean += COUNT_WEIGHT * (accepted / seconds - acceptedMean);
    double bad = refusedMean == 0 ? 0 : refusedMean / Math.max(sentMean, refusedMean);
    double most = SLACK * Arrays.stream(quotas.demands()).sum() + FLOOR;
    double change = GROW - TRIM * bad;
    // The start is generous until a first cut shows a limit. A dispatcher that waits for its
    // clients sees
    // no demand for some cycles; growing from the floor then refuses them on an idle fleet.
    if (Double.isNaN(slice) || (change >= 0 && lastCut == Double.NEGATIVE_INFINITY)) {
      slice = Double.isNaN(slice) ? most : Math.max(most, slice);
    }
    // Only growth stops at the bound: cutting to it would destroy what peers pass through this
    // slice.
    if (change < 0 || slice < most) {
      // What was accepted proves that the slots exist; cutting below it starves an idle fleet.
      if (change < 0) {
        lastCut = lastCycle;
        refusedMean = 0;
      }
      double proven = Math.min(slice, acceptedMean);
      slice = Math.max(Math.max(FLOOR, proven), slice * Math.max(CUT_LEAVES, 1 + change));
    } else {
      slice = Math.max(most, slice * (1 - GROW));
    }
  }

  // ---- Pick: the ready worker of the kind that holds the fewest of our slots ----

  @Override
  public void arrived(double now, Job job) {
    if (job.jobClass() >= settings.classes().size()) {
      throw new IllegalArgumentException("Job.jobClass is out of range: " + job.jobClass());
    }
    PendingRequest request = new PendingRequest(job, settings.classes().get(job.jobClass()));
    requests.add(request);
    double work = norm(request) * job.slots();
    double weight = Math.max(WORK_WEIGHT, 1.0 / ++jobs);
    meanWork += weight * (work - meanWork);
    meanSlots += weight * (job.slots() - meanSlots);
    priorities.requestArrived(job.jobClass(), work);
    if (quotas.admit(job, priorities, now)) {
      next(request, now);
    } else {
      answer(request, CYCLE);
    }
  }

  private WorkerStats pick(PendingRequest request, double now) {
    Attempt bound = retries.groupAttempt(request);
    WorkerStats best = scan(request, bound, now, false);
    return best != null ? best : scan(request, bound, now, true);
  }

  private WorkerStats scan(PendingRequest request, Attempt bound, double now, boolean desperate) {
    WorkerStats best = null;
    double least = Double.POSITIVE_INFINITY;
    boolean whole = bound != null || desperate;
    boolean object = request.job.object() != 0;
    for (int part = 0; part < 2; part++) {
      List<WorkerStats> pool = part == 0 ? local : remote;
      int size = pool.size();
      int looks = whole || (object && size <= OBJECT_SCAN) ? size : Math.min(size, SCAN);
      for (int i = 0; i < looks; i++) {
        WorkerStats node = pool.get(looks == size ? i : random.nextInt(size));
        if (!permitted(request, bound, node, now)
            || (!desperate && !inFavour(request, node, now))) {
          continue;
        }
        double cost = cost(request, node, now) + random.nextDouble();
        if (desperate) {
          double shunned = node.classEjectedUntil[request.job.jobClass()];
          cost += Math.max(0, Math.max(shunned, Math.max(node.holdUntil, node.ejectedUntil)) - now);
        }
        if (cost < least) {
          least = cost;
          best = node;
        }
      }
    }
    return best;
  }

  /**
   * Own held slots first, each worth a mean service time over the worker's slots, where reports
   * tell these: many dispatchers that go by a list's sizes crowd the large workers. Then waits,
   * speed, fetch and zone.
   */
  private double cost(PendingRequest request, WorkerStats node, double now) {
    double mean = heldSlots / (local.size() + remote.size());
    double held = node.proven ? node.heldSlots : Math.max(node.heldSlots, mean);
    double cost =
        held * service / node.group.slots
            + expectedWait(node, now)
            + SPEED * serviceTime(request, node)
            + FETCH * meanWork * node.objects.missing(request.job.object(), node.id);
    if (node.entry.zone() != settings.zone()) {
      double aim = request.jobClass.aim() + request.jobClass.stretch() * service;
      cost += CHARGE_DELAY * settings.crossCharge() * aim;
    }
    return cost + trip(node);
  }

  private double serviceTime(PendingRequest request, WorkerStats node) {
    return norm(request) * (node.outcomes > 0 ? node.slowness : node.group.slowness);
  }

  /** The job's time on a worker of mean speed, as hinted or as its class shows. */
  private double norm(PendingRequest request) {
    double known = classService[request.job.jobClass()];
    return request.job.work() > 0 ? request.job.work() : known > 0 ? known : service;
  }

  private double heldSlots;
  private double meanWork;
  private double meanSlots;
  private long jobs;

  private void send(PendingRequest request, WorkerStats node, double now) {
    Attempt attempt = new Attempt(node, now);
    request.attempts.add(attempt);
    request.inFlight++;
    node.heldSlots += request.job.slots();
    heldSlots += request.job.slots();
    node.recentSlots = recent(node, now) + request.job.slots();
    node.recentAt = now;
    node.objects.use(request.job.object(), Math.max(node.group.size, node.group.slots));
    sent++;
    if (request.attempts.size() == 1) {
      moves = Math.min(MOVES_SAVED, moves + MOVE_SHARE);
    }
    slowStart.sent(node.entry, slowStartCost(request), now);
    int jobClass = request.job.jobClass();
    // One job at a time shows whether the worker takes the class again.
    node.classEjectedUntil[jobClass] = node.classEjection[jobClass] > 0 ? now + SHUN_FIRST : 0;
    ZoneStats zone = zone(node.entry.zone());
    if (zone.unanswered++ == 0) {
      zone.firstUnansweredAt = now;
    }
    zone.nextProbeAt = now + SILENCE + service;
    actions.send(request.job.id(), node.id, 0);
    watchStart(request, node);
  }

  // ---- Moves: a job that waits where others start at once ----

  private double moves = MOVES_SAVED;

  /** The time a job can wait and still be in time, if this worker runs it. */
  private double slack(PendingRequest request, WorkerStats node) {
    JobClass jobClass = request.jobClass;
    return jobClass.aim() + jobClass.stretch() * norm(request) - serviceTime(request, node);
  }

  /** The way to a worker's zone and back, 0 until an answer has shown it. */
  private double trip(WorkerStats node) {
    double trip = zone(node.entry.zone()).roundTripTime;
    return trip == Double.MAX_VALUE ? 0 : trip;
  }

  private void watchStart(PendingRequest request, WorkerStats node) {
    if (!settings.tellsStart()) {
      return;
    }
    Attempt attempt = request.attempts.get(request.attempts.size() - 1);
    checks.schedule(lateAfter(request, node), now -> countLate(attempt));
    boolean movable =
        request.jobClass.effect() != Idempotency.UNSAFE && settings.limits().secondCopies();
    if (movable && retries.attemptsLeft(request)) {
      double least = 2 * settings.roundMs() + 2 * trip(node);
      checks.schedule(Math.max(least, PATIENCE * slack(request, node)), now -> move(request, now));
    }
  }

  /**
   * A job stuck in a queue is tried elsewhere too, the old place kept; without a budget that would
   * multiply the work where queues are deep.
   */
  private void move(PendingRequest request, double now) {
    int last = request.attempts.size() - 1;
    Attempt newest = request.attempts.get(last);
    if (request.completed
        || request.inFlight == 0
        || request.attempts.stream().anyMatch(Attempt::running)) {
      return;
    }
    if (newest.outcome == null) {
      learnWait(
          newest.worker, Math.max(now - newest.sentAt, expectedWait(newest.worker, now)), now);
    }
    boolean idle = moves >= 1 && retries.maySend(request, now);
    WorkerStats node = idle ? scan(request, retries.groupAttempt(request), now, false) : null;
    if (node == null) {
      return;
    }
    if (request.inFlight > 1 && newest.outcome == null && settings.limits().cancel()) {
      actions.cancel(request.job.id(), last);
    }
    moves--;
    send(request, node, now);
  }

  /** The job runs: its places in other queues are given up. */
  private void keepOnly(PendingRequest request, int number) {
    for (int i = 0; i < request.attempts.size() && request.inFlight > 1; i++) {
      Attempt other = request.attempts.get(i);
      if (i != number && other.outcome == null && !other.running() && settings.limits().cancel()) {
        actions.cancel(request.job.id(), i);
      }
    }
  }

  // ---- Health: hold-backs, ejections, zones that fall silent ----

  private boolean inFavour(PendingRequest request, WorkerStats node, double now) {
    boolean onTrial = node.ejection > 0 && node.heldSlots > 0;
    boolean shunned = node.classEjectedUntil[request.job.jobClass()] > now;
    boolean tried = request.attempts.stream().anyMatch(attempt -> attempt.worker == node);
    if (node.holdUntil > now
        || node.ejectedUntil > now
        || onTrial
        || shunned
        || tried
        || (!crowded && hopeless(request, node, now))) {
      return false;
    }
    ZoneStats zone = zone(node.entry.zone());
    return !silent(zone, now) || now >= zone.nextProbeAt;
  }

  /** A first attempt that would begin too late would only keep later jobs from being in time. */
  private boolean hopeless(PendingRequest request, WorkerStats node, double now) {
    return loads && request.attempts.isEmpty() && toldWait(node, now) > lateAfter(request, node);
  }

  private boolean silent(ZoneStats zone, double now) {
    boolean unanswered =
        zone.unanswered >= SILENT_SENDS
            && now - Math.max(zone.lastSignAt, zone.firstUnansweredAt) > SILENCE + service;
    return unanswered || zone.unreachable >= SILENT_SENDS;
  }

  private void signOfLife(WorkerStats node, double now) {
    ZoneStats zone = zone(node.entry.zone());
    zone.lastSignAt = now;
    node.lastSignAt = now;
    zone.unanswered = 0;
    zone.unreachable = 0;
  }

  @Override
  public void started(double now, String id, int number) {
    Attempt attempt = requests.findAttempt(id, number);
    if (attempt == null || attempt.outcome != null) {
      return;
    }
    PendingRequest request = requests.find(id);
    attempt.startedAt = now;
    keepOnly(request, number);
    WorkerStats node = attempt.worker;
    unshun(node, request);
    signOfLife(node, now);
    ZoneStats zone = zone(node.entry.zone());
    double delay = now - attempt.sentAt;
    zone.roundTripTime = Math.min(zone.roundTripTime, delay);
    learnWait(node, delay - zone.roundTripTime, now);
    countStart(request, attempt);
  }

  /** The wait for its start from which on a job counts as not accepted. */
  private double lateAfter(PendingRequest request, WorkerStats node) {
    return LATE * Math.max(slack(request, node), request.jobClass.aim());
  }

  /**
   * Where queues are deep 'full' comes too late: a start too late to be in time counts as not
   * accepted. It counts once it has become too late, not when it comes: by then the queue has grown
   * for as long again.
   */
  private void countLate(Attempt attempt) {
    // A job sent before the last cut waits for what was cut for: counted again it would cut a slice
    // that
    // is small already, for as long as the queues take to drain (incident iea15a6).
    if (attempt.outcome == null && Double.isNaN(attempt.startedAt) && attempt.sentAt >= lastCut) {
      attempt.late = true;
      refused++;
    }
  }

  private void countStart(PendingRequest request, Attempt attempt) {
    if (!attempt.late && attempt.sentAt >= lastCut) {
      accepted += request.job.slots();
    }
    attempt.worker.startedSlots += request.job.slots();
  }

  private void learnWait(WorkerStats node, double wait, double now) {
    double expected = seenWait(node, now);
    node.wait = expected + WAIT_WEIGHT * (wait - expected);
    node.waitAt = now;
    node.group.wait += LEARN * (wait - node.group.wait);
  }

  /** What was seen here, moved to what the list tells by this dispatcher's part of the tier. */
  private double expectedWait(WorkerStats node, double now) {
    // All read one list: going by it alone, all would send to the same few workers until the next
    // one.
    double seen = seenWait(node, now);
    return loads ? seen + (toldWait(node, now) - seen) / Math.max(2, settings.dispatchers()) : seen;
  }

  /**
   * The wait by the jobs that the list tells for each core, and those sent that it cannot show yet.
   */
  private double toldWait(WorkerStats node, double now) {
    double slowness = node.group.slowness;
    double load = node.load + recent(node, now) / Math.max(1, node.group.size * slowness);
    return Math.max(0, load - 1) * service * slowness;
  }

  private static double recent(WorkerStats node, double now) {
    return node.recentSlots * Math.exp((node.recentAt - now) / RECENT);
  }

  /** What was seen of this worker fades into what its group shows. */
  private double seenWait(WorkerStats node, double now) {
    double mean = node.group.wait;
    return mean + (node.wait - mean) * Math.exp((node.waitAt - now) / WAIT_MEMORY);
  }

  @Override
  public void progressed(double now, String id, int number, double share) {
    Attempt attempt = requests.findAttempt(id, number);
    if (attempt != null) {
      signOfLife(attempt.worker, now);
    }
  }

  private void learn(PendingRequest request, Attempt attempt, AttemptOutcome outcome, double now) {
    WorkerStats node = attempt.worker;
    switch (outcome) {
      case OK -> {
        signOfLife(node, now);
        node.ejection = 0;
        unshun(node, request);
        node.proven = true;
        if (Double.isNaN(attempt.startedAt)) {
          countStart(request, attempt);
        }
        learnService(request, attempt, now);
      }
      case FULL -> {
        signOfLife(node, now);
        node.holdUntil = now + service * (0.5 + random.nextDouble());
        refused++;
      }
      case TIMEOUT -> {
        if (node.lastSignAt >= attempt.sentAt
            && Double.isNaN(attempt.startedAt)
            && !retries.deadlineReached(request, now)) {
          shun(node, request.job.jobClass(), now);
          return;
        }
        // In a deep queue a job runs out of time though its worker works. A job sent before the
        // last
        // cut waited for what was cut for; and only a worker that was silent all along has failed.
        if (attempt.sentAt >= lastCut && node.ejectedUntil <= now && !attempt.late) {
          refused++;
        }
        node.proven = true;
        if (node.lastSignAt < attempt.sentAt) {
          eject(node, now);
        }
      }
      case ERROR, RESET, CONNECT_FAILED -> {
        if (outcome == AttemptOutcome.ERROR) {
          signOfLife(node, now);
        } else if (outcome == AttemptOutcome.CONNECT_FAILED) {
          zone(node.entry.zone()).unreachable++;
        }
        // None of these trims: they speak of one worker. Late starts show what the others cannot
        // do.
        node.proven = true;
        eject(node, now);
      }
      default -> {}
    }
  }

  /**
   * A worker that works but did not take this job may hang on all of its class; others it may well
   * do.
   */
  private static void shun(WorkerStats node, int jobClass, double now) {
    node.classEjection[jobClass] =
        Math.min(SHUN_MOST, Math.max(SHUN_FIRST, 2 * node.classEjection[jobClass]));
    node.classEjectedUntil[jobClass] = now + node.classEjection[jobClass];
  }

  private static void unshun(WorkerStats node, PendingRequest request) {
    node.classEjection[request.job.jobClass()] = 0;
    node.classEjectedUntil[request.job.jobClass()] = 0;
  }

  private void learnService(PendingRequest request, Attempt attempt, double now) {
    double from = Double.isNaN(attempt.startedAt) ? attempt.sentAt : attempt.startedAt;
    double took = Math.max(0.1, now - from);
    int jobClass = request.job.jobClass();
    double known = classService[jobClass];
    double ratio = Math.min(8, served == 0 ? 1 : took / norm(request));
    classService[jobClass] = known == 0 ? took : known + LEARN / 2 * (took - known);
    service += Math.max(LEARN / 2, 1.0 / ++served) * (took - service);
    WorkerStats node = attempt.worker;
    WorkerGroup group = node.group;
    group.slowness =
        group.slownessKnown ? group.slowness + LEARN / 2 * (ratio - group.slowness) : ratio;
    group.slownessKnown = true;
    double before = node.outcomes++ == 0 ? group.slowness : node.slowness;
    node.slowness = before + LEARN * (ratio - before);
  }

  /**
   * A worker that fails fast looks idle and would draw every job: it is left out, longer each time.
   */
  private void eject(WorkerStats node, double now) {
    if (node.ejectedUntil > now || excluded(now) >= EJECT_SHARE * (local.size() + remote.size())) {
      return;
    }
    node.ejection = Math.min(EJECT_MOST, Math.max(EJECT_FIRST, 2 * node.ejection));
    node.ejectedUntil = now + node.ejection * (0.75 + 0.5 * random.nextDouble());
  }

  // ---- Retries and answers: one guard for every further attempt and every refusal ----

  @Override
  public int excluded(double now) {
    return (int)
        Stream.concat(local.stream(), remote.stream()).filter(n -> n.ejectedUntil > now).count();
  }

  /** Rules that no wish for a better pick may bend: kind, key group, drain and cold start. */
  private boolean permitted(PendingRequest request, Attempt bound, WorkerStats node, double now) {
    int kind = request.jobClass.kind();
    return node.entry.state() == WorkerState.READY
        && (kind < 0 || kind == node.entry.kind())
        && retries.sameGroup(bound, node, request.jobClass.scope())
        && coldAllows(request, node, now);
  }

  /**
   * Sends the request out (again) if that is allowed, else answers it unless an attempt is still
   * out.
   */
  private void next(PendingRequest request, double now) {
    boolean excess = !request.attempts.isEmpty() && quotas.exceedsLevel(request.job.tenant());
    WorkerStats node = !excess && retries.maySend(request, now) ? pick(request, now) : null;
    if (node != null && !hopeless(request, node, now)) {
      send(request, node, now);
    } else if (request.inFlight == 0) {
      answer(request, service);
    }
  }

  private void answer(PendingRequest request, double retryAfter) {
    if (request.completed) {
      return;
    }
    request.completed = true;
    if (retries.mayReject(request)) {
      actions.refuse(request.job.id(), Math.min(retryAfter, settings.limits().retryAfterMax()));
    } else {
      actions.fail(request.job.id());
    }
    requests.removeIfDone(request);
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
    if (attempt == null || attempt.outcome != null) {
      return;
    }
    PendingRequest request = requests.find(id);
    attempt.outcome = outcome;
    request.inFlight--;
    attempt.worker.heldSlots -= request.job.slots();
    heldSlots -= request.job.slots();
    learn(request, attempt, outcome, now);
    readReport(attempt.worker, report, now);
    request.completed |= over;
    if (request.completed) {
      keepOnly(request, number);
      requests.removeIfDone(request);
    } else if (outcome == AttemptOutcome.TIMEOUT && retries.deadlineReached(request, now)) {
      answer(request, 0);
    } else if (request.inFlight == 0 && outcome == AttemptOutcome.UNUSABLE) {
      // Tried elsewhere, one bad request would bring as many workers under suspicion as it has
      // tries.
      request.completed = true;
      actions.fail(id);
      requests.removeIfDone(request);
    } else if (request.inFlight == 0) {
      next(request, now);
    }
  }

  @Override
  public void abandoned(double now, String id) {
    PendingRequest request = requests.find(id);
    if (request != null) {
      request.completed = true;
      requests.removeIfDone(request);
    }
  }

  // ---- Membership and cold starts ----

  @Override
  public void members(double now, EndpointListUpdate news, List<Worker> workers) {
    if (news != EndpointListUpdate.CHANGES) {
      nodes.values().forEach(node -> node.listed = false);
    }
    for (Worker entry : workers) {
      WorkerStats node = nodes.get(entry.id());
      if (node == null || node.entry.startedAt() != entry.startedAt()) {
        // A restarted process shares nothing with the old one: neither its jobs nor what was
        // learned.
        node = new WorkerStats(entry, classService.length);
        nodes.put(entry.id(), node);
      }
      node.entry = entry;
      node.listed = entry.state() != WorkerState.GONE;
      node.group =
          zone(entry.zone()).groups.computeIfAbsent(entry.kind(), key -> new WorkerGroup());
      node.group.size = Math.max(node.group.size, entry.weight());
      node.load = entry.weight() > 0 ? node.group.size / entry.weight() - 1 : 0;
    }
    rebuild();
  }

  /**
   * Lists the workers that may get jobs; one that the list no longer holds counts as gone at once.
   */
  private void rebuild() {
    local = new ArrayList<>();
    remote = new ArrayList<>();
    for (WorkerStats node : nodes.values()) {
      if (node.listed && node.entry.state() == WorkerState.READY) {
        (node.entry.zone() == settings.zone() ? local : remote).add(node);
      }
    }
    local.sort((a, b) -> Long.compare(a.id, b.id));
    remote.sort((a, b) -> Long.compare(a.id, b.id));
  }

  private ZoneStats zone(int index) {
    return zones.computeIfAbsent(index, key -> new ZoneStats());
  }

  private boolean cold(WorkerStats node, double now) {
    return slowStart.warmingUp(node.entry, now);
  }

  /** What a job adds to the load of a worker that is warming up, in requests of mean work. */
  private double slowStartCost(PendingRequest request) {
    double work = norm(request) * request.job.slots();
    return meanWork > 0 ? Math.max(LEAST_COST, work / meanWork) : LEAST_COST;
  }

  private boolean coldAllows(PendingRequest request, WorkerStats node, double now) {
    return !cold(node, now)
        || slowStart.allows(node.entry, slowStartCost(request), carried(node), now);
  }

  /**
   * Requests of mean work a second that it carries when warm: by its told size, else as seen here.
   */
  private double carried(WorkerStats node) {
    if (loads) {
      return meanWork > 0 ? node.group.size * 1000 / meanWork : 0;
    }
    if (warm == 0 || meanSlots == 0) {
      return 0;
    }
    double requests = acceptedMean / meanSlots * settings.dispatchers();
    return requests / warm / Math.max(1, node.group.slowness);
  }

  @Override
  public void listFailed(double now) {
    if (settings.asks()) {
      actions.timer(1000 + 2000 * random.nextDouble(), WATCH_TOKEN);
    }
  }

  @Override
  public void timer(double now, long token) {
    if (token == CYCLE_TOKEN) {
      cycle(now);
    } else if (token == WATCH_TOKEN) {
      actions.watch();
    } else {
      checks.timerExpired(now, token);
    }
  }

  /**
   * What a worker holds is told late, and all would send to the one that was idle then: only its
   * slots are learned. A worker without memory, or slots where that is not told, is passed over for
   * a moment.
   */
  private void readReport(WorkerStats node, LoadReport report, double now) {
    if (!settings.liveWeights() && report.held() >= 0 && report.freeSlots() >= FREE) {
      double slots = report.freeSlots() + report.held();
      double known = node.group.slots;
      node.group.slots = Math.max(1, known + (known == 1 ? 1 : LEARN) * (slots - known));
    }
    if (report.freeMemory() <= 0 || (Double.isNaN(report.held()) && report.freeSlots() < 1)) {
      node.holdUntil = Math.max(node.holdUntil, now + service / 4);
    }
  }

  private void sendToPeers() {
    byte[] message = diffusion.message(slice);
    for (int peer : diffusion.peers()) {
      actions.tell(peer, message);
    }
  }

  @Override
  public void heard(double now, int from, byte[] message) {
    diffusion.receive(from, message);
  }
}
