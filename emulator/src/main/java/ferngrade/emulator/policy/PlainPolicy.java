package ferngrade.emulator.policy;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.DispatcherSettings;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.IdempotencyScope;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.JobClass;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the plain policies share: the list of workers, what each holds, and the guard that keeps an
 * attempt that may have run from going out again. They admit everything and differ in the pick
 * alone.
 */
abstract class PlainPolicy implements Dispatcher {
  private final DispatcherSettings settings;
  private final Actions actions;
  private final Map<Long, Worker> listed = new HashMap<>();
  private final Map<Long, Integer> held = new HashMap<>();
  private final Map<String, Open> open = new HashMap<>();
  private List<Worker> ready = List.of();

  private static final class Open {
    final Job job;
    final List<Long> tried = new ArrayList<>(1);
    boolean doubtful;

    Open(Job job) {
      this.job = job;
    }
  }

  PlainPolicy(DispatcherSettings settings, Actions actions) {
    this.settings = settings;
    this.actions = actions;
  }

  /** The worker to take, of at least one; those of {@code tried} have had the job. */
  abstract Worker pick(List<Worker> ready, Job job);

  /** The attempts that this dispatcher has out at a worker. */
  final int held(Worker worker) {
    return held.getOrDefault(worker.id(), 0);
  }

  @Override
  public final void arrived(double now, Job job) {
    Open request = new Open(job);
    open.put(job.id(), request);
    send(request, now);
  }

  private void send(Open request, double now) {
    List<Worker> left = ready;
    if (!request.tried.isEmpty()) {
      Set<Long> tried = new HashSet<>(request.tried);
      left = ready.stream().filter(worker -> !tried.contains(worker.id())).toList();
    }
    boolean spent = request.tried.size() >= settings.limits().tries() || now >= request.job.due();
    Worker worker = spent || left.isEmpty() ? null : pick(left, request.job);
    if (worker == null) {
      answer(request);
      return;
    }
    request.tried.add(worker.id());
    held.merge(worker.id(), 1, Integer::sum);
    actions.send(request.job.id(), worker.id(), 0);
  }

  private void answer(Open request) {
    open.remove(request.job.id());
    JobClass jobClass = settings.classes().get(request.job.jobClass());
    boolean harmless =
        jobClass.effect() == Idempotency.SAFE
            || (jobClass.effect() == Idempotency.KEYED && jobClass.scope() == IdempotencyScope.ALL);
    if (harmless || !request.doubtful) {
      actions.refuse(request.job.id(), 0);
    } else {
      actions.fail(request.job.id());
    }
  }

  @Override
  public final void ended(
      double now,
      String id,
      int attempt,
      AttemptOutcome outcome,
      double took,
      boolean over,
      LoadReport report) {
    Open request = open.get(id);
    if (request == null) {
      return;
    }
    held.merge(request.tried.get(attempt), -1, Integer::sum);
    request.doubtful |= !outcome.neverRan;
    if (over || outcome == AttemptOutcome.OK) {
      open.remove(id);
    } else if (request.doubtful) {
      answer(request);
    } else {
      send(request, now);
    }
  }

  @Override
  public final void members(double now, EndpointListUpdate news, List<Worker> workers) {
    if (news != EndpointListUpdate.CHANGES) {
      listed.clear();
    }
    workers.forEach(worker -> listed.put(worker.id(), worker));
    ready =
        listed.values().stream()
            .filter(worker -> worker.state() == WorkerState.READY)
            .sorted(Comparator.comparingLong(Worker::id))
            .toList();
  }

  @Override
  public final void abandoned(double now, String id) {}

  @Override
  public final void started(double now, String id, int attempt) {}

  @Override
  public final void progressed(double now, String id, int attempt, double share) {}

  @Override
  public final void streaming(double now, String id, int attempt) {}

  @Override
  public final void listFailed(double now) {}

  @Override
  public final void checked(
      double now, long worker, AttemptOutcome outcome, double took, LoadReport report) {}

  @Override
  public final void heard(double now, int from, byte[] message) {}

  @Override
  public final void timer(double now, long token) {}
}
