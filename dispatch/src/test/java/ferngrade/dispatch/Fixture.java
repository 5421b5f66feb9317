package ferngrade.dispatch;

import ferngrade.dispatch.Dispatcher.Actions;
import java.util.ArrayList;
import java.util.List;

/** Settings, workers and a recorder of actions for hand-written event sequences. */
final class Fixture {
  static final SlowStartPolicy COLD = new SlowStartPolicy(0.2, 20_000, 3, 3_000);

  private Fixture() {}

  static JobClass jobClass(Idempotency effect, IdempotencyScope scope) {
    return new JobClass("job", effect, scope, 7_500, 100, 2, 5_000, 1, 0, -1, 0);
  }

  static DispatcherSettings settings(int me, int dispatchers, JobClass jobClass) {
    return settings(me, dispatchers, jobClass, List.of(new Tenant("a", 1, 10)), false);
  }

  static DispatcherSettings settings(
      int me, int dispatchers, JobClass jobClass, List<Tenant> tenants, boolean secondCopies) {
    return settings(me, dispatchers, jobClass, tenants, secondCopies, false);
  }

  static DispatcherSettings settings(
      int me,
      int dispatchers,
      JobClass jobClass,
      List<Tenant> tenants,
      boolean secondCopies,
      boolean loads) {
    DeploymentLimits limits = new DeploymentLimits(3, secondCopies, true, true, true, 1_000);
    return new DispatcherSettings(
        me,
        dispatchers,
        0,
        2,
        List.of(jobClass),
        tenants,
        limits,
        COLD,
        false,
        true,
        loads,
        0.01,
        new ServiceObjective(0.5, 0.2));
  }

  static Worker worker(long id, int zone, int cell) {
    return new Worker(id, WorkerState.READY, zone, 0, cell, 0, 1);
  }

  static Worker with(Worker worker, WorkerState state, double startedAt) {
    return new Worker(
        worker.id(),
        state,
        worker.zone(),
        worker.kind(),
        worker.cell(),
        startedAt,
        worker.weight());
  }

  static Job job(String id, int tenant, double due) {
    return new Job(id, 0, tenant, due, 0, 1, 0, 0);
  }

  record Send(String id, long worker) {}

  /** Keeps what the module asked for. */
  static final class Recorder implements Actions {
    final List<Send> sends = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final List<byte[]> messages = new ArrayList<>();
    final List<Integer> messagedPeers = new ArrayList<>();

    @Override
    public void send(String id, long worker, double timeout) {
      sends.add(new Send(id, worker));
    }

    @Override
    public void refuse(String id, double retryAfter) {
      refused.add(id);
    }

    @Override
    public void fail(String id) {
      failed.add(id);
    }

    @Override
    public void cancel(String id, int attempt) {
      cancelled.add(id + "/" + attempt);
    }

    @Override
    public void check(long worker) {}

    @Override
    public void tell(int peer, byte[] message) {
      messagedPeers.add(peer);
      messages.add(message);
    }

    @Override
    public void timer(double after, long token) {
      timers.add(new long[] {Math.round(after), token});
    }

    @Override
    public void watch() {}

    @Override
    public void log(String line) {}

    Send last() {
      return sends.get(sends.size() - 1);
    }
  }
}
