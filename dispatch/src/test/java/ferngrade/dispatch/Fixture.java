package ferngrade.dispatch;

import ferngrade.dispatch.Dispatcher.Actions;
import java.util.ArrayList;
import java.util.List;

/**
 * Creates settings, workers and jobs for tests with hand-written event sequences, and records the
 * requested actions.
 */
final class Fixture {
  static final SlowStartPolicy SLOW_START = new SlowStartPolicy(0.2, 20_000, 3, 3_000);

  private Fixture() {}

  static JobClass jobClass(Idempotency idempotency, IdempotencyScope scope) {
    return new JobClass("job", idempotency, scope, 7_500, 100, 2, 5_000, 1, 0, -1, 0);
  }

  static DispatcherSettings settings(int dispatcherIndex, int dispatchers, JobClass jobClass) {
    return settings(dispatcherIndex, dispatchers, jobClass, List.of(new Tenant("a", 1, 10)), false);
  }

  static DispatcherSettings settings(
      int dispatcherIndex,
      int dispatchers,
      JobClass jobClass,
      List<Tenant> tenants,
      boolean hedging) {
    return settings(dispatcherIndex, dispatchers, jobClass, tenants, hedging, false);
  }

  static DispatcherSettings settings(
      int dispatcherIndex,
      int dispatchers,
      JobClass jobClass,
      List<Tenant> tenants,
      boolean hedging,
      boolean loadsListed) {
    DeploymentLimits limits = new DeploymentLimits(3, hedging, true, true, true, 1_000);
    return new DispatcherSettings(
        dispatcherIndex,
        dispatchers,
        0,
        2,
        List.of(jobClass),
        tenants,
        limits,
        SLOW_START,
        false,
        true,
        loadsListed,
        0.01,
        new ServiceObjective(0.5, 0.2));
  }

  static Worker worker(long id, int zone, int cell) {
    return new Worker(id, WorkerState.READY, zone, 0, cell, 0, 1);
  }

  static Worker withState(Worker worker, WorkerState state, double startedAt) {
    return new Worker(
        worker.id(),
        state,
        worker.zone(),
        worker.workerType(),
        worker.cell(),
        startedAt,
        worker.weight());
  }

  static Job job(String id, int tenant, double deadline) {
    return new Job(id, 0, tenant, deadline, 0, 1, 0, 0);
  }

  record Send(String requestId, long workerId) {}

  /** Records the actions that the dispatcher requests. */
  static final class Recorder implements Actions {
    final List<Send> sends = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final List<byte[]> messages = new ArrayList<>();
    final List<Integer> messagedPeers = new ArrayList<>();

    @Override
    public void send(String requestId, long workerId, double timeoutMs) {
      sends.add(new Send(requestId, workerId));
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
      rejected.add(requestId);
    }

    @Override
    public void fail(String requestId) {
      failed.add(requestId);
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
      cancelled.add(requestId + "/" + attemptNumber);
    }

    @Override
    public void checkHealth(long workerId) {}

    @Override
    public void sendToPeer(int peer, byte[] message) {
      messagedPeers.add(peer);
      messages.add(message);
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
      timers.add(new long[] {Math.round(delayMs), token});
    }

    @Override
    public void watchEndpoints() {}

    @Override
    public void log(String line) {}

    Send lastSend() {
      return sends.get(sends.size() - 1);
    }
  }
}
