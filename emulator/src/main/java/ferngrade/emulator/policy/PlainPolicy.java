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
 * Base class of the simple policies. It tracks the worker list and the attempts in flight, and does
 * not retry a job that may have run. The policies admit every job and differ only in how they pick
 * a worker.
 */
abstract class PlainPolicy implements Dispatcher {
  private final DispatcherSettings settings;
  private final Actions actions;
  private final Map<Long, Worker> workersById = new HashMap<>();
  private final Map<Long, Integer> attemptsInFlight = new HashMap<>();
  private final Map<String, PendingJob> pendingJobs = new HashMap<>();
  private List<Worker> ready = List.of();

  private static final class PendingJob {
    final Job job;
    final List<Long> triedWorkerIds = new ArrayList<>(1);
    boolean mayHaveRun;

    PendingJob(Job job) {
      this.job = job;
    }
  }

  PlainPolicy(DispatcherSettings settings, Actions actions) {
    this.settings = settings;
    this.actions = actions;
  }

  /**
   * Picks a worker for the job. {@code ready} contains the ready workers that have not been tried,
   * at least one. If the result is null, the job is rejected.
   */
  abstract Worker pick(List<Worker> ready, Job job);

  /** Returns the number of attempts that this dispatcher has in flight at a worker. */
  final int attemptsInFlight(Worker worker) {
    return attemptsInFlight.getOrDefault(worker.id(), 0);
  }

  @Override
  public final void requestArrived(double now, Job job) {
    PendingJob pending = new PendingJob(job);
    pendingJobs.put(job.id(), pending);
    send(pending, now);
  }

  private void send(PendingJob pending, double now) {
    List<Worker> candidates = ready;
    if (!pending.triedWorkerIds.isEmpty()) {
      Set<Long> tried = new HashSet<>(pending.triedWorkerIds);
      candidates = ready.stream().filter(worker -> !tried.contains(worker.id())).toList();
    }
    boolean exhausted =
        pending.triedWorkerIds.size() >= settings.limits().maxAttempts()
            || now >= pending.job.deadline();
    Worker worker = exhausted || candidates.isEmpty() ? null : pick(candidates, pending.job);
    if (worker == null) {
      answer(pending);
      return;
    }
    pending.triedWorkerIds.add(worker.id());
    attemptsInFlight.merge(worker.id(), 1, Integer::sum);
    actions.send(pending.job.id(), worker.id(), 0);
  }

  private void answer(PendingJob pending) {
    pendingJobs.remove(pending.job.id());
    JobClass jobClass = settings.classes().get(pending.job.jobClass());
    boolean mayRunAgain =
        jobClass.idempotency() == Idempotency.SAFE
            || (jobClass.idempotency() == Idempotency.KEYED
                && jobClass.idempotencyScope() == IdempotencyScope.ALL);
    if (mayRunAgain || !pending.mayHaveRun) {
      actions.reject(pending.job.id(), 0);
    } else {
      actions.fail(pending.job.id());
    }
  }

  @Override
  public final void attemptEnded(
      double now,
      String id,
      int attempt,
      AttemptOutcome outcome,
      double durationMs,
      boolean completed,
      LoadReport report) {
    PendingJob pending = pendingJobs.get(id);
    if (pending == null) {
      return;
    }
    attemptsInFlight.merge(pending.triedWorkerIds.get(attempt), -1, Integer::sum);
    pending.mayHaveRun |= !outcome.neverRan;
    if (completed || outcome == AttemptOutcome.OK) {
      pendingJobs.remove(id);
    } else if (pending.mayHaveRun) {
      answer(pending);
    } else {
      send(pending, now);
    }
  }

  @Override
  public final void endpointsUpdated(double now, EndpointListUpdate update, List<Worker> workers) {
    if (update != EndpointListUpdate.CHANGES) {
      workersById.clear();
    }
    workers.forEach(worker -> workersById.put(worker.id(), worker));
    ready =
        workersById.values().stream()
            .filter(worker -> worker.state() == WorkerState.READY)
            .sorted(Comparator.comparingLong(Worker::id))
            .toList();
  }

  @Override
  public final void requestAbandoned(double now, String id) {}

  @Override
  public final void attemptStarted(double now, String id, int attempt) {}

  @Override
  public final void attemptProgressed(double now, String id, int attempt, double share) {}

  @Override
  public final void attemptStreaming(double now, String id, int attempt) {}

  @Override
  public final void endpointWatchFailed(double now) {}

  @Override
  public final void healthCheckCompleted(
      double now, long worker, AttemptOutcome outcome, double durationMs, LoadReport report) {}

  @Override
  public final void peerMessageReceived(double now, int from, byte[] message) {}

  @Override
  public final void timerExpired(double now, long token) {}
}
